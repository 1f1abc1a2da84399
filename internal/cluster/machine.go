package cluster

import (
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

// Machine is a machine: what its worker last said, and what may be on it. Its parts are
// changed by one package each, which is named there.
type Machine struct {
	Name, Address, Type, Zone string
	Spot                      bool

	Worker       WorkerState
	Commands     CommandState
	Provisioning ProvisioningState
	Health       HealthState
	Images       ImageCache

	Tasks           []*Task
	GuaranteedTasks int              // of teams that don't run best effort
	Allocated       resources.Amount // what its tasks take
	Stopping        resources.Amount // of that, what stopping tasks are about to leave

	// ProjectedFree is what is free or about to be, less what the present scheduling cycle
	// has assigned; LowestRank is the lowest of its tasks that can be stopped. Both belong to
	// package scheduling.
	ProjectedFree resources.Amount
	LowestRank    int
}

// WorkerState is what a machine's worker has said, and its lease. It belongs to package
// workers.
type WorkerState struct {
	Registered        bool          // it has reported in this term
	Incarnation       int64         // of the newest message
	Sequence          int64         // of the newest message
	IncarnationSeenAt time.Duration // when the incarnation was first heard of
	FencingToken      int64         // highest that the worker has said to have seen
	LastSeenAt           time.Duration

	HeartbeatIncarnation, HeartbeatSequence int64 // of the newest heartbeat

	Answered           bool          // a heartbeat was answered with 200
	AnsweredAt         time.Duration // when one last was
	ExpiredIncarnation int64         // leases of incarnations up to this one have certainly expired

	InterruptionAt time.Duration // when the cloud takes the machine; 0: not known to
	// UnknownTasks are on the machine, but not in the records.
	UnknownTasks     []protocol.TaskStatus
	FinishedAttempts map[protocol.Attempt]FinishedAttempt
}

// FinishedAttempt is an ended attempt that its worker still names. Once the worker has
// forgotten it, a copy of its start could start it again: so it is told to only together with
// a token higher than any start of the attempt was sent with.
type FinishedAttempt struct {
	Committed    bool          // what its end means is durable
	FencingToken int64         // highest that its start may carry
	EndedAt      time.Duration // when the end was reported
}

// CommandState is the exchange of direct commands with a machine's worker. It belongs to
// package workers.
type CommandState struct {
	Pending bool // something is to be sent
	queued  bool // and the machine is among the pending ones, see State

	CallID   uint64 // the call under way; 0: none is
	CallAt   time.Duration
	Starting []*Task // that it starts
	RetryAt  time.Duration
	Failures int // in a row

	// UnconfirmedToken is the highest fencing token with which a start may still arrive, and
	// UnconfirmedAt when the first such start was sent.
	UnconfirmedToken int64
	UnconfirmedAt    time.Duration
}

// ProvisioningState is a machine's life in the cloud. It belongs to package autoscaling.
type ProvisioningState struct {
	ProvisionedAt time.Duration // as far as known
	ListedAt      time.Duration // when the cloud last listed it; 0: it hasn't
	RunningAt     time.Duration // when the cloud first listed it as running; 0: it hasn't
	Failed        bool          // the cloud lists it as failed
	EmptySince    time.Duration

	Draining         bool          // its tasks are being moved off it, so that it can be released
	DrainRetryAt     time.Duration // when to check again whether they can be
	Releasing        bool          // it is to be released: nothing new goes there
	ReleaseRequested bool          // the cloud's answer is to come
}

// HealthState is what failures of tasks say of a machine. It belongs to package jobs.
type HealthState struct {
	AvoidUntil time.Duration   // nothing is placed there before
	FailedJobs map[string]bool // jobs that have failed there; true: they run well elsewhere
	Cordoned   bool
}

func newMachine(name string, now time.Duration) *Machine {
	return &Machine{
		Name:         name,
		Worker:       WorkerState{FinishedAttempts: map[protocol.Attempt]FinishedAttempt{}},
		Provisioning: ProvisioningState{ProvisionedAt: now, EmptySince: now},
		Health:       HealthState{FailedJobs: map[string]bool{}},
	}
}

// Offering is what the machine was provisioned as.
func (m *Machine) Offering() Offering { return Offering{m.Type, m.Zone, m.Spot} }

// SetOffering notes what the machine was provisioned as.
func (m *Machine) SetOffering(machineType, zone string, spot bool) {
	m.Type, m.Zone, m.Spot = machineType, zone, spot
}

// Expired reports whether the lease of the worker's present incarnation has certainly
// expired.
func (w *WorkerState) Expired() bool { return w.Incarnation <= w.ExpiredIncarnation }

// ForgetTasks forgets everything that an incarnation had said of tasks.
func (w *WorkerState) ForgetTasks() {
	w.UnknownTasks = nil
	w.FinishedAttempts = map[protocol.Attempt]FinishedAttempt{}
}

func hasExited(status protocol.TaskStatus) bool { return status.State == protocol.Exited }
