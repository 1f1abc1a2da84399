package step

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// StateCalls tracks the outstanding requests to the state service.
type StateCalls struct {
	context        *Context
	handlers       map[uint64]func(storage.StateResult)
	lastResponseAt time.Duration
}

// NewStateCalls returns a StateCalls without outstanding requests.
func NewStateCalls(context *Context) *StateCalls {
	return &StateCalls{context: context, handlers: map[uint64]func(storage.StateResult){}}
}

// Send emits a request. The handler is called with its result, unless Reset is called first.
func (s *StateCalls) Send(call storage.StateCall, handle func(storage.StateResult)) {
	call.ID = s.context.NextID()
	s.handlers[call.ID] = handle
	s.context.Emit(message.StateCall{StateCall: call})
}

// Handle passes a result to the handler of its request.
func (s *StateCalls) Handle(result storage.StateResult) {
	handle, ok := s.handlers[result.ID]
	if !ok {
		return
	}
	delete(s.handlers, result.ID)
	if result.Outcome == rpc.OK || result.Outcome == rpc.NotFound || result.Outcome == rpc.Conflict {
		s.lastResponseAt = s.context.Monotonic()
	}
	handle(result)
}

// Reset drops all outstanding requests. Their results belong to a term that has ended and must not
// be processed in the next term.
func (s *StateCalls) Reset() { clear(s.handlers) }

// InFlight returns the number of outstanding requests.
func (s *StateCalls) InFlight() int { return len(s.handlers) }

// LastResponseAt returns the time of the state service's last definite response: OK, NotFound or Conflict.
func (s *StateCalls) LastResponseAt() time.Duration { return s.lastResponseAt }
