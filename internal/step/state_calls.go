package step

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// StateCalls are the requests to the state service whose results are still to come.
type StateCalls struct {
	context  *Context
	handlers map[uint64]func(storage.StateResult)
	heardAt  time.Duration
}

// NewStateCalls returns an empty set.
func NewStateCalls(context *Context) *StateCalls {
	return &StateCalls{context: context, handlers: map[uint64]func(storage.StateResult){}}
}

// Send emits a request. Its result, if one comes before the next Reset, goes to the handler.
func (s *StateCalls) Send(call storage.StateCall, handle func(storage.StateResult)) {
	call.ID = s.context.NextID()
	s.handlers[call.ID] = handle
	s.context.Emit(message.StateCall{StateCall: call})
}

// Handle hands a result to the handler of its request.
func (s *StateCalls) Handle(result storage.StateResult) {
	handle, ok := s.handlers[result.ID]
	if !ok {
		return
	}
	delete(s.handlers, result.ID)
	if result.Outcome == rpc.OK || result.Outcome == rpc.NotFound || result.Outcome == rpc.Conflict {
		s.heardAt = s.context.Monotonic()
	}
	handle(result)
}

// Reset forgets all requests. A result that is still to come belongs to a term that is over,
// and must not be taken for one of the next.
func (s *StateCalls) Reset() { clear(s.handlers) }

// InFlight is how many requests have had no result yet.
func (s *StateCalls) InFlight() int { return len(s.handlers) }

// LastResponseAt is when the state service last decided a request.
func (s *StateCalls) LastResponseAt() time.Duration { return s.heardAt }
