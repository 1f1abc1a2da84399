// Package step holds the state that the components of a controller share during one step of its
// state machine: the time, the emitted effects, the counters, the random numbers and the
// outstanding requests to the state service. It reads no clock and does no input or output.
package step

import (
	"math/rand/v2"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/pause"
	"oakpick/internal/protocol"
)

// randomStream separates the controllers' random numbers from other streams with the same seed.
const randomStream = 0x6f616b

// statusUnavailable is the HTTP status of a refused request, and retryAfterS the delay in seconds
// after which the sender may retry.
const (
	statusUnavailable = 503
	retryAfterS       = 1
)

// Context is the context of the current step. It belongs to one controller and must be used only
// by the goroutine that owns the controller.
type Context struct {
	Now    message.Now
	Random *rand.Rand
	Stats  message.Stats
	Pauses pause.Detector

	effects []message.Effect
	lastID  uint64
}

// NewContext returns a context whose random numbers are derived from the seed. A time of more than
// pauseThreshold between two steps counts as a pause of the process.
func NewContext(seed uint64, pauseThreshold time.Duration) *Context {
	return &Context{
		Random: rand.New(rand.NewPCG(seed, randomStream)),
		Pauses: pause.Detector{Threshold: pauseThreshold},
	}
}

// Begin starts a step.
func (c *Context) Begin(now message.Now) { c.Now, c.effects = now, nil }

// Effects returns the effects emitted so far in this step.
func (c *Context) Effects() []message.Effect { return c.effects }

// Monotonic returns the monotonic time of the step.
func (c *Context) Monotonic() time.Duration { return c.Now.Monotonic }

// Emit adds an effect to the step.
func (c *Context) Emit(effect message.Effect) { c.effects = append(c.effects, effect) }

// Log emits a log line. The args are alternating keys and values, as in log/slog.
func (c *Context) Log(level message.LogLevel, text string, args ...any) {
	c.Emit(message.Log{Level: level, Message: text, Args: args})
}

// NextID returns an ID that is unique among the effects of this process.
func (c *Context) NextID() uint64 { c.lastID++; return c.lastID }

// Refuse answers a request with status 503 and a Retry-After delay.
func (c *Context) Refuse(id uint64, reason string) {
	c.Emit(message.Reply{ID: id, Status: statusUnavailable, Body: protocol.EncodeError(reason), RetryAfterS: retryAfterS})
}

// SilenceDuration returns how long a peer or machine has been silent if its last message arrived at
// heardAt. Time during which this process was paused does not count, because no message could be
// received then.
func (c *Context) SilenceDuration(heardAt time.Duration) time.Duration {
	return c.Monotonic() - c.Pauses.ClampToResume(heardAt)
}
