package protocol

import (
	"math"
)

// fieldReader reads required fields, and keeps what is wrong with the first that is.
type fieldReader struct{ err error }

func (f *fieldReader) fail(format string, args ...any) {
	if f.err == nil {
		f.err = malformed(format, args...)
	}
}

func (f *fieldReader) requiredString(name string, v *string) string {
	if v == nil || *v == "" || len(*v) > maxNameBytes {
		f.fail("%s: missing, empty or too long", name)
	}
	if v == nil {
		return ""
	}
	return *v
}

func (f *fieldReader) requiredNumber(name string, v *float64) float64 {
	if v == nil || math.IsNaN(*v) || *v < 0 || *v > maxAmount {
		f.fail("%s: missing or out of range", name)
	}
	if v == nil {
		return 0
	}
	return *v
}

func (f *fieldReader) requiredBool(name string, v *bool) bool {
	if v == nil {
		f.fail("%s: missing", name)
	}
	return v != nil && *v
}

// requiredWord reads one of a field's words.
func requiredWord[V any](f *fieldReader, name string, words map[string]V, v *string) V {
	value, ok := words[f.requiredString(name, v)]
	if !ok {
		f.fail("%s: unknown word", name)
	}
	return value
}

// machineTypes reads the allowed machine types; nil: any.
func (f *fieldReader) machineTypes(v *[]string) []string {
	if v == nil {
		return nil
	}
	if len(*v) > maxMachineTypes {
		f.fail("kinds_of_host: too many")
	}
	types := []string{}
	for _, k := range *v {
		if k == "" || len(k) > maxNameBytes {
			f.fail("kinds_of_host: empty or too long")
		}
		types = append(types, k)
	}
	return types
}
