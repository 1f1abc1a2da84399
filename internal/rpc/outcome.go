// Package rpc holds what the clients of other components share: how a call ended, and
// connections that tell whether a request can have been sent.
package rpc

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome is how a call to another component ended.
type Outcome uint8

const (
	// OK means that the request was executed.
	OK Outcome = iota
	// Conflict means that a condition of the request did not hold.
	Conflict
	// NotFound means that there is no such thing.
	NotFound
	// Invalid means that the request was called malformed.
	Invalid
	// Refused means that the component did not execute the request because of its load.
	Refused
	// NotSent means that no connection was made: nothing was executed.
	NotSent
	// Unknown means that the request may have been executed, or may yet be.
	Unknown
)

// DialError tells that a connection was never made: nothing was sent on it.
type DialError struct{ Err error }

func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the error of the network.
func (e *DialError) Unwrap() error { return e.Err }

// NewDialFunc returns a function that connects within the timeout. Its errors are *DialError.
func NewDialFunc(timeout time.Duration) fasthttp.DialFunc {
	dialer := &net.Dialer{Timeout: timeout}
	return func(addr string) (net.Conn, error) {
		// The library's function has no context; the timeout bounds the call.
		connection, err := dialer.DialContext(context.Background(), "tcp4", addr)
		if err != nil {
			return nil, &DialError{err}
		}
		return connection, nil
	}
}

// NeverRetry is a RetryIfErr that keeps the HTTP library from sending anything twice by
// itself: every retry is a decision of the controller, which has to know of it.
func NeverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// OutcomeOfError returns the outcome of a call that got no response.
func OutcomeOfError(err error) Outcome {
	var dial *DialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return NotSent
	}
	return Unknown
}

// OutcomeOfStatus returns the outcome of a call by the HTTP status of its response.
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
