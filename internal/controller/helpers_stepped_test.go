package controller_test

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/message"
)

// steppedController is a controller without a world: the test itself responds to its effects.
type steppedController struct {
	*controller.Controller
	now message.Now
	// respond returns the response to an effect, which is delivered immediately, or nil for no response.
	respond func(effect message.Effect) message.Event
}

// newSteppedController makes a controller that has just started.
func newSteppedController(cfg *config.Config, respond func(effect message.Effect) message.Event) *steppedController {
	return &steppedController{Controller: controller.New(cfg, "boot", 1), respond: respond}
}

// deliver lets the controller handle an event and then the responses to its effects.
func (s *steppedController) deliver(event message.Event) {
	s.now.Monotonic += time.Millisecond
	for _, effect := range s.Step(s.now, []message.Event{event}) {
		if response := s.respond(effect); response != nil {
			s.deliver(response)
		}
	}
}

// tick lets the controller handle everything that is due after the given time.
func (s *steppedController) tick(after time.Duration) {
	s.now.Monotonic += after
	s.deliver(message.Tick{})
}

// leads reports whether the controller believes that it is the leader.
func (s *steppedController) leads() bool { return s.Role() == "leader" }
