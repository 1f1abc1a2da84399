// Package rpc holds what the clients of other components share: how a call ended, and
// connections that tell whether a request can have been sent.
package rpc

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome is how a call to another component ended.
type Outcome uint8

// Outcomes. NotSent and Refused prove that nothing was executed; after Unknown it
// may have been, or may yet be.
const (
	OK Outcome = iota
	Conflict
	NotFound
	Invalid
	Refused
	NotSent
	Unknown
)

// DialError marks a connection that was never made: nothing was sent on it.
type DialError struct{ Err error }

func (e *DialError) Error() string { return "dial: " + e.Err.Error() }
func (e *DialError) Unwrap() error { return e.Err }

// Dial connects within a time, and marks failures as such.
func Dial(wait time.Duration) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		c, err := net.DialTimeout("tcp4", addr, wait)
		if err != nil {
			return nil, &DialError{err}
		}
		return c, nil
	}
}

// NeverRetry keeps the HTTP library from sending anything twice by itself: every
// repeat is a decision of coordination, which has to know of it.
func NeverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// OutcomeOfError tells whether a call that brought no answer was sent at all.
func OutcomeOfError(err error) Outcome {
	var dial *DialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return NotSent
	}
	return Unknown
}

func OutcomeOfStatus(status int) Outcome {
	switch status {
	case fasthttp.StatusOK:
		return OK
	case fasthttp.StatusConflict:
		return Conflict
	case fasthttp.StatusNotFound:
		return NotFound
	case fasthttp.StatusBadRequest:
		return Invalid
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return Refused
	}
	return Unknown
}
