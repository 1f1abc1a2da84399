// Package message defines what goes into the controller's state machine and what comes out
// of it: events and effects. The state machine itself does no input or output; the process
// around it turns requests and results into events and carries the effects out.
//
// Nobody changes an event or an effect, or what it points to, after handing it over.
package message

import (
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// Now is the time of a step.
type Now struct {
	Monotonic time.Duration // monotonic clock, since the process began
	WallMs    int64         // wall clock, in milliseconds since 1970
}

// LimiterTime is the monotonic clock as rate limiters take it.
func (n Now) LimiterTime() time.Time { return time.Unix(1, 0).Add(n.Monotonic) }

// Event is what goes into Step: a request, an answer to an effect, or time.
type Event interface{ event() }

// Request is an event that is answered with a Reply of its ID, or handed to the leader with a
// Forward of its ID.
type Request interface {
	Event
	// WithID gives the same request with this ID.
	WithID(id uint64) Request
}

// Effect is what comes out of Step, to be carried out by the process around it.
type Effect interface{ effect() }

// Events that go into Step.
type (
	// UserRequest is a request of a user.
	UserRequest struct {
		ID         uint64
		Kind       UserRequestKind
		Job        string
		Submission *protocol.Submission
	}
	// HeartbeatRequest is a heartbeat of a worker.
	HeartbeatRequest struct {
		ID        uint64
		Heartbeat *protocol.Heartbeat
	}
	// StepDownRequest is a new leader's request to step down from older terms.
	StepDownRequest struct {
		ID     uint64
		Term   int64
		Leader string
		// QueriesArchiveSupport asks whether this node reads the archive of ended jobs.
		QueriesArchiveSupport bool
	}
	// CloudResult answers a CloudCall.
	CloudResult struct {
		ID       uint64
		Outcome  rpc.Outcome
		Types    []protocol.MachineType
		List     protocol.MachineList
		Machines []string
	}
	// CommandsResult answers a CommandsCall: OK, Conflict (nothing executed), NotSent or Unknown.
	CommandsResult struct {
		ID        uint64
		Machine   string
		Outcome   rpc.Outcome
		Heartbeat *protocol.Heartbeat // the worker's answer; nil: none, or it can't be read
	}
	// PeerResult answers a PeerCall. If the peer didn't answer, the response is its zero value.
	PeerResult struct {
		PeerCall
		protocol.StepDownResponse
	}
	// StateResult answers a StateCall.
	StateResult struct{ storage.StateResult }
	// Tick says that time has passed.
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

// WithID gives the same request with this ID.
func (c UserRequest) WithID(id uint64) Request { c.ID = id; return c }

// WithID gives the same request with this ID.
func (c HeartbeatRequest) WithID(id uint64) Request { c.ID = id; return c }

// WithID gives the same request with this ID.
func (c StepDownRequest) WithID(id uint64) Request { c.ID = id; return c }

// WithID gives the same request with this ID.
func (c AdminRequest) WithID(id uint64) Request { c.ID = id; return c }

// UserRequestKind is what a user asks for.
type UserRequestKind uint8

// What users ask for.
const (
	Submit UserRequestKind = iota
	Poll
	Cancel
)

// Effects that come out of Step.
type (
	// Reply answers a Request.
	Reply struct {
		ID              uint64
		Status          int
		Body            []byte
		RetryAfterS     int  // seconds; 0: no such header
		CloseConnection bool // a retry on a new connection may reach another controller
	}
	// Forward has a UserRequest or an AdminRequest sent on to the leader.
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
		// NotAfter is until when it may be sent, by the monotonic clock: after that another
		// controller may lead. 0: at any time.
		NotAfter time.Duration
	}
	// CommandsCall sends commands directly to a worker.
	CommandsCall struct {
		ID                        uint64
		Machine, Addr             string
		FencingToken, Incarnation int64
		Commands                  []protocol.Command
		// NotAfter is until when it may be sent, as with CloudCall.
		NotAfter time.Duration
	}
	// PeerCall asks a peer to step down from terms below Term.
	PeerCall struct {
		Peer   string
		Term   int64
		SentAt time.Duration // by the monotonic clock
		// QueriesArchiveSupport asks whether the peer reads the archive of ended jobs.
		QueriesArchiveSupport bool
	}
	// Log is a log line.
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

// LogLevel is the level of a log line.
type LogLevel uint8

// Levels.
const (
	Debug LogLevel = iota
	Info
	Error
)

// AdminRequestKind is what an operator asks for.
type AdminRequestKind uint8

// What operators ask for.
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
