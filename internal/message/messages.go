// Package message defines the events that the controller's state machine receives and the effects
// that it emits. The state machine does no input or output; the surrounding process converts
// requests and results into events and executes the effects.
//
// Events and effects, and the data that they point to, must not be modified after they are sent.
package message

import (
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// Now is the time of a step.
type Now struct {
	Monotonic time.Duration // monotonic time since the start of the process
	WallMs    int64         // wall clock, in milliseconds since 1970
}

// LimiterTime converts the monotonic time to a time.Time for rate limiters.
func (n Now) LimiterTime() time.Time { return time.Unix(1, 0).Add(n.Monotonic) }

// Event is an input of the state machine: a request, the result of an effect, or a tick.
type Event interface{ event() }

// Request is an event that is answered with a Reply or forwarded to the leader with a Forward; both
// carry the ID of the request.
type Request interface {
	Event
	// WithID returns a copy of the request with the given ID.
	WithID(id uint64) Request
}

// Effect is an output of the state machine, to be executed by the surrounding process.
type Effect interface{ effect() }

// Events that the state machine receives.
type (
	// UserRequest is a request from a user.
	UserRequest struct {
		ID         uint64
		Kind       UserRequestKind
		Job        string
		Submission *protocol.Submission
	}
	// HeartbeatRequest is a heartbeat from a worker.
	HeartbeatRequest struct {
		ID        uint64
		Heartbeat *protocol.Heartbeat
	}
	// StepDownRequest is a new leader's request to step down from older terms.
	StepDownRequest struct {
		ID     uint64
		Term   int64
		Leader string
		// QueriesArchiveSupport asks whether this node can read the archive of ended jobs.
		QueriesArchiveSupport bool
		// QueriesMachineTypes asks for the machine types that this node knows as the leader.
		QueriesMachineTypes bool
	}
	// CloudResult is the result of a CloudCall.
	CloudResult struct {
		ID       uint64
		Outcome  rpc.Outcome
		Types    []protocol.MachineType
		List     protocol.MachineList
		Machines []string
	}
	// CommandsResult is the result of a CommandsCall. Outcome is OK, Conflict (nothing was executed),
	// NotSent or Unknown.
	CommandsResult struct {
		ID        uint64
		Machine   string
		Outcome   rpc.Outcome
		Heartbeat *protocol.Heartbeat // the worker's response; nil if there is none or it cannot be decoded
	}
	// PeerResult is the result of a PeerCall. If the peer didn't answer, the response is the zero value.
	PeerResult struct {
		PeerCall
		protocol.StepDownResponse
	}
	// StateResult is the result of a StateCall.
	StateResult struct{ storage.StateResult }
	// Tick reports that time has passed.
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

// WithID returns a copy of the request with the given ID.
func (c UserRequest) WithID(id uint64) Request { c.ID = id; return c }

// WithID returns a copy of the request with the given ID.
func (c HeartbeatRequest) WithID(id uint64) Request { c.ID = id; return c }

// WithID returns a copy of the request with the given ID.
func (c StepDownRequest) WithID(id uint64) Request { c.ID = id; return c }

// WithID returns a copy of the request with the given ID.
func (c AdminRequest) WithID(id uint64) Request { c.ID = id; return c }

// UserRequestKind is the kind of a user's request.
type UserRequestKind uint8

// Kinds of user requests.
const (
	Submit UserRequestKind = iota
	Poll
	Cancel
)

// Effects that the state machine emits.
type (
	// Reply answers a Request.
	Reply struct {
		ID              uint64
		Status          int
		Body            []byte
		RetryAfterS     int  // Retry-After header in seconds; 0 for none
		CloseConnection bool // close the connection, so that a retry may reach another controller
	}
	// Forward sends a UserRequest or an AdminRequest to the leader.
	Forward struct {
		ID   uint64
		Peer string
	}
	// StateCall sends a request to the state service.
	StateCall struct{ storage.StateCall }
	// CloudCall sends a request to the cloud API.
	CloudCall struct {
		ID           uint64
		Op           CloudOp
		StartAfter   string
		Provisioning protocol.ProvisioningRequest
		Machines     []string
		// NotAfter is the deadline for sending the call, by the monotonic clock, because another
		// controller may lead after that time. 0 means no deadline.
		NotAfter time.Duration
	}
	// CommandsCall sends commands directly to a worker.
	CommandsCall struct {
		ID                        uint64
		Machine, Address          string
		FencingToken, Incarnation int64
		Commands                  []protocol.Command
		// NotAfter is the deadline for sending the call, as in CloudCall.
		NotAfter time.Duration
	}
	// PeerCall asks a peer to step down from terms below Term.
	PeerCall struct {
		Peer   string
		Term   int64
		SentAt time.Duration // by the monotonic clock
		// QueriesArchiveSupport asks whether the peer can read the archive of ended jobs.
		QueriesArchiveSupport bool
		// QueriesMachineTypes asks for the machine types that the peer knows as the leader.
		QueriesMachineTypes bool
	}
	// Log writes a log line.
	Log struct {
		Level   LogLevel
		Message string
		Args    []any // alternating keys and values, as in log/slog
	}
)

func (Reply) effect()        {}
func (Forward) effect()      {}
func (StateCall) effect()    {}
func (CloudCall) effect()    {}
func (CommandsCall) effect() {}
func (PeerCall) effect()     {}
func (Log) effect()          {}

// CloudOp is the kind of a cloud API request.
type CloudOp uint8

// Kinds of cloud API requests.
const (
	CloudListTypes CloudOp = iota
	CloudListMachines
	CloudScaleOut
	CloudScaleIn
)

// LogLevel is the level of a log line.
type LogLevel uint8

// Log levels.
const (
	Debug LogLevel = iota
	Info
	Error
)

// AdminRequestKind is the kind of an operator's request.
type AdminRequestKind uint8

// Kinds of operator requests.
const (
	AdminStatus AdminRequestKind = iota
	AdminReadOptions
	AdminChangeOptions
	AdminJob
)

// AdminRequest is a request from an operator. Its body and response are JSON.
type AdminRequest struct {
	ID   uint64
	Kind AdminRequestKind
	Body []byte
	Job  string // job ID for AdminJob
}
