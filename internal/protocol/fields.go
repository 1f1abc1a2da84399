package protocol

import (
	"math"
)

const (
	maxNumber             = 1e9 // upper bound of every numeric field
	maxNameBytes          = 128
	maxTypesPerSubmission = 16
)

// fieldReader reads fields and keeps the error of the first invalid one. Errors name fields by
// their wire names.
type fieldReader struct{ err error }

func (f *fieldReader) fail(field, problem string) {
	if f.err == nil {
		f.err = &FieldError{Field: field, Problem: problem}
	}
}

func (f *fieldReader) requiredString(field string, v *string) string {
	if v == nil || *v == "" || len(*v) > maxNameBytes {
		f.fail(field, "missing, empty or too long")
	}
	if v == nil {
		return ""
	}
	return *v
}

func (f *fieldReader) requiredNumber(field string, v *float64) float64 {
	if v == nil || math.IsNaN(*v) || *v < 0 || *v > maxNumber {
		f.fail(field, "missing or out of range")
	}
	if v == nil {
		return 0
	}
	return *v
}

func (f *fieldReader) requiredBool(field string, v *bool) bool {
	if v == nil {
		f.fail(field, "missing")
	}
	return v != nil && *v
}

// requiredEnum reads a required field whose value is one of the wire names.
func requiredEnum[V any](f *fieldReader, field string, names map[string]V, v *string) V {
	value, ok := names[f.requiredString(field, v)]
	if !ok {
		f.fail(field, "unknown word")
	}
	return value
}

// machineTypes reads the allowed machine types; nil allows any type.
func (f *fieldReader) machineTypes(v *[]string) []string {
	const field = "kinds_of_host"
	if v == nil {
		return nil
	}
	if len(*v) > maxTypesPerSubmission {
		f.fail(field, "too many")
	}
	types := []string{}
	for _, name := range *v {
		if name == "" || len(name) > maxNameBytes {
			f.fail(field, "empty or too long")
		}
		types = append(types, name)
	}
	return types
}
