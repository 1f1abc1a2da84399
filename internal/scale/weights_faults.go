package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"oakpick/internal/distribution/tracker"
)

// fault brings a fault about at its time, unless all are ready before.
func (r *weightsRun) fault(ctx context.Context, f timedFault, alone time.Duration) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(time.Duration(f.at * float64(alone))):
	}
	r.say("fault: %s", f.kind)
	err := r.apply(ctx, f.kind, alone)
	if err != nil {
		return fmt.Errorf("fault %s: %w", f.kind, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Applied = append(r.report.Applied, fmt.Sprintf("%s@%g", f.kind, f.at))
	return nil
}

func (r *weightsRun) apply(ctx context.Context, kind string, alone time.Duration) error {
	switch kind {
	case faultKill, faultHang, faultRestart:
		return r.failAgent(ctx, kind)
	case faultLeader:
		return r.failLeader(ctx)
	case faultStore:
		r.store.out.Store(true)
		defer r.store.out.Store(false)
		select {
		case <-ctx.Done():
		case <-time.After(alone):
		}
	case faultWrong:
		r.store.wrong.Store(wrongAnswers)
	case faultCut:
		r.store.cut.Store(wrongAnswers)
	case faultVersion:
		return r.changeVersion(ctx)
	}
	return nil
}

// failLeader kills the controller that leads, and starts it again a second later.
func (r *weightsRun) failLeader(ctx context.Context) error {
	leader := -1
	err := r.until(ctx, time.Minute, "nobody leads", func() bool {
		leader = r.play.controllers.leader()
		return leader >= 0
	})
	if err != nil {
		return err
	}
	r.play.controllers.kill(leader)
	time.Sleep(time.Second)
	return r.play.controllers.start(leader)
}

// failAgent fails the agent that holds most without holding all.
func (r *weightsRun) failAgent(ctx context.Context, kind string) error {
	var status tracker.Status
	err := r.until(ctx, time.Minute, "no controller tells who holds what", func() bool {
		var err error
		status, err = r.operator.Status(ctx, fleetName)
		return err == nil && len(status.Members) > 0
	})
	if err != nil {
		return err
	}
	partly := slices.DeleteFunc(status.Members, func(m tracker.AgentStatus) bool { return m.Total > 0 && m.Chunks == m.Total })
	if len(partly) == 0 {
		return errors.New("every agent holds all already")
	}
	most := slices.MaxFunc(partly, func(a, b tracker.AgentStatus) int { return a.Chunks - b.Chunks })
	i := slices.IndexFunc(r.agents, func(a *agentProcess) bool { return a.settings.Agent == most.Agent })
	a := r.agents[i]
	r.mu.Lock()
	r.report.Failed = append(r.report.Failed, fmt.Sprintf("%s %s with %d of %d chunks", kind, most.Agent, most.Chunks, most.Total))
	r.mu.Unlock()
	a.gone.Store(kind != faultRestart)
	if kind == faultHang {
		a.stop()
		return nil
	}
	a.kill()
	if kind == faultRestart {
		return a.start(ctx)
	}
	return nil
}

func (r *weightsRun) changeVersion(ctx context.Context) error {
	count, size := r.p.chunks()
	m, err := r.store.publish(count, size, r.wanted(), count/2)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.version = m
	r.mu.Unlock()
	return r.use(ctx, fleetName, m)
}
