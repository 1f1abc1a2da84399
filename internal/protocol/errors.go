package protocol

import (
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by every error that a sender could have avoided by
// following the protocol.
var ErrMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}
