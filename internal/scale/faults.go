package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"oakpick/internal/config"
	"oakpick/internal/scale/testbed"
)

// fault is something that is injected, and undone after a while.
type fault struct {
	inject   func(context.Context, *experiment) error
	duration time.Duration
	leases   float64                 // how much longer it lasts, in workers' leases
	heal     func(*experiment) error // nil: nothing is to be undone
}

// How long and how far faults go.
const (
	restartDelay        = 5 * time.Second // of killed controllers
	outageDuration      = 20 * time.Second
	partitionDivisor    = 10 // one worker of so many
	partitionLeases     = 1.5
	rackMachines        = 40
	restartsPerDay      = 210
	restartsInjectedIn  = time.Minute
	rejectFromKeys      = 4 // more than the lowest write_share lets through at once, in small runs
	rejectionWithin     = 20 * time.Second
	shareChangeInterval = 75 * time.Millisecond
	shareDuration       = 20 * time.Second
	shareDurableWithin  = 20 * time.Second // after which a change of settings counts as failed
)

// faults by their names on the command line.
var faults = map[string]fault{
	"leader":          {inject: killLeader, duration: restartDelay, heal: restartLeader},
	"all-controllers": {inject: killControllers, duration: restartDelay, heal: restartControllers},
	"state":           {inject: beginOutage, duration: outageDuration, heal: endOutage},
	"cut":             {inject: partitionWorkers, leases: partitionLeases, heal: healPartition},
	"rack":            {inject: failRack},
	"write-share":     {inject: changeWriteShare, duration: shareDuration, heal: confirmWriteShare},
	"restarts":        {inject: restartMachines, duration: restartsInjectedIn},
}

// errNoLeader says that there is no leader that could be killed.
var errNoLeader = errors.New("nobody leads")

func killLeader(ctx context.Context, e *experiment) error {
	e.killedLeader = e.testbed.Controllers.Leader(ctx)
	if e.killedLeader == testbed.NoLeader {
		return errNoLeader
	}
	e.testbed.Controllers.Kill(e.killedLeader)
	return nil
}

func restartLeader(e *experiment) error { return e.testbed.Controllers.Start(e.killedLeader) }

func killControllers(_ context.Context, e *experiment) error {
	e.testbed.Controllers.KillAll()
	return nil
}

func restartControllers(e *experiment) error { return e.testbed.Controllers.StartAll() }

func beginOutage(_ context.Context, e *experiment) error {
	e.testbed.DoAndWait(func() { e.testbed.World.State.SetOutage(true) })
	return nil
}

func endOutage(e *experiment) error {
	e.testbed.DoAndWait(func() { e.testbed.World.State.SetOutage(false) })
	return nil
}

func partitionWorkers(_ context.Context, e *experiment) error {
	e.testbed.DoAndWait(func() {
		var machines []string
		for i, name := range e.testbed.World.MachineNames() {
			if i%partitionDivisor == 0 {
				machines = append(machines, name)
			}
		}
		e.testbed.Partition(machines)
	})
	return nil
}

func healPartition(e *experiment) error {
	e.testbed.DoAndWait(e.testbed.HealPartition)
	return nil
}

// The lowest and the highest share of the state service's writes that operators may set.
const lowestWriteShare, highestWriteShare = `{"write_share": 0.05}`, `{"write_share": 0.95}`

// errNoLargeWrite says that no transaction could be refused.
var errNoLargeWrite = errors.New("the leader sent no transaction of several keys")

// changeWriteShare has an operator lower write_share and raise it again while the state service
// refuses large transactions, so that one of the leader waits for its retry. Both changes are in
// force at once. Until the fault ends, the operator does nothing more.
func changeWriteShare(ctx context.Context, e *experiment) error {
	leader := e.testbed.Controllers.Leader(ctx)
	if leader == testbed.NoLeader {
		return errNoLeader
	}
	e.rejectLargeWrites(rejectFromKeys)
	defer e.rejectLargeWrites(0)
	if err := e.waitForRejection(ctx); err != nil {
		return err
	}
	var changes errgroup.Group
	for _, patch := range []string{lowestWriteShare, highestWriteShare} {
		changes.Go(func() error {
			_ = e.testbed.Controllers.ChangeSettings(ctx, leader, patch) // durable too late to be answered
			return nil
		})
		if err := e.sleep(ctx, "write_share", shareChangeInterval); err != nil {
			return err
		}
	}
	e.rejectLargeWrites(0)
	return changes.Wait()
}

// rejectLargeWrites has the state service refuse transactions of at least so many keys; 0: none.
func (e *experiment) rejectLargeWrites(keys int) {
	e.testbed.DoAndWait(func() { e.testbed.World.State.MinRejectedChanges = keys })
}

// waitForRejection waits until the state service has refused another large transaction.
func (e *experiment) waitForRejection(ctx context.Context) error {
	rejected := func() (count int) {
		e.testbed.DoAndWait(func() { count = e.testbed.World.State.RejectedForChanges })
		return count
	}
	before := rejected()
	for end := time.Now().Add(rejectionWithin); time.Now().Before(end); {
		if rejected() > before {
			return nil
		}
		if err := e.sleep(ctx, "no large write yet", shareChangeInterval); err != nil {
			return err
		}
	}
	return errNoLargeWrite
}

// confirmWriteShare has write_share changed once more, and waits until that is durable.
func confirmWriteShare(e *experiment) error {
	ctx, cancel := context.WithTimeout(context.Background(), shareDurableWithin)
	defer cancel()
	for {
		err := errNoLeader
		if leader := e.testbed.Controllers.Leader(ctx); leader != testbed.NoLeader {
			err = e.testbed.Controllers.ChangeSettings(ctx, leader, highestWriteShare)
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(shareChangeInterval)
	}
}

// failRack ends many machines at once, but no more than half of them.
func failRack(_ context.Context, e *experiment) error {
	e.testbed.DoAndWait(func() {
		names := e.testbed.World.MachineNames()
		for _, name := range names[:min(rackMachines, len(names)/2)] {
			e.testbed.World.Cloud.Fail(name)
		}
	})
	return nil
}

// restartMachines ends as many machines in a minute as a bad hour has if it has all that a day
// has.
func restartMachines(_ context.Context, e *experiment) error {
	const interval = time.Hour / restartsPerDay
	e.testbed.DoAndWait(func() {
		for at := interval / 2; at < restartsInjectedIn; at += interval {
			e.testbed.World.After(at, e.failRandomMachine)
		}
	})
	return nil
}

// failRandomMachine ends a machine. The testbed's loop calls it.
func (e *experiment) failRandomMachine() {
	if names := e.testbed.World.MachineNames(); len(names) > 0 {
		e.testbed.World.Cloud.Fail(names[e.workload.random.IntN(len(names))])
	}
}

// runFaults injects the faults one after the other.
func (e *experiment) runFaults(ctx context.Context) error {
	for _, name := range e.parameters.Faults {
		r, err := e.runFault(ctx, name)
		if err != nil {
			return err
		}
		e.report.Faults = append(e.report.Faults, *r)
		e.progress.Logf("fault %s: %.1f s without answers, %.1f s without starts, %d tasks killed by lease, %d died, %d rules broken",
			name, r.WithoutAnswersS, r.WithoutStartsS, r.KilledByLease, r.TasksDied, r.Violations)
	}
	return nil
}

// runFault injects a fault, undoes it, and reports what came of it until the system has had the
// time to recover.
func (e *experiment) runFault(ctx context.Context, name string) (*FaultReport, error) {
	fault := faults[name]
	var before faultCounts
	e.testbed.DoAndWait(func() {
		e.resetMeasurement()
		before = e.countFaultEffects()
	})
	if err := fault.inject(ctx, e); err != nil {
		return nil, fmt.Errorf("fault %s: %w", name, err)
	}
	if err := e.sleep(ctx, "fault "+name, fault.duration+config.Seconds(fault.leases*e.parameters.LeaseS)); err != nil {
		return nil, err
	}
	if fault.heal != nil {
		if err := fault.heal(e); err != nil {
			return nil, fmt.Errorf("the end of fault %s: %w", name, err)
		}
	}
	if err := e.sleep(ctx, "after fault "+name, e.parameters.Recover); err != nil {
		return nil, err
	}
	return e.reportFault(name, before), nil
}

// faultCounts are what the simulated world has counted since the start of the step.
type faultCounts struct{ killedByLease, tasksDied, violations int }

// countFaultEffects is called by the testbed's loop.
func (e *experiment) countFaultEffects() faultCounts {
	world := e.testbed.World
	return faultCounts{killedByLease: world.TasksLostToLeaseExpiry, tasksDied: world.TasksLostWithMachine, violations: len(world.Violations)}
}

func (e *experiment) reportFault(name string, before faultCounts) *FaultReport {
	r := &FaultReport{Fault: name, Urgent: e.testbed.Meter.Latencies.Summaries()[urgentStartReceived]}
	e.testbed.DoAndWait(func() {
		now, after := e.testbed.World.Now, e.countFaultEffects()
		r.WithoutAnswersS = e.gaps.answers.until(now).Seconds()
		r.WithoutStartsS = e.gaps.starts.until(now).Seconds()
		r.KilledByLease = after.killedByLease - before.killedByLease
		r.TasksDied = after.tasksDied - before.tasksDied
		r.Violations = after.violations - before.violations
	})
	return r
}
