package coordination

import (
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// Now is the time of a step: the steady clock since the process began, and the
// time of day in milliseconds.
type Now struct {
	Mono   time.Duration
	WallMs int64
}

// forLimiter is the steady clock as rate limiters take it.
func (n Now) forLimiter() time.Time { return time.Unix(1, 0).Add(n.Mono) }

// Outcome is how a call to another component ended.
type Outcome = storage.Outcome

// Outcomes.
const (
	OK       = storage.OK
	Conflict = storage.Conflict
	NotFound = storage.NotFound
	Invalid  = storage.Invalid
	Refused  = storage.Refused
	NotSent  = storage.NotSent
	Lost     = storage.Lost
)

// Command is what goes into Step: a request, an answer to an effect, or time.
type Command interface{ command() }

// Request is a command that is answered with a Reply of its ID.
type Request interface {
	Command
	// WithID gives the same request under such a number.
	WithID(id uint64) Request
}

// Effect is what comes out of Step, to be carried out by the process round it.
type Effect interface{ effect() }

// Commands that go into Step.
type (
	// UserCall is a request of a user.
	UserCall struct {
		ID     uint64
		Kind   UserKind
		Job    string
		Submit *protocol.Submission
	}
	// ReportCall is a report of a worker.
	ReportCall struct {
		ID     uint64
		Report *protocol.Report
	}
	// StepDownCall is a new leader's question.
	StepDownCall struct {
		ID     uint64
		Term   int64
		Leader string
		// AsksArchive asks whether this node reads the archive of ended jobs.
		AsksArchive bool
	}
	// CloudResult answers a CloudCall.
	CloudResult struct {
		ID      uint64
		Outcome Outcome
		Types   []protocol.MachineType
		List    protocol.MachineList
		Hosts   []string
	}
	// OrdersResult answers an OrdersCall: OK, Conflict (nothing executed), NotSent or Lost.
	OrdersResult struct {
		ID      uint64
		Host    string
		Outcome Outcome
		Report  *protocol.Report
	}
	// PeerResult answers a PeerCall.
	PeerResult struct {
		PeerCall
		protocol.StepDownAnswer
	}
	// StateResult answers a StateCall.
	StateResult struct{ storage.StateResult }
	// Tick lets time pass.
	Tick struct{}
)

func (UserCall) command()     {}
func (ReportCall) command()   {}
func (StepDownCall) command() {}
func (AdminCall) command()    {}
func (StateResult) command()  {}
func (CloudResult) command()  {}
func (OrdersResult) command() {}
func (PeerResult) command()   {}
func (Tick) command()         {}

// WithID gives the same request under such a number.
func (c UserCall) WithID(id uint64) Request { c.ID = id; return c }

// WithID gives the same request under such a number.
func (c ReportCall) WithID(id uint64) Request { c.ID = id; return c }

// WithID gives the same request under such a number.
func (c StepDownCall) WithID(id uint64) Request { c.ID = id; return c }

// WithID gives the same request under such a number.
func (c AdminCall) WithID(id uint64) Request { c.ID = id; return c }

// UserKind is what a user asks.
type UserKind uint8

// What users ask.
const (
	Submit UserKind = iota
	Poll
	Cancel
)

// Effects that come out of Step.
type (
	// Reply answers a UserCall, ReportCall or StepDownCall.
	Reply struct {
		ID         uint64
		Status     int
		Body       []byte
		RetryAfter int  // seconds; 0: not said
		Close      bool // the user had better come back on a new connection, which may lead elsewhere
	}
	// Forward hands a UserCall to the leader.
	Forward struct {
		ID   uint64
		Peer string
	}
	// StateCall asks the state service.
	StateCall struct{ storage.StateCall }
	// CloudCall asks the cloud.
	CloudCall struct {
		ID     uint64
		Op     CloudOp
		After  string
		Rental protocol.Rental
		Hosts  []string
		// Until is until when it may be sent, by the steady clock: after that another
		// controller may lead. 0: at any time.
		Until time.Duration
	}
	// OrdersCall sends commands straight to a worker.
	OrdersCall struct {
		ID             uint64
		Host, Addr     string
		Token, Session int64
		Commands       []protocol.Command
		// Until is until when it may be sent, as with CloudCall.
		Until time.Duration
	}
	// PeerCall asks a peer to let go of terms below Term.
	PeerCall struct {
		Peer  string
		Term  int64
		Asked time.Duration // when
		// AsksArchive asks whether the peer reads the archive of ended jobs.
		AsksArchive bool
	}
	// Log is a line for the operator.
	Log struct {
		Level LogLevel
		Text  string
		Args  []any // keys and values, as log/slog takes them
	}
)

func (Reply) effect()      {}
func (Forward) effect()    {}
func (StateCall) effect()  {}
func (CloudCall) effect()  {}
func (OrdersCall) effect() {}
func (PeerCall) effect()   {}
func (Log) effect()        {}

// CloudOp is a request to the cloud.
type CloudOp uint8

// Requests to the cloud.
const (
	CloudTypes CloudOp = iota
	CloudList
	CloudRent
	CloudReturn
)

// LogLevel is how much a line matters.
type LogLevel uint8

// Levels.
const (
	Debug LogLevel = iota
	Info
	Error
)
