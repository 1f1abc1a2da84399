package protocol

import (
	"math"
)

// fields reads required fields, and keeps what is wrong with the first that is.
type fields struct{ bad error }

func (f *fields) fail(format string, args ...any) {
	if f.bad == nil {
		f.bad = malformed(format, args...)
	}
}

func (f *fields) text(name string, v *string) string {
	if v == nil || *v == "" || len(*v) > maxName {
		f.fail("%s: missing, empty or too long", name)
	}
	if v == nil {
		return ""
	}
	return *v
}

func (f *fields) amount(name string, v *float64) float64 {
	if v == nil || math.IsNaN(*v) || *v < 0 || *v > maxAmount {
		f.fail("%s: missing or out of range", name)
	}
	if v == nil {
		return 0
	}
	return *v
}

func (f *fields) flag(name string, v *bool) bool {
	if v == nil {
		f.fail("%s: missing", name)
	}
	return v != nil && *v
}

// wordOf reads one of a field's words.
func wordOf[V any](f *fields, name string, words map[string]V, v *string) V {
	value, ok := words[f.text(name, v)]
	if !ok {
		f.fail("%s: unknown word", name)
	}
	return value
}

// kinds reads the allowed machine types; nil: any.
func (f *fields) kinds(v *[]string) []string {
	if v == nil {
		return nil
	}
	if len(*v) > maxTypes {
		f.fail("kinds_of_host: too many")
	}
	types := []string{}
	for _, k := range *v {
		if k == "" || len(k) > maxName {
			f.fail("kinds_of_host: empty or too long")
		}
		types = append(types, k)
	}
	return types
}
