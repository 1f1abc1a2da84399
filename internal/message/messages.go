// Package message defines what goes into the controller's state machine and what comes out
// of it: events and effects. The machine itself does no input or output; the process round
// it turns requests and results into events and carries the effects out.
package message

import (
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// Now is the time of a step: the steady clock since the process began, and the
// time of day in milliseconds.
type Now struct {
	Monotonic time.Duration
	WallMs    int64
}

// LimiterTime is the steady clock as rate limiters take it.
func (n Now) LimiterTime() time.Time { return time.Unix(1, 0).Add(n.Monotonic) }

// Event is what goes into Step: a request, an answer to an effect, or time.
type Event interface{ event() }

// Request is a command that is answered with a Reply of its ID.
type Request interface {
	Event
	// WithID gives the same request under such a number.
	WithID(id uint64) Request
}

// Effect is what comes out of Step, to be carried out by the process round it.
type Effect interface{ effect() }

// Commands that go into Step.
type (
	// UserRequest is a request of a user.
	UserRequest struct {
		ID         uint64
		Kind       UserRequestKind
		Job        string
		Submission *protocol.Submission
	}
	// HeartbeatRequest is a report of a worker.
	HeartbeatRequest struct {
		ID        uint64
		Heartbeat *protocol.Heartbeat
	}
	// StepDownRequest is a new leader's question.
	StepDownRequest struct {
		ID     uint64
		Term   int64
		Leader string
		// AsksArchive asks whether this node reads the archive of ended jobs.
		AsksArchive bool
	}
	// CloudResult answers a CloudCall.
	CloudResult struct {
		ID       uint64
		Outcome  rpc.Outcome
		Types    []protocol.MachineType
		List     protocol.MachineList
		Machines []string
	}
	// CommandsResult answers an CommandsCall: OK, Conflict (nothing executed), NotSent or Lost.
	CommandsResult struct {
		ID        uint64
		Machine   string
		Outcome   rpc.Outcome
		Heartbeat *protocol.Heartbeat
	}
	// PeerResult answers a PeerCall.
	PeerResult struct {
		PeerCall
		protocol.StepDownResponse
	}
	// StateResult answers a StateCall.
	StateResult struct{ storage.StateResult }
	// Tick lets time pass.
	Tick struct{}
)

func (UserRequest) event()      {}
func (HeartbeatRequest) event() {}
func (StepDownRequest) event()  {}
func (AdminRequest) event()     {}
func (StateResult) event()      {}
func (CloudResult) event()      {}
func (CommandsResult) event()   {}
func (PeerResult) event()       {}
func (Tick) event()             {}

// WithID gives the same request under such a number.
func (c UserRequest) WithID(id uint64) Request { c.ID = id; return c }

// WithID gives the same request under such a number.
func (c HeartbeatRequest) WithID(id uint64) Request { c.ID = id; return c }

// WithID gives the same request under such a number.
func (c StepDownRequest) WithID(id uint64) Request { c.ID = id; return c }

// WithID gives the same request under such a number.
func (c AdminRequest) WithID(id uint64) Request { c.ID = id; return c }

// UserRequestKind is what a user asks.
type UserRequestKind uint8

// What users ask.
const (
	Submit UserRequestKind = iota
	Poll
	Cancel
)

// Effects that come out of Step.
type (
	// Reply answers a UserRequest, HeartbeatRequest or StepDownRequest.
	Reply struct {
		ID              uint64
		Status          int
		Body            []byte
		RetryAfterS     int  // seconds; 0: not said
		CloseConnection bool // the user had better come back on a new connection, which may lead elsewhere
	}
	// Forward hands a UserRequest to the leader.
	Forward struct {
		ID   uint64
		Peer string
	}
	// StateCall asks the state service.
	StateCall struct{ storage.StateCall }
	// CloudCall asks the cloud.
	CloudCall struct {
		ID           uint64
		Op           CloudOp
		StartAfter   string
		Provisioning protocol.ProvisioningRequest
		Machines     []string
		// NotAfter is until when it may be sent, by the steady clock: after that another
		// controller may lead. 0: at any time.
		NotAfter time.Duration
	}
	// CommandsCall sends commands straight to a worker.
	CommandsCall struct {
		ID                        uint64
		Machine, Addr             string
		FencingToken, Incarnation int64
		Commands                  []protocol.Command
		// NotAfter is until when it may be sent, as with CloudCall.
		NotAfter time.Duration
	}
	// PeerCall asks a peer to let go of terms below Term.
	PeerCall struct {
		Peer   string
		Term   int64
		SentAt time.Duration // when
		// AsksArchive asks whether the peer reads the archive of ended jobs.
		AsksArchive bool
	}
	// Log is a line for the operator.
	Log struct {
		Level   LogLevel
		Message string
		Args    []any // keys and values, as log/slog takes them
	}
)

func (Reply) effect()        {}
func (Forward) effect()      {}
func (StateCall) effect()    {}
func (CloudCall) effect()    {}
func (CommandsCall) effect() {}
func (PeerCall) effect()     {}
func (Log) effect()          {}

// CloudOp is a request to the cloud.
type CloudOp uint8

// Requests to the cloud.
const (
	CloudListTypes CloudOp = iota
	CloudListMachines
	CloudScaleOut
	CloudScaleIn
)

// LogLevel is how much a line matters.
type LogLevel uint8

// Levels.
const (
	Debug LogLevel = iota
	Info
	Error
)

// AdminRequestKind is what an operator asks.
type AdminRequestKind uint8

// What operators ask.
const (
	AdminStatus AdminRequestKind = iota
	AdminRead
	AdminChange
	AdminJob
)

// AdminRequest is a request of an operator; its body and its answer are JSON.
type AdminRequest struct {
	ID   uint64
	Kind AdminRequestKind
	Body []byte
	Job  string // that AdminJob is about
}
