package config

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// FieldError describes an invalid field of a configuration file.
type FieldError struct {
	File  string // path of the file, or "settings" for the platform's settings file
	Field string // path of the field within the file, such as settings.workers.lease_s
	Err   error
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s: %v", e.File, e.Field, e.Err) }

// Unwrap returns the reason why the field is invalid.
func (e *FieldError) Unwrap() error { return e.Err }

// Errors in FieldError.Err.
var (
	errOutOfRange = errors.New("missing or out of range")
	errUnknownKey = errors.New("unknown key")
	errDuplicate  = errors.New("named twice")
)

// checkFields validates the struct that value points to by its validate tags and returns an error
// for each invalid field. nameTag is the tag that holds the fields' names in the file.
func checkFields(file, nameTag string, value any) (problems []error) {
	err := NewValidator(nameTag).Struct(value)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		for _, failure := range failures {
			// The namespace begins with the name of the Go struct type.
			_, field, _ := strings.Cut(failure.Namespace(), ".")
			reason := fmt.Errorf("%w: %s (%s)", errOutOfRange, formatValue(failure.Value()), formatRule(failure))
			problems = append(problems, &FieldError{File: file, Field: field, Err: reason})
		}
		return problems
	}
	if err != nil {
		return []error{fmt.Errorf("%s: %w", file, err)}
	}
	return nil
}

// formatValue formats a value for an error message.
func formatValue(value any) string {
	const maxLength = 80
	if s, ok := value.(string); ok {
		value = strconv.Quote(s)
	}
	return fmt.Sprintf("%.*s", maxLength, fmt.Sprint(value))
}

// formatRule formats the violated rule as in the validate tag.
func formatRule(failure validator.FieldError) string {
	if failure.Param() == "" {
		return failure.Tag()
	}
	return failure.Tag() + " " + failure.Param()
}

// NewValidator returns a validator whose errors use the field names in the given struct tag, such
// as json or toml.
func NewValidator(nameTag string) *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get(nameTag), ",")
		return name
	})
	return v
}
