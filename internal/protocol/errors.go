package protocol

import (
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by every error that a sender could have avoided by following the
// protocol. The texts of these errors are sent back to the sender.
var ErrMalformed = errors.New("malformed")

// FieldError says what is wrong with one field of a message. It wraps ErrMalformed.
type FieldError struct {
	Field   string // its wire word
	Problem string
}

func (e *FieldError) Error() string { return ErrMalformed.Error() + ": " + e.Field + ": " + e.Problem }

// Unwrap gives ErrMalformed.
func (*FieldError) Unwrap() error { return ErrMalformed }

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// malformedBy marks an error of the msgpack library as the sender's fault.
func malformedBy(err error) error { return fmt.Errorf("%w: %w", ErrMalformed, err) }
