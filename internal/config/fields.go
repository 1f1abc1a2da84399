package config

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// FieldError names a field of a file that can't be used.
type FieldError struct {
	File  string // its path, or "settings" for the platform's settings file
	Field string // its path in the file, such as settings.workers.lease_s
	Err   error
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s: %v", e.File, e.Field, e.Err) }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// Reasons of a FieldError.
var (
	errOutOfRange = errors.New("missing or out of range")
	errUnknownKey = errors.New("unknown key")
	errDuplicate  = errors.New("named twice")
)

// checkFields checks a pointer to a struct by its validate tags. The tag of the given name
// has the fields' names in the file. Each error is about one field.
func checkFields(file, nameTag string, value any) (problems []error) {
	err := NewValidator(nameTag).Struct(value)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		for _, failure := range failures {
			// The namespace begins with the name of the struct's type.
			_, field, _ := strings.Cut(failure.Namespace(), ".")
			reason := fmt.Errorf("%w: %s (%s)", errOutOfRange, valueText(failure.Value()), ruleText(failure))
			problems = append(problems, &FieldError{File: file, Field: field, Err: reason})
		}
		return problems
	}
	if err != nil {
		return []error{fmt.Errorf("%s: %w", file, err)}
	}
	return nil
}

// valueText is a value as errors show it.
func valueText(value any) string {
	const longest = 80
	if s, ok := value.(string); ok {
		value = strconv.Quote(s)
	}
	return fmt.Sprintf("%.*s", longest, fmt.Sprint(value))
}

// ruleText is the rule that a field breaks, as in its validate tag.
func ruleText(failure validator.FieldError) string {
	if failure.Param() == "" {
		return failure.Tag()
	}
	return failure.Tag() + " " + failure.Param()
}

// NewValidator returns a validator whose errors name fields by the tag of the given name,
// as a file does.
func NewValidator(nameTag string) *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get(nameTag), ",")
		return name
	})
	return v
}
