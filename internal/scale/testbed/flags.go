package testbed

import (
	"errors"
	"fmt"

	"github.com/go-playground/validator/v10"

	"oakpick/internal/config"
)

// FlagError reports a command line flag whose value breaks a rule of its validate tag.
type FlagError struct {
	Flag       string // without dashes; an element of a list has its index: "steps[1]"
	Rule       string // name of a rule of package validator: "gte", "oneof"
	RuleValues string // parameter of the rule: "2"
}

// Error names the flag and the rule.
func (e *FlagError) Error() string {
	return fmt.Sprintf("--%s: out of range (%s %s)", e.Flag, e.Rule, e.RuleValues)
}

// CheckFlags validates the fields of a struct by their validate tags and returns an error, usually
// a *FlagError, for each violation. A field's name tag is the name of its flag.
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
