package controller_test

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/message"
)

// steppedController is a controller without a world: a test answers its effects itself.
type steppedController struct {
	*controller.Controller
	now message.Now
	// respond gives the response to an effect, which is delivered at once; nil: none comes.
	respond func(effect message.Effect) message.Event
}

// newSteppedController makes a controller that has just started.
func newSteppedController(cfg *config.Config, respond func(effect message.Effect) message.Event) *steppedController {
	return &steppedController{Controller: controller.New(cfg, "boot", 1), respond: respond}
}

// deliver has the controller handle an event, and the responses to its effects.
func (s *steppedController) deliver(event message.Event) {
	s.now.Monotonic += time.Millisecond
	for _, effect := range s.Step(s.now, []message.Event{event}) {
		if response := s.respond(effect); response != nil {
			s.deliver(response)
		}
	}
}

// tick has the controller handle what has become due after a time.
func (s *steppedController) tick(after time.Duration) {
	s.now.Monotonic += after
	s.deliver(message.Tick{})
}

// leads tells whether the controller believes that it leads.
func (s *steppedController) leads() bool { return s.Role() == "leader" }
