// Package step holds what the parts of a controller share while one step of its state
// machine is taken: the time, the effects that leave it, its counters, its random numbers and
// the requests to the state service whose results are still to come. It reads no clock and
// does no input or output.
package step

import (
	"math/rand/v2"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/pause"
	"oakpick/internal/protocol"
)

// randomStream tells the controllers' random numbers from others drawn with the same seed.
const randomStream = 0x6f616b

// statusUnavailable is the status of a refused request, and retryAfterS when its sender may
// come back.
const (
	statusUnavailable = 503
	retryAfterS       = 1
)

// Context is the context of the step that is being taken. It belongs to one controller and
// is used by its owner's goroutine only.
type Context struct {
	Now    message.Now
	Random *rand.Rand
	Stats  message.Stats
	Pauses pause.Detector

	effects []message.Effect
	lastID  uint64
}

// NewContext returns a context whose random numbers follow from a seed. A time between two
// steps of more than pauseThreshold counts as a pause of the process.
func NewContext(seed uint64, pauseThreshold time.Duration) *Context {
	return &Context{
		Random: rand.New(rand.NewPCG(seed, randomStream)),
		Pauses: pause.Detector{Threshold: pauseThreshold},
	}
}

// Begin starts a step.
func (c *Context) Begin(now message.Now) { c.Now, c.effects = now, nil }

// Effects returns what the step has emitted so far.
func (c *Context) Effects() []message.Effect { return c.effects }

// Monotonic is the time of the step by the steady clock.
func (c *Context) Monotonic() time.Duration { return c.Now.Monotonic }

// Emit adds an effect.
func (c *Context) Emit(effect message.Effect) { c.effects = append(c.effects, effect) }

// Log emits a line for the operator; args are keys and values, as log/slog takes them.
func (c *Context) Log(level message.LogLevel, text string, args ...any) {
	c.Emit(message.Log{Level: level, Message: text, Args: args})
}

// NextID returns a number that no other effect of this process has.
func (c *Context) NextID() uint64 { c.lastID++; return c.lastID }

// Refuse answers a request with 503: its sender is to come back.
func (c *Context) Refuse(id uint64, reason string) {
	c.Emit(message.Reply{ID: id, Status: statusUnavailable, Body: protocol.EncodeError(reason), RetryAfterS: retryAfterS})
}

// SilentFor is for how long something last heard at a time has been silent while it could
// have been heard: what was not heard during a pause of this process says nothing.
func (c *Context) SilentFor(heardAt time.Duration) time.Duration {
	return c.Monotonic() - c.Pauses.ClampToResume(heardAt)
}
