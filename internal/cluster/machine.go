package cluster

import (
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

// Machine is a machine of the fleet: the state last reported by its worker, and the tasks that may
// be on it. The comment of each part names the package that owns it.
type Machine struct {
	Name, Address, Type, Zone string
	Spot                      bool

	Worker       WorkerState
	Commands     CommandState
	Provisioning ProvisioningState
	Health       HealthState
	Images       ImageCache

	Tasks           []*Task
	GuaranteedTasks int              // tasks of teams that are not best effort
	Allocated       resources.Amount // resources requested by its tasks
	Stopping        resources.Amount // part of Allocated that belongs to stopping tasks

	// Unassigned is the free capacity minus the requests of the tasks that the current scheduling
	// cycle has assigned to the machine. It is negative if these include tasks that wait for the
	// resources of stopping tasks. LowestRank is the lowest rank of the machine's tasks that are
	// neither stopping nor cancelled. Package scheduling owns both.
	Unassigned resources.Amount
	LowestRank int
}

// WorkerState is the state reported by a machine's worker, and the state of its lease. Package
// workers owns it.
type WorkerState struct {
	Registered        bool          // the worker has reported in this term
	Incarnation       int64         // of the newest message
	Sequence          int64         // of the newest message
	IncarnationSeenAt time.Duration // when the incarnation was first seen
	FencingToken      int64         // highest token that the worker has reported
	LastSeenAt        time.Duration

	HeartbeatIncarnation, HeartbeatSequence int64 // of the newest heartbeat

	Answered           bool          // a heartbeat was answered with status 200
	AnsweredAt         time.Duration // when a heartbeat was last answered with status 200
	ExpiredIncarnation int64         // leases of incarnations up to this one have certainly expired

	InterruptionAt time.Duration // when the cloud will interrupt the machine; 0 if no notice was received
	// UnknownTasks are reported by the worker but are not in the records.
	UnknownTasks  []protocol.TaskStatus
	EndedAttempts map[protocol.Attempt]EndedAttempt
}

// EndedAttempt is an ended attempt that its worker still reports. After the worker has forgotten
// it, a delayed copy of its start command could start it again. The forget command is therefore
// sent only with a token higher than that of every start of the attempt.
type EndedAttempt struct {
	Committed    bool          // the result of the attempt is durable
	FencingToken int64         // highest token that a start of the attempt may carry
	EndedAt      time.Duration // when the end was reported
}

// CommandState is the state of the command calls to a machine's worker. Package workers owns it.
type CommandState struct {
	Pending bool // there are commands to send
	queued  bool // the machine is in State.pendingCommands

	CallID     uint64 // call in progress; 0 if there is none
	CallSentAt time.Duration
	Starting   []*Task // tasks that the call starts
	RetryAt    time.Duration
	Failures   int // consecutive failed calls

	// UnconfirmedToken is the highest fencing token of a start that may still arrive, and
	// UnconfirmedAt is when the first such start was sent.
	UnconfirmedToken int64
	UnconfirmedAt    time.Duration
}

// ProvisioningState is the state of a machine at the cloud provider. Package autoscaling owns it,
// except for EmptySince.
type ProvisioningState struct {
	ProvisionedAt time.Duration // best known time of provisioning
	ListedAt      time.Duration // when the cloud last listed the machine; 0 if it has not
	RunningAt     time.Duration // when the cloud first listed the machine as running; 0 if it has not
	Failed        bool          // the cloud lists it as failed
	EmptySince    time.Duration // when the machine registered or lost its last task; 0 since a task was placed on it

	Draining         bool          // its tasks are being moved to other machines before its release
	DrainRetryAt     time.Duration // when to check again whether its tasks can be moved
	Releasing        bool          // to be released; receives no new tasks
	ReleaseRequested bool          // the release request has not been answered yet
}

// HealthState is a machine's health, derived from failed tasks and command calls. Package jobs owns
// it, except that package workers extends AvoidUntil after a failed call.
type HealthState struct {
	AvoidUntil   time.Duration   // no task is placed on the machine before this time
	FailedJobs   map[string]bool // jobs that have failed on the machine; true if they run well elsewhere
	SuspectUntil time.Duration   // until when the machine is suspect because several jobs have failed on it
	Cordoned     bool            // the machine is suspect until a task runs well on it

	Failures         int           // tasks that failed on the machine since one last ran well
	LastFailureAt    time.Duration // valid if Failures is not 0
	LongestFailedRun time.Duration // longest time that one of these tasks ran before it failed
}

// Suspect reports whether failures suggest that the machine is faulty. A task is placed on a suspect
// machine only if no other machine has room for it.
func (h *HealthState) Suspect(now time.Duration) bool { return h.Cordoned || now < h.SuspectUntil }

func newMachine(name string, now time.Duration) *Machine {
	return &Machine{
		Name:         name,
		Worker:       WorkerState{EndedAttempts: map[protocol.Attempt]EndedAttempt{}},
		Provisioning: ProvisioningState{ProvisionedAt: now, EmptySince: now},
		Health:       HealthState{FailedJobs: map[string]bool{}},
	}
}

// Offering returns the offering that the machine was provisioned from.
func (m *Machine) Offering() Offering { return Offering{m.Type, m.Zone, m.Spot} }

// SetOffering sets the offering that the machine was provisioned from.
func (m *Machine) SetOffering(machineType, zone string, spot bool) {
	m.Type, m.Zone, m.Spot = machineType, zone, spot
}

// Expired reports whether the lease of the worker's current incarnation has certainly expired.
func (w *WorkerState) Expired() bool { return w.Incarnation <= w.ExpiredIncarnation }

// ForgetTasks discards the tasks that the worker's incarnation has reported.
func (w *WorkerState) ForgetTasks() {
	w.UnknownTasks = nil
	w.EndedAttempts = map[protocol.Attempt]EndedAttempt{}
}

func hasExited(status protocol.TaskStatus) bool { return status.State == protocol.Exited }
