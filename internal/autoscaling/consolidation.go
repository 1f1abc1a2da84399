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
	// drainDivisor limits how many machines are drained at a time: one, plus the number of
	// schedulable machines divided by this.
	drainDivisor = 16
	// moveDivisor limits how many replicas are moved per minute: the number of active replicas
	// divided by this.
	moveDivisor = 4
	// maxDrainAttempts is the number of drain candidates that a plan checks at most.
	maxDrainAttempts = 8
	// maxMovePriceRatio limits the price per task on the machine that a replica is moved to, as
	// a multiple of the price on its present machine.
	maxMovePriceRatio = 2
	// priceExcessExponent is the exponent of the ratio of a machine's price per task to the lowest
	// one when drain candidates are ranked.
	priceExcessExponent = 3
	// drainBaseTasks is added to a machine's number of tasks when drain candidates are ranked.
	drainBaseTasks = 2
	// drainRetryDivisor and moveRetryDivisor set, as fractions of a worker lease, when to retry
	// a machine that can't be drained, or from which no replica can be moved yet.
	drainRetryDivisor, moveRetryDivisor = 2, 16
)

// consolidate moves replicas off machines that are too expensive for their tasks, so that these
// machines can be released. It moves only replicas, and only to machines that are up, hold the
// image and have resources free beyond the headroom. A replica is then unavailable for no longer
// than two messages and a write take.
func (a *Autoscaler) consolidate(bins []*bin) {
	if a.onDemandCapacityShort() {
		// Draining is cancelled so that the machines can be given tasks again.
		for _, machine := range a.state.MachinesByName {
			machine.Provisioning.Draining = false
		}
		return
	}
	now := a.context.Monotonic()
	if a.options.MaxMovesPerMin == 0 || now < a.consolidationStart() {
		return
	}
	schedulable, draining := a.countDraining()
	a.startDraining(bins, 1+schedulable/drainDivisor-draining)
	// Unused moves accumulate for at most a second.
	a.nextMoveAt = max(a.nextMoveAt, now-time.Second)
	reserved := a.nominatedResources()
	movesPerMin := min(a.options.MaxMovesPerMin, float64(a.activeReplicas())/moveDivisor)
	for _, machine := range a.state.MachinesByName {
		if machine.Provisioning.Draining {
			a.moveReplica(machine, reserved, movesPerMin)
		}
	}
}

// onDemandCapacityShort reports whether tasks wait that need on-demand machines.
func (a *Autoscaler) onDemandCapacityShort() bool {
	for _, unplaced := range a.scheduler.Unplaced() {
		if unplaced.Tasks > 0 && !unplaced.Job.Spot {
			return true
		}
	}
	return false
}

// consolidationStart returns the time from which a new leader can tell which machines are idle.
func (a *Autoscaler) consolidationStart() time.Duration {
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

// nominatedResources returns, by machine, the resources reserved for replicas being moved there.
func (a *Autoscaler) nominatedResources() map[*cluster.Machine]resources.Amount {
	reserved := map[*cluster.Machine]resources.Amount{}
	for _, j := range a.state.JobOrder {
		if nominated := j.Placement.Nominated; nominated != nil {
			reserved[nominated] = reserved[nominated].Plus(j.Request)
		}
	}
	return reserved
}

// activeReplicas counts the replicas on machines. A moved replica is unavailable for about a
// second, so the rate of moves is limited in proportion to this number.
func (a *Autoscaler) activeReplicas() int {
	replicas := 0
	for _, j := range a.state.JobOrder {
		if j.Kind == protocol.Service {
			replicas += len(j.ActiveTasks)
		}
	}
	return replicas
}

// drainCandidate is a machine that could be drained, with its score from drainSavings.
type drainCandidate struct {
	machine *cluster.Machine
	savings float64
}

// startDraining starts to drain up to limit machines, those with the highest savings first.
func (a *Autoscaler) startDraining(bins []*bin, limit int) {
	now := a.context.Monotonic()
	var list []drainCandidate
	for _, b := range bins {
		if savings, ok := a.drainSavings(b); ok {
			list = append(list, drainCandidate{b.machine, savings})
		}
	}
	slices.SortStableFunc(list, func(x, y drainCandidate) int { return cmp.Compare(y.savings, x.savings) })
	taken := map[*bin]resources.Amount{}
	for _, c := range list[:min(len(list), maxDrainAttempts)] {
		if limit <= 0 {
			return
		}
		if !a.reserveMoves(c.machine, bins, taken) {
			c.machine.Provisioning.DrainRetryAt = now + a.timing.Lease/drainRetryDivisor
			continue
		}
		limit--
		c.machine.Provisioning.Draining = true
		a.context.Log(message.Info, "machine draining", "machine", c.machine.Name, "type", c.machine.Type, "tasks", len(c.machine.Tasks))
	}
}

// drainSavings returns a score of the savings from draining a machine relative to the tasks that
// have to be moved. ok is false if the machine has no replicas or can't be drained now.
// Expensive types go first even if more tasks have to be moved: cheap types may run out of
// capacity, and should not be released just to save a few moves.
func (a *Autoscaler) drainSavings(b *bin) (savings float64, ok bool) {
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
		return 0, false // its tasks end by themselves, and the machine is kept for more of them
	}
	tasks := float64(len(machine.Tasks))
	return a.state.Catalog.Price(b.offering) * math.Pow(excess/tasks, priceExcessExponent) / (drainBaseTasks + tasks), true
}

// lowestPricePerTask returns the lowest price per task of the job on any on-demand machine of a
// type that the job allows.
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

// reserveMoves reports whether all of a machine's replicas fit elsewhere, and if so reserves the
// resources for them in taken.
func (a *Autoscaler) reserveMoves(machine *cluster.Machine, bins []*bin, taken map[*bin]resources.Amount) bool {
	reserved := map[*bin]resources.Amount{}
	for _, t := range machine.Tasks {
		j := t.Job
		if j.Kind == protocol.Gang || t.Stopping || j.Cancelled || j.DamagedBy != nil {
			return false
		}
		if j.Kind == protocol.Array {
			continue // array tasks end by themselves
		}
		perZone := perZoneWithout(j, machine)
		i := slices.IndexFunc(bins, func(b *bin) bool {
			return b.machine != nil && j.Request.FitsIn(b.free.Minus(reserved[b]).Minus(taken[b])) && a.mayMove(j, machine, b.machine, perZone)
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

// perZoneWithout counts a job's tasks by zone, less one task on the given machine.
func perZoneWithout(j *cluster.Job, machine *cluster.Machine) map[string]int {
	perZone := j.TasksPerZone()
	perZone[machine.Zone]--
	return perZone
}

// mayMove reports whether a replica may be moved between two machines, apart from whether it
// fits. The price per task may be higher on the target, but not by much: its resources are free
// now, but using them keeps that machine from being released.
func (a *Autoscaler) mayMove(j *cluster.Job, from, to *cluster.Machine, perZone map[string]int) bool {
	return to != from && len(to.Tasks) > 0 && a.scheduler.Schedulable(to) && j.AllowedOn(to.Offering()) && j.AllowsZone(to.Zone, perZone) &&
		!j.Failures.Machines[to.Name] && a.state.FetchTimeS(j, to) == 0 &&
		a.state.Catalog.PricePerTask(j, to.Offering()) <= maxMovePriceRatio*a.state.Catalog.PricePerTask(j, from.Offering())
}

// minRunBeforeMove is the time that a replica has to have run before it may be moved. It exceeds
// protocol.StableStartS, because a start that is interrupted before then doesn't count.
const minRunBeforeMove = protocol.StableStartS * time.Second * 4 / 3

// moveReplica stops a replica on a draining machine if another machine is ready for it and no
// other replica of its job is being moved.
func (a *Autoscaler) moveReplica(machine *cluster.Machine, reserved map[*cluster.Machine]resources.Amount, movesPerMin float64) {
	now := a.context.Monotonic()
	if now < a.nextMoveAt || now < machine.Provisioning.DrainRetryAt {
		return
	}
	if slices.ContainsFunc(machine.Tasks, func(t *cluster.Task) bool { return t.Job.Kind != protocol.Service }) {
		return // the other tasks have to end first
	}
	for _, t := range machine.Tasks {
		if t.Stopping || t.Job.DamagedBy != nil || !t.SeenRunning() || now-t.RunningSince < minRunBeforeMove || t.Job.IdleTasks() > 0 {
			continue
		}
		to := a.moveTarget(t.Job, machine, reserved)
		if to == nil {
			continue
		}
		a.context.Stats.ReplicasMoved++
		a.nextMoveAt += time.Duration(float64(time.Minute) / movesPerMin)
		t.Job.Placement.Nominated = to
		reserved[to] = reserved[to].Plus(t.Job.Request)
		a.jobs.Preempt(t, "moved to drain its machine")
		return
	}
	machine.Provisioning.DrainRetryAt = now + a.timing.Lease/moveRetryDivisor // nothing can be moved yet
}

// moveTarget returns a machine for a replica of a draining machine, or nil.
func (a *Autoscaler) moveTarget(j *cluster.Job, from *cluster.Machine, reserved map[*cluster.Machine]resources.Amount) *cluster.Machine {
	perZone := perZoneWithout(j, from)
	for _, to := range a.state.MachinesByName {
		a.context.Stats.MachinesExamined++
		free, known := a.state.Free(to)
		if known && j.Request.FitsIn(free.Minus(reserved[to])) && a.mayMove(j, from, to, perZone) {
			return to
		}
	}
	return nil
}
