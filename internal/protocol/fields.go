package protocol

import (
	"math"
)

const (
	maxAmount       = 1e9 // of any number
	maxNameBytes    = 128
	maxMachineTypes = 16 // of a submission
)

// fieldReader reads required fields, and keeps what is wrong with the first that is. Fields
// are named by their wire words.
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
	if v == nil || math.IsNaN(*v) || *v < 0 || *v > maxAmount {
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

// requiredWord reads a field that holds one of a set of words.
func requiredWord[V any](f *fieldReader, field string, words map[string]V, v *string) V {
	value, ok := words[f.requiredString(field, v)]
	if !ok {
		f.fail(field, "unknown word")
	}
	return value
}

// machineTypes reads the allowed machine types; nil: any.
func (f *fieldReader) machineTypes(v *[]string) []string {
	const field = "kinds_of_host"
	if v == nil {
		return nil
	}
	if len(*v) > maxMachineTypes {
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
