package testbed

import (
	"errors"
	"fmt"

	"github.com/go-playground/validator/v10"

	"oakpick/internal/config"
)

// FlagError says that the value of a command line flag is out of the range that its tag gives.
type FlagError struct {
	Flag       string // without dashes, with the index of an element: "steps[1]"
	Rule       string // of package validator: "gte", "oneof"
	RuleValues string // "2"
}

// Error names the flag and the range.
func (e *FlagError) Error() string {
	return fmt.Sprintf("--%s: out of range (%s %s)", e.Flag, e.Rule, e.RuleValues)
}

// CheckFlags returns an error, mostly a *FlagError, for every field whose validate tag doesn't
// hold. The fields' name tags are the flags.
func CheckFlags(parameters any) []error {
	err := config.NewValidator("name").Struct(parameters)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return []error{err}
	}
	problems := make([]error, len(fields))
	for i, field := range fields {
		problems[i] = &FlagError{Flag: field.Field(), Rule: field.Tag(), RuleValues: field.Param()}
	}
	return problems
}
