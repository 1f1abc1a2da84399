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
	// faultyResponses is the number of the store's responses that one fault corrupts or truncates.
	faultyResponses = 5
	// leaderRestartDelay is the delay between killing a leader and restarting it.
	leaderRestartDelay = time.Second
)

// errAllComplete is returned if a fault needs an incomplete agent, but every agent is complete.
var errAllComplete = errors.New("every agent already holds all chunks")

// injectFault waits for the time of a fault and injects it, unless the context ends earlier.
func (e *experiment) injectFault(ctx context.Context, fault scheduledFault, aloneTime time.Duration) error {
	if sleep(ctx, fault.delay(aloneTime)) != nil {
		return nil // the fleet's fetch has ended
	}
	e.progress.Logf("injecting fault: %s", fault.kind)
	if err := e.applyFault(ctx, fault.kind, aloneTime); err != nil {
		return fmt.Errorf("inject fault %s: %w", fault.kind, err)
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
		_ = sleep(ctx, aloneTime) // the outage ends early if all agents are ready
	case corruptResponsesFault:
		e.store.corruptResponses.Store(faultyResponses)
	case truncatedResponsesFault:
		e.store.truncatedResponses.Store(faultyResponses)
	case newVersionFault:
		return e.changeVersion(ctx)
	}
	return nil
}

// restartLeader kills the leader and restarts it after a delay.
func (e *experiment) restartLeader(ctx context.Context) error {
	leader := testbed.NoLeader
	err := waitUntil(ctx, controlTimeout, "no controller is the leader", func() bool {
		// The leader is killed and restarted even if all agents become ready in the meantime.
		leader = e.testbed.Controllers.Leader(context.WithoutCancel(ctx))
		return leader != testbed.NoLeader
	})
	if err != nil {
		return err
	}
	e.testbed.Controllers.Kill(leader)
	time.Sleep(leaderRestartDelay) // ignores the end of the context, because the leader has to be restarted
	return e.testbed.Controllers.Start(leader)
}

// failAgent kills, restarts or suspends the incomplete agent that holds the most chunks.
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

// mostCompleteAgent returns the incomplete agent that holds the most chunks, according to the
// leader.
func (e *experiment) mostCompleteAgent(ctx context.Context) (tracker.AgentStatus, error) {
	var status tracker.Status
	err := waitUntil(ctx, controlTimeout, "no controller reports the agents' chunks", func() bool {
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

// changeVersion switches the fleet to a new version that shares half of its chunks with the current one.
func (e *experiment) changeVersion(ctx context.Context) error {
	count, size := e.parameters.chunks()
	version, err := e.store.publishWithSharedChunks(count, size, e.wantedVersion().Chunks[:count/2])
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.version = version
	e.mu.Unlock()
	return e.useVersion(ctx, fleetName, version)
}
