// Package rpc defines the outcomes of calls to other components, and a dial function whose errors
// prove that no request was sent.
package rpc

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome tells how a call to another component ended.
type Outcome uint8

const (
	// OK means that the request was executed.
	OK Outcome = iota
	// Conflict means that a condition of the request did not hold.
	Conflict
	// NotFound means that the requested object does not exist, or that the cloud has no capacity.
	NotFound
	// Invalid means that the component rejected the request as malformed.
	Invalid
	// Refused means that the component did not execute the request because the component is
	// overloaded or unavailable.
	Refused
	// NotSent means that no connection was made, so nothing was executed.
	NotSent
	// Unknown means that the request may have been executed, or may still be executed later.
	Unknown
)

// DialError is the error of a failed attempt to connect: no request was sent.
type DialError struct{ Err error }

func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

// Unwrap returns the network error.
func (e *DialError) Unwrap() error { return e.Err }

// NewDialFunc returns a function that connects within the timeout. Its errors are *DialError.
func NewDialFunc(timeout time.Duration) fasthttp.DialFunc {
	dialer := &net.Dialer{Timeout: timeout}
	return func(addr string) (net.Conn, error) {
		// A fasthttp.DialFunc gets no context; the timeout bounds the call.
		connection, err := dialer.DialContext(context.Background(), "tcp4", addr)
		if err != nil {
			return nil, &DialError{err}
		}
		return connection, nil
	}
}

// NeverRetry is a RetryIfErr function that disables the retries of the HTTP library: the
// controller has to know of every retry, so it alone decides on them.
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
