package protocol

import (
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by all errors caused by a sender that violates the protocol. The texts
// of these errors are sent back to the sender.
var ErrMalformed = errors.New("malformed")

// FieldError describes what is wrong with a field of a message. It wraps ErrMalformed.
type FieldError struct {
	Field   string // wire name of the field
	Problem string
}

func (e *FieldError) Error() string { return ErrMalformed.Error() + ": " + e.Field + ": " + e.Problem }

// Unwrap returns ErrMalformed.
func (*FieldError) Unwrap() error { return ErrMalformed }

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// wrapMalformed marks an error of the msgpack library as a malformed message.
func wrapMalformed(err error) error { return fmt.Errorf("%w: %w", ErrMalformed, err) }
