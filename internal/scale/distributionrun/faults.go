package distributionrun

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"oakpick/internal/distribution/tracker"
	"oakpick/internal/scale/testbed"
)

const (
	// faultyResponses is how many of the store's answers have wrong bytes or break off in a fault.
	faultyResponses = 5
	// leaderRestartDelay is the time until a killed leader is started again.
	leaderRestartDelay = time.Second
)

// errAllComplete says that there is no agent that could fail before it holds all.
var errAllComplete = errors.New("every agent holds all already")

// injectFault injects a fault at its time, unless the context ends before.
func (e *experiment) injectFault(ctx context.Context, fault scheduledFault, aloneTime time.Duration) error {
	if sleep(ctx, fault.delay(aloneTime)) != nil {
		return nil // all agents are ready
	}
	e.progress.Logf("fault: %s", fault.kind)
	if err := e.applyFault(ctx, fault.kind, aloneTime); err != nil {
		return fmt.Errorf("fault %s: %w", fault.kind, err)
	}
	e.record(func(report *RunReport) { report.FaultsApplied = append(report.FaultsApplied, fault.String()) })
	return nil
}

func (e *experiment) applyFault(ctx context.Context, kind faultKind, aloneTime time.Duration) error {
	switch kind {
	case killAgentFault, hangAgentFault, restartAgentFault:
		return e.failAgent(ctx, kind)
	case killLeaderFault:
		return e.restartLeader(ctx)
	case storeOutageFault:
		e.store.unavailable.Store(true)
		defer e.store.unavailable.Store(false)
		_ = sleep(ctx, aloneTime) // the outage may end early, when all agents are ready
	case corruptResponsesFault:
		e.store.corruptResponses.Store(faultyResponses)
	case truncatedResponsesFault:
		e.store.truncatedResponses.Store(faultyResponses)
	case newVersionFault:
		return e.changeVersion(ctx)
	}
	return nil
}

// restartLeader kills the leader, and starts it again after a delay.
func (e *experiment) restartLeader(ctx context.Context) error {
	leader := testbed.NoLeader
	err := waitUntil(ctx, controlTimeout, "nobody leads", func() bool {
		// A fault that has begun is carried out, also if all agents get ready meanwhile.
		leader = e.testbed.Controllers.Leader(context.WithoutCancel(ctx))
		return leader != testbed.NoLeader
	})
	if err != nil {
		return err
	}
	e.testbed.Controllers.Kill(leader)
	time.Sleep(leaderRestartDelay) // not cut short, for the same reason
	return e.testbed.Controllers.Start(leader)
}

// failAgent fails the agent that holds most without holding all.
func (e *experiment) failAgent(ctx context.Context, kind faultKind) error {
	most, err := e.mostCompleteAgent(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(e.agents, func(a *agentProcess) bool { return a.settings.Agent == most.Agent })
	a := e.agents[i]
	e.record(func(report *RunReport) {
		report.FailedAgents = append(report.FailedAgents, fmt.Sprintf("%s %s with %d of %d chunks", kind, most.Agent, most.Chunks, most.Total))
	})
	a.failed.Store(kind != restartAgentFault)
	if kind == hangAgentFault {
		a.process.Suspend()
		return nil
	}
	a.kill()
	if kind == restartAgentFault {
		return a.start(ctx)
	}
	return nil
}

// mostCompleteAgent returns the agent that holds most without holding all, as the leader knows
// it.
func (e *experiment) mostCompleteAgent(ctx context.Context) (tracker.AgentStatus, error) {
	var status tracker.Status
	err := waitUntil(ctx, controlTimeout, "no controller tells who holds what", func() bool {
		var err error
		status, err = e.operator.Status(ctx, fleetName)
		return err == nil && len(status.Members) > 0
	})
	if err != nil {
		return tracker.AgentStatus{}, err
	}
	incomplete := slices.DeleteFunc(status.Members, func(member tracker.AgentStatus) bool {
		return member.Total > 0 && member.Chunks == member.Total
	})
	if len(incomplete) == 0 {
		return tracker.AgentStatus{}, errAllComplete
	}
	return slices.MaxFunc(incomplete, func(a, b tracker.AgentStatus) int { return a.Chunks - b.Chunks }), nil
}

// changeVersion has the fleet use another version, with half of the chunks the same.
func (e *experiment) changeVersion(ctx context.Context) error {
	count, size := e.parameters.chunks()
	version, err := e.store.publishNext(count, size, e.wantedVersion().Chunks[:count/2])
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.version = version
	e.mu.Unlock()
	return e.useVersion(ctx, fleetName, version)
}
