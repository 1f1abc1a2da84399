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

// fault describes how an experiment injects a fault and how it reverts the fault after its duration.
type fault struct {
	inject   func(context.Context, *experiment) error
	duration time.Duration
	leases   float64                 // additional duration, as a multiple of the workers' lease
	heal     func(*experiment) error // reverts the fault; nil if there is nothing to revert
}

// Durations and extent of the faults.
const (
	controllerRestartDelay   = 5 * time.Second // of killed controllers
	outageDuration           = 20 * time.Second
	partitionDivisor         = 10 // one worker in this many is partitioned
	partitionLeases          = 1.5
	rackMachines             = 40
	machineRestartsPerDay    = 210
	machineRestartsDuration  = time.Minute
	minRejectedChanges       = 4 // with the lowest write_share, the write budget of a small run admits fewer changes at once
	rejectionTimeout         = 20 * time.Second
	writeShareChangeInterval = 75 * time.Millisecond
	writeShareDuration       = 20 * time.Second
	writeShareTimeout        = 20 * time.Second // of confirmWriteShare
)

// faults maps the names on the command line to the faults.
var faults = map[string]fault{
	"leader":          {inject: killLeader, duration: controllerRestartDelay, heal: restartLeader},
	"all-controllers": {inject: killControllers, duration: controllerRestartDelay, heal: restartControllers},
	"state":           {inject: beginOutage, duration: outageDuration, heal: endOutage},
	"cut":             {inject: partitionWorkers, leases: partitionLeases, heal: healPartition},
	"rack":            {inject: failRack},
	"write-share":     {inject: changeWriteShare, duration: writeShareDuration, heal: confirmWriteShare},
	"restarts":        {inject: failRandomMachines, duration: machineRestartsDuration},
}

// errNoLeader means that the fault needs a leader and no controller is the leader.
var errNoLeader = errors.New("no controller is the leader")

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

// Settings patches with the lowest and the highest write_share that operators may set.
const lowestWriteShare, highestWriteShare = `{"write_share": 0.05}`, `{"write_share": 0.95}`

// errNoLargeWrite means that the leader sent no transaction of at least minRejectedChanges.
var errNoLargeWrite = errors.New("the leader sent no transaction with enough changes to be rejected")

// changeWriteShare lowers write_share and raises it again while a large transaction, which the state
// service has rejected, waits for its retry. Both changes take effect before they are durable. The
// settings are not changed again until the fault ends.
func changeWriteShare(ctx context.Context, e *experiment) error {
	leader := e.testbed.Controllers.Leader(ctx)
	if leader == testbed.NoLeader {
		return errNoLeader
	}
	e.rejectLargeWrites(minRejectedChanges)
	defer e.rejectLargeWrites(0)
	if err := e.waitForRejection(ctx); err != nil {
		return err
	}
	var changes errgroup.Group
	for _, patch := range []string{lowestWriteShare, highestWriteShare} {
		changes.Go(func() error {
			_ = e.testbed.Controllers.ChangeSettings(ctx, leader, patch) // a timeout is expected: the change becomes durable too late
			return nil
		})
		if err := e.sleep(ctx, "write_share", writeShareChangeInterval); err != nil {
			return err
		}
	}
	e.rejectLargeWrites(0)
	return changes.Wait()
}

// rejectLargeWrites makes the state service reject transactions with at least the given number of
// changes; 0 disables the rejection.
func (e *experiment) rejectLargeWrites(changes int) {
	e.testbed.DoAndWait(func() { e.testbed.World.State.MinRejectedChanges = changes })
}

// waitForRejection waits until the state service has rejected another large transaction.
func (e *experiment) waitForRejection(ctx context.Context) error {
	rejected := func() (count int) {
		e.testbed.DoAndWait(func() { count = e.testbed.World.State.RejectedForChanges })
		return count
	}
	before := rejected()
	for end := time.Now().Add(rejectionTimeout); time.Now().Before(end); {
		if rejected() > before {
			return nil
		}
		if err := e.sleep(ctx, "no large write yet", writeShareChangeInterval); err != nil {
			return err
		}
	}
	return errNoLargeWrite
}

// confirmWriteShare changes write_share once more, with retries, and waits until the change is
// durable.
func confirmWriteShare(e *experiment) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeShareTimeout)
	defer cancel()
	for {
		err := errNoLeader
		if leader := e.testbed.Controllers.Leader(ctx); leader != testbed.NoLeader {
			err = e.testbed.Controllers.ChangeSettings(ctx, leader, highestWriteShare)
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(writeShareChangeInterval)
	}
}

// failRack makes rackMachines machines fail at once, but at most half of all machines.
func failRack(_ context.Context, e *experiment) error {
	e.testbed.DoAndWait(func() {
		names := e.testbed.World.MachineNames()
		for _, name := range names[:min(rackMachines, len(names)/2)] {
			e.testbed.World.Cloud.Fail(name)
		}
	})
	return nil
}

// failRandomMachines makes random machines fail one after the other during machineRestartsDuration. The
// rate corresponds to all machine restarts of a day within one hour.
func failRandomMachines(_ context.Context, e *experiment) error {
	const interval = time.Hour / machineRestartsPerDay
	e.testbed.DoAndWait(func() {
		for at := interval / 2; at < machineRestartsDuration; at += interval {
			e.testbed.World.After(at, e.failRandomMachine)
		}
	})
	return nil
}

// failRandomMachine makes a random machine fail. The testbed's loop calls it.
func (e *experiment) failRandomMachine() {
	if names := e.testbed.World.MachineNames(); len(names) > 0 {
		e.testbed.World.Cloud.Fail(names[e.workload.random.IntN(len(names))])
	}
}

// runFaults injects the faults one after the other and adds their results to the report.
func (e *experiment) runFaults(ctx context.Context) error {
	for _, name := range e.parameters.Faults {
		r, err := e.runFault(ctx, name)
		if err != nil {
			return err
		}
		e.report.Faults = append(e.report.Faults, *r)
		e.progress.Logf("fault %s: %.1f s without answers, %.1f s without starts, %d tasks lost to lease expiry, %d lost with their machines, %d rules broken",
			name, r.LongestAnswerGapS, r.LongestStartGapS, r.TasksLostToLeaseExpiry, r.TasksLostWithMachine, r.Violations)
	}
	return nil
}

// runFault injects a fault and reverts it. The report covers the effects from the injection until the
// end of the recovery time.
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
			return nil, fmt.Errorf("revert fault %s: %w", name, err)
		}
	}
	if err := e.sleep(ctx, "after fault "+name, e.parameters.Recover); err != nil {
		return nil, err
	}
	return e.reportFault(name, before), nil
}

// faultCounts are the simulated world's counts of lost tasks and violations since the start of the
// step.
type faultCounts struct{ tasksLostToLeaseExpiry, tasksLostWithMachine, violations int }

// countFaultEffects reads the counts from the simulated world. The testbed's loop calls it.
func (e *experiment) countFaultEffects() faultCounts {
	world := e.testbed.World
	return faultCounts{tasksLostToLeaseExpiry: world.TasksLostToLeaseExpiry, tasksLostWithMachine: world.TasksLostWithMachine, violations: len(world.Violations)}
}

func (e *experiment) reportFault(name string, before faultCounts) *FaultReport {
	r := &FaultReport{Fault: name, UrgentStartReceived: e.testbed.Meter.Latencies.Summaries()[urgentStartReceived]}
	e.testbed.DoAndWait(func() {
		now, after := e.testbed.World.Now, e.countFaultEffects()
		r.LongestAnswerGapS = e.gaps.answers.longestUntil(now).Seconds()
		r.LongestStartGapS = e.gaps.starts.longestUntil(now).Seconds()
		r.TasksLostToLeaseExpiry = after.tasksLostToLeaseExpiry - before.tasksLostToLeaseExpiry
		r.TasksLostWithMachine = after.tasksLostWithMachine - before.tasksLostWithMachine
		r.Violations = after.violations - before.violations
	})
	return r
}
