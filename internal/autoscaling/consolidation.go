package autoscaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

const (
	// drainShare is the part of the machines that are drained at a time.
	drainShare = 16
	// moveShare is the part of the replicas that may be moved in a minute.
	moveShare = 4
	// drainAttempts is how many machines a plan examines closely, at most.
	drainAttempts = 8
	// maxMovePriceRatio is how many times as much a task's place may cost on the machine that
	// it is moved to.
	maxMovePriceRatio = 2
	// excessExponent is how much more it counts how dear a machine is than what it costs.
	excessExponent = 3
	// drainBaseTasks is how many tasks more than it has a machine counts with as a candidate.
	drainBaseTasks = 2
	// Of a worker lease, how often a machine is examined again that can't be drained, or from
	// which nothing can be moved yet.
	drainRetryShare, moveRetryShare = 2, 16
)

// consolidate moves replicas off machines that cost more than they are worth, so that they can
// be released. Only replicas are moved, only to machines that are up, have room beyond what is
// kept free and hold the image, so that a replica is away for no longer than two messages and
// a write take.
func (a *Autoscaler) consolidate(bins []*bin) {
	if a.roomIsShort() {
		// What was to be drained is used again.
		for _, machine := range a.state.MachinesByName {
			machine.Provisioning.Draining = false
		}
		return
	}
	now := a.context.Monotonic()
	if a.options.MovesPerMin == 0 || now < a.settledAt() {
		return
	}
	schedulable, draining := a.countDraining()
	a.drainSome(bins, 1+schedulable/drainShare-draining)
	// What wasn't used of the moves allowed is kept for a second.
	a.nextMoveAt = max(a.nextMoveAt, now-time.Second)
	promised := a.promisedRoom()
	movesPerMin := min(a.options.MovesPerMin, float64(a.activeReplicas())/moveShare)
	for _, machine := range a.state.MachinesByName {
		if machine.Provisioning.Draining {
			a.moveOne(machine, promised, movesPerMin)
		}
	}
}

// roomIsShort reports whether something waits for room on ordinary machines.
func (a *Autoscaler) roomIsShort() bool {
	for _, unplaced := range a.scheduler.Unplaced() {
		if unplaced.Tasks > 0 && !unplaced.Job.Spot {
			return true
		}
	}
	return false
}

// settledAt is from when a new leader can have seen what is really idle.
func (a *Autoscaler) settledAt() time.Duration {
	since := a.leadership.LeadingSince()
	settled := since
	for i := range a.state.Catalog.Types {
		settled = max(settled, since+a.idleTimeout(&a.state.Catalog.Types[i]))
	}
	return settled
}

func (a *Autoscaler) countDraining() (schedulable, draining int) {
	for _, machine := range a.state.MachinesByName {
		provisioning := &machine.Provisioning
		if provisioning.Draining && machine.Worker.InterruptionAt == 0 && !provisioning.Releasing {
			draining++
		} else if a.scheduler.Schedulable(machine) {
			schedulable++
		}
	}
	return schedulable, draining
}

// promisedRoom is the room that replicas on their way have been promised, by machine.
func (a *Autoscaler) promisedRoom() map[*cluster.Machine]resources.Amount {
	promised := map[*cluster.Machine]resources.Amount{}
	for _, j := range a.state.JobOrder {
		if nominated := j.Placement.Nominated; nominated != nil {
			promised[nominated] = promised[nominated].Plus(j.Request)
		}
	}
	return promised
}

// activeReplicas counts replicas on machines. A move takes one away for about a second: few
// may be away at a time.
func (a *Autoscaler) activeReplicas() int {
	replicas := 0
	for _, j := range a.state.JobOrder {
		if j.Kind == protocol.Service {
			replicas += len(j.ActiveTasks)
		}
	}
	return replicas
}

// drainCandidate is a machine that could be drained, and what that would save.
type drainCandidate struct {
	machine *cluster.Machine
	saves   float64
}

// drainSome picks the machines that save most for what has to be moved.
func (a *Autoscaler) drainSome(bins []*bin, most int) {
	now := a.context.Monotonic()
	var list []drainCandidate
	for _, b := range bins {
		if saves, ok := a.drainSavings(b); ok {
			list = append(list, drainCandidate{b.machine, saves})
		}
	}
	slices.SortStableFunc(list, func(x, y drainCandidate) int { return cmp.Compare(y.saves, x.saves) })
	taken := map[*bin]resources.Amount{}
	for _, c := range list[:min(len(list), drainAttempts)] {
		if most <= 0 {
			return
		}
		if !a.reserveMoves(c.machine, bins, taken) {
			c.machine.Provisioning.DrainRetryAt = now + a.timing.Lease/drainRetryShare
			continue
		}
		most--
		c.machine.Provisioning.Draining = true
		a.context.Log(message.Info, "machine draining", "machine", c.machine.Name, "type", c.machine.Type, "tasks", len(c.machine.Tasks))
	}
}

// drainSavings is what draining a machine saves for what has to be moved; not ok: it has no
// replicas, or can't be drained now. Dear types go first even if more has to be moved: the
// cheap ones may be used up, and are not to be released for a few moves less.
func (a *Autoscaler) drainSavings(b *bin) (saves float64, ok bool) {
	machine := b.machine
	if machine == nil || b.used || !a.scheduler.Schedulable(machine) || len(machine.Tasks) == 0 || len(machine.Worker.UnknownTasks) > 0 ||
		a.context.Monotonic() < machine.Provisioning.DrainRetryAt {
		return 0, false
	}
	excess, hasReplicas := 0.0, false
	for _, t := range machine.Tasks {
		excess += a.state.Catalog.PricePerTask(t.Job, b.offering) / a.lowestPricePerTask(t.Job)
		hasReplicas = hasReplicas || t.Job.Kind == protocol.Service
	}
	if !hasReplicas {
		return 0, false // what is on it ends by itself, and its room is for more of that
	}
	tasks := float64(len(machine.Tasks))
	return a.state.Catalog.Price(b.offering) * math.Pow(excess/tasks, excessExponent) / (drainBaseTasks + tasks), true
}

// lowestPricePerTask is the least that a place for a task of the job costs on any ordinary
// machine.
func (a *Autoscaler) lowestPricePerTask(j *cluster.Job) float64 {
	lowest := math.Inf(1)
	for i := range a.state.Catalog.Types {
		machineType := &a.state.Catalog.Types[i]
		if j.Request.FitsIn(cluster.Capacity(machineType)) && (j.AnyType || slices.Contains(j.Types, machineType.Name)) {
			lowest = min(lowest, a.state.Catalog.PricePerTask(j, cluster.Offering{Type: machineType.Name}))
		}
	}
	return lowest
}

// reserveMoves reports whether all of a machine's replicas have places elsewhere, and takes
// these from the room that this plan may still give.
func (a *Autoscaler) reserveMoves(machine *cluster.Machine, bins []*bin, taken map[*bin]resources.Amount) bool {
	reserved := map[*bin]resources.Amount{}
	for _, t := range machine.Tasks {
		j := t.Job
		if j.Kind == protocol.Gang || t.Stopping || j.Cancelled {
			return false
		}
		if j.Kind == protocol.Array {
			continue // it ends by itself
		}
		perZone := perZoneWithout(j, machine)
		i := slices.IndexFunc(bins, func(b *bin) bool {
			return b.machine != nil && j.Request.FitsIn(b.room.Minus(reserved[b]).Minus(taken[b])) && a.mayMove(j, machine, b.machine, perZone)
		})
		if i < 0 {
			return false
		}
		reserved[bins[i]] = reserved[bins[i]].Plus(j.Request)
	}
	for b, amount := range reserved {
		taken[b] = taken[b].Plus(amount)
	}
	return true
}

// perZoneWithout counts a job's tasks by zone without one of those on a machine.
func perZoneWithout(j *cluster.Job, machine *cluster.Machine) map[string]int {
	perZone := j.TasksPerZone()
	perZone[machine.Zone]--
	return perZone
}

// mayMove reports whether a replica may be moved from one machine to another, as far as
// anything but room goes. The other machine's offering may cost more, but not much: room there
// is free now, but taking it keeps that machine.
func (a *Autoscaler) mayMove(j *cluster.Job, from, to *cluster.Machine, perZone map[string]int) bool {
	return to != from && len(to.Tasks) > 0 && a.scheduler.Schedulable(to) && j.AllowedOn(to.Offering()) && j.AllowsZone(to.Zone, perZone) &&
		!j.Failures.Machines[to.Name] && a.state.FetchTimeS(j, to) == 0 &&
		a.state.Catalog.PricePerTask(j, to.Offering()) <= maxMovePriceRatio*a.state.Catalog.PricePerTask(j, from.Offering())
}

// stableRun is for how long a replica has to have run to be moved: a start that is undone
// before it counts as one counts for nothing.
const stableRun = protocol.StableStartS * time.Second * 4 / 3

// moveOne stops a replica of a machine that is being drained, if a place is ready for it and
// its job has no other on the move.
func (a *Autoscaler) moveOne(machine *cluster.Machine, promised map[*cluster.Machine]resources.Amount, movesPerMin float64) {
	now := a.context.Monotonic()
	if now < a.nextMoveAt || now < machine.Provisioning.DrainRetryAt {
		return
	}
	if slices.ContainsFunc(machine.Tasks, func(t *cluster.Task) bool { return t.Job.Kind != protocol.Service }) {
		return // first let the others end
	}
	for _, t := range machine.Tasks {
		if t.Stopping || !t.SeenRunning() || now-t.RunningSince < stableRun || t.Job.IdleTasks() > 0 {
			continue
		}
		to := a.moveTarget(t.Job, machine, promised)
		if to == nil {
			continue
		}
		a.context.Stats.ReplicasMoved++
		a.nextMoveAt += time.Duration(float64(time.Minute) / movesPerMin)
		t.Job.Placement.Nominated = to
		promised[to] = promised[to].Plus(t.Job.Request)
		a.jobs.Preempt(t, "moved to drain its machine")
		return
	}
	machine.Provisioning.DrainRetryAt = now + a.timing.Lease/moveRetryShare // nothing can be moved yet
}

// moveTarget finds a machine for a replica of a machine that is being drained.
func (a *Autoscaler) moveTarget(j *cluster.Job, from *cluster.Machine, promised map[*cluster.Machine]resources.Amount) *cluster.Machine {
	perZone := perZoneWithout(j, from)
	for _, to := range a.state.MachinesByName {
		a.context.Stats.MachinesExamined++
		if j.Request.FitsIn(a.state.Free(to).Minus(promised[to])) && a.mayMove(j, from, to, perZone) {
			return to
		}
	}
	return nil
}
