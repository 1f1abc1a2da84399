// Package autoscaling scales the fleet of machines out and in. It reads the cloud's offerings
// and inventory, plans which machines the waiting tasks need, provisions the missing ones and
// releases those that are not needed. Provisioning requests are recorded before they are sent,
// so that a new leader can repeat them with the same request ID.
package autoscaling

import (
	"time"

	"golang.org/x/time/rate"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/jobs"
	"oakpick/internal/message"
	"oakpick/internal/resources"
	"oakpick/internal/scheduling"
	"oakpick/internal/step"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
)

// Leadership is the autoscaler's view of the leader's term.
type Leadership interface {
	// LeaseUntil returns the time until which the leader is certain to hold its lease.
	LeaseUntil() time.Duration
	// FirstToken returns the fencing token with which the term began, and LeadingSince the time
	// at which it began.
	FirstToken() int64
	LeadingSince() time.Duration
}

// Scheduler is the part of the scheduler that the autoscaler uses.
type Scheduler interface {
	Unplaced() []scheduling.Unplaced
	Schedulable(machine *cluster.Machine) bool
	ExpectedToJoin(machine *cluster.Machine) bool
	RequestClass(j *cluster.Job) cluster.RequestClass
	UsableResources(j *cluster.Job, machine *cluster.Machine, free resources.Amount) resources.Amount
	Starving(j *cluster.Job) bool
	WorthProvisioning(j *cluster.Job, o cluster.Offering) bool
}

// Options are the autoscaler's tunable parameters.
type Options struct {
	IdleTimeoutS        float64 // seconds that an empty machine is kept; 0 stands for its type's boot time
	HeadroomStdDevs     float64 // spare capacity kept for arrivals, in standard deviations of their number
	BootTimeoutMultiple float64 // multiple of the boot time after which a machine that isn't up is released
	FailoverWaitS       float64 // seconds that a new leader waits for inherited machines to report
	MaxMovesPerMin      float64 // upper bound on replicas moved per minute
}

// Autoscaler scales the machines of a cluster.
type Autoscaler struct {
	context    *step.Context
	state      *cluster.State
	store      *storage.Store
	jobs       *jobs.Manager
	scheduler  Scheduler
	timing     timing.Workers
	leadership Leadership
	options    Options
	cloud      cloudClient
	settings   config.Cloud

	nextTypesAt   time.Duration // when the machine types are read next; 0 means immediately
	inventory     inventory
	requests      []*provisioningRequest
	requestCount  int
	outOfCapacity map[cluster.Offering]time.Duration // until when an offering is not requested again

	failoverWaitDone bool          // the wait for inherited machines has ended
	nextPlanAt       time.Duration // when the next plan is made; 0 means immediately
	nextSummaryAt    time.Duration // when the next summary of the fleet is logged
	nextMoveAt       time.Duration // when the next replica may be moved
}

// New returns the autoscaler of a cluster.
func New(
	context *step.Context, state *cluster.State, store *storage.Store, jobs *jobs.Manager, scheduler Scheduler,
	timing timing.Workers, leadership Leadership, settings config.Cloud, options Options,
) *Autoscaler {
	return &Autoscaler{
		context: context, state: state, store: store, jobs: jobs, scheduler: scheduler, timing: timing, leadership: leadership,
		options: options, settings: settings, outOfCapacity: map[cluster.Offering]time.Duration{},
		cloud: cloudClient{
			limiter:  rate.NewLimiter(rate.Limit(settings.RPS*requestRateShare), max(1, int(settings.RPS))),
			inFlight: map[uint64]cloudCall{},
		},
	}
}

// SetOptions replaces the options.
func (a *Autoscaler) SetOptions(options Options) { a.options = options }

// Intervals of the autoscaler, relative to the workers' heartbeat interval and lease.
const (
	plansPerHeartbeat        = 6 // plans per heartbeat interval
	typesIntervalLeases      = 2 // worker leases between reads of the machine types
	summaryIntervalLeases    = 5 // worker leases between summaries in the log
	outOfCapacityLeases      = 2 // worker leases for which an offering counts as out of capacity
	cloudRetriesPerHeartbeat = 3 // retries of cloud requests per heartbeat interval
)

// Tick makes the periodic reads and requests that are due, and runs the plan.
func (a *Autoscaler) Tick() {
	now := a.context.Monotonic()
	if now < a.nextPlanAt {
		return
	}
	a.nextPlanAt = now + a.timing.HeartbeatInterval/plansPerHeartbeat
	a.readTypes()
	a.sendRequests()
	a.readInventory()
	a.state.NeedsScheduling = a.state.NeedsScheduling || len(a.scheduler.Unplaced()) > 0
	if !a.mayScale() {
		return
	}
	if now >= a.nextSummaryAt {
		a.nextSummaryAt = now + summaryIntervalLeases*a.timing.Lease
		a.logSummary()
	}
	needed := a.scaleOut()
	a.scaleIn(needed)
}

// mayScale reports whether enough is known to change the fleet. A new leader first gives the
// machines that it inherited, if any, time to report. It doesn't wait for machines that it
// provisions itself. After a pause of the process the machines also need time to report.
func (a *Autoscaler) mayScale() bool {
	now := a.context.Monotonic()
	if len(a.state.Catalog.Types) == 0 || a.inventory.listsRead == 0 {
		return false
	}
	inherited := now < a.leadership.LeadingSince()+config.Seconds(a.options.FailoverWaitS) && len(a.state.Machines) > 0
	if !a.failoverWaitDone && inherited {
		return false
	}
	if a.context.Pauses.ResumedWithin(now, a.timing.HeartbeatTimeout) {
		return false
	}
	a.failoverWaitDone = true
	return true
}

// readTypes requests the machine types if a read is due.
func (a *Autoscaler) readTypes() {
	now := a.context.Monotonic()
	if a.nextTypesAt != 0 && now <= a.nextTypesAt {
		return
	}
	if !a.send(message.CloudCall{Op: message.CloudListTypes}, cloudCall{}) {
		return
	}
	a.nextTypesAt = now + typesIntervalLeases*a.timing.Lease
	if len(a.state.Catalog.Types) == 0 {
		a.nextTypesAt = now + a.timing.HeartbeatInterval
	}
}

// KnowsTypes reports whether the machine types have been read.
func (a *Autoscaler) KnowsTypes() bool { return len(a.state.Catalog.Types) > 0 }

// HandleCloudResult processes the result of a request to the cloud.
func (a *Autoscaler) HandleCloudResult(result message.CloudResult) {
	call, ok := a.completeCall(result)
	if !ok {
		return
	}
	switch call.op {
	case message.CloudListTypes:
		a.handleTypes(result)
	case message.CloudListMachines:
		a.handleMachineList(result)
	case message.CloudScaleOut:
		a.handleScaleOut(call.request, result)
	case message.CloudScaleIn:
		a.handleScaleIn(call.machines, result)
	}
}
