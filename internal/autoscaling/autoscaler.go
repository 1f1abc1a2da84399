// Package autoscaling scales the fleet of machines out and in: it reads the cloud's offerings
// and inventory, plans which machines what waits needs, provisions those that are missing, and
// releases those that nothing needs. Requests to the cloud are recorded before they are sent,
// so that a successor repeats them under the same name.
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

// Leadership is what the autoscaler has to know of the term.
type Leadership interface {
	// LeaseUntil is until when the leader's lease certainly lasts.
	LeaseUntil() time.Duration
	// FirstToken is the fencing token with which the term began, LeadingSince when it did.
	FirstToken() int64
	LeadingSince() time.Duration
}

// Scheduler is what the autoscaler asks the scheduler.
type Scheduler interface {
	Unplaced() []scheduling.Unplaced
	Schedulable(machine *cluster.Machine) bool
	ExpectedToJoin(machine *cluster.Machine) bool
	RequestClass(j *cluster.Job) cluster.RequestClass
	RoomFor(j *cluster.Job, machine *cluster.Machine, room resources.Amount) resources.Amount
	TakesAnyRoom(j *cluster.Job) bool
	WorthProvisioning(j *cluster.Job, o cluster.Offering) bool
}

// Options are the figures that operators may change.
type Options struct {
	IdleS         float64 // seconds that an empty machine is kept; 0: its type's boot time
	WarmRoom      float64 // how much room is kept free, in standard deviations of the arrivals
	GiveUpBoots   float64 // for how many boot times a machine is waited for
	FailoverWaitS float64 // seconds that a new leader lets inherited machines report first
	MovesPerMin   float64 // replicas moved a minute, at most
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

	typesAt       time.Duration // when the machine types are read next; 0: at once
	inventory     inventory
	requests      []*provisioningRequest
	requestCount  int
	outOfCapacity map[cluster.Offering]time.Duration // until when the cloud has none

	ready      bool // the wait after the failover is over
	planAt     time.Duration
	summaryAt  time.Duration // when the fleet is next summed up in the log
	nextMoveAt time.Duration // of a replica
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
			budget:   rate.NewLimiter(rate.Limit(settings.RPS*budgetShare), max(1, int(settings.RPS))),
			inFlight: map[uint64]cloudCall{},
		},
	}
}

// SetOptions puts figures in force.
func (a *Autoscaler) SetOptions(options Options) { a.options = options }

// Ratios of the autoscaler's times to those of workers.
const (
	planShare       = 6 // plans in a heartbeat interval
	typesLeases     = 2 // worker leases between reads of the machine types
	summaryLeases   = 5 // worker leases between summaries in the log
	capacityLeases  = 2 // worker leases for which an offering counts as out of capacity
	cloudRetryShare = 3 // retries in a heartbeat interval
)

// Tick does what time calls for: reads, requests, and the plan.
func (a *Autoscaler) Tick() {
	now := a.context.Monotonic()
	if now < a.planAt {
		return
	}
	a.planAt = now + a.timing.HeartbeatInterval/planShare
	a.readTypes()
	a.sendRequests()
	a.readInventory()
	if !a.mayScale() {
		return
	}
	if now >= a.summaryAt {
		a.summaryAt = now + summaryLeases*a.timing.Lease
		a.logSummary()
	}
	a.state.NeedsScheduling = a.state.NeedsScheduling || len(a.scheduler.Unplaced()) > 0
	needed := a.scaleOut()
	a.scaleIn(needed)
}

// mayScale reports whether enough is known to change the fleet. A new leader lets the machines
// that it has inherited report first. One that has found none needn't wait, nor for those that
// it provisions itself. After a pause of the process the machines have had no time to report.
func (a *Autoscaler) mayScale() bool {
	now := a.context.Monotonic()
	if len(a.state.Catalog.Types) == 0 || a.inventory.listsRead == 0 {
		return false
	}
	inherited := now < a.leadership.LeadingSince()+config.Seconds(a.options.FailoverWaitS) && len(a.state.Machines) > 0
	if !a.ready && inherited {
		return false
	}
	if a.context.Pauses.ResumedWithin(now, a.timing.SilentAfter) {
		return false
	}
	a.ready = true
	return true
}

// readTypes reads the machine types if that is due.
func (a *Autoscaler) readTypes() {
	now := a.context.Monotonic()
	if a.typesAt != 0 && now <= a.typesAt {
		return
	}
	if !a.send(message.CloudCall{Op: message.CloudListTypes}, cloudCall{}) {
		return
	}
	a.typesAt = now + typesLeases*a.timing.Lease
	if len(a.state.Catalog.Types) == 0 {
		a.typesAt = now + a.timing.HeartbeatInterval
	}
}

// KnowsTypes reports whether the machine types were read.
func (a *Autoscaler) KnowsTypes() bool { return len(a.state.Catalog.Types) > 0 }

// HandleCloudResult takes in the cloud's answer.
func (a *Autoscaler) HandleCloudResult(result message.CloudResult) {
	call, ok := a.received(result)
	if !ok {
		return
	}
	switch call.op {
	case message.CloudListTypes:
		a.typesRead(result)
	case message.CloudListMachines:
		a.machinesListed(result)
	case message.CloudScaleOut:
		a.provisioned(call.request, result)
	case message.CloudScaleIn:
		a.released(call.machines, result)
	}
}
