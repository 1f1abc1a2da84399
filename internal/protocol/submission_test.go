package protocol

import (
	"bytes"
	"errors"
	"runtime"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// validSubmission returns the fields of a valid submission, including a field unknown to this version.
func validSubmission() map[string]any {
	return map[string]any{
		"id": "wk-000412", "jobclass": "train", "owner": "vision", "shape": "ensemble", "rank": "urgent", "pieces": 16,
		"vcpus": 8, "gpus": 1.0, "mem_gb": 64.0, "bundle": "img-07", "image_gb": 6.2, "kinds_of_host": []string{"g8"}, "site": nil,
		"together": true, "spread": false, "loaners": true, "expected_s": 240.0, "savepoint_s": 30.0, "saving_s": 4.0,
		"due_s": 900.0, "something_new": map[string]any{"a": []int{1, 2}},
	}
}

func encodeMap(tb testing.TB, fields map[string]any) []byte {
	tb.Helper()
	body, err := msgpack.Marshal(fields)
	if err != nil {
		tb.Fatal(err)
	}
	return body
}

func TestDecodeSubmissionReadsEveryField(t *testing.T) {
	s, err := DecodeSubmission(encodeMap(t, validSubmission()))
	if err != nil {
		t.Fatal(err)
	}
	if s.Kind != Gang || s.Priority != High || s.Tasks != 16 || s.CPUs != 8 || s.Zone != "" || s.DeadlineS != 900 || len(s.Types) != 1 {
		t.Errorf("decoded as %+v", s)
	}
	fields := validSubmission()
	delete(fields, "kinds_of_host")
	delete(fields, "due_s")
	fields["pieces"] = uint64(100000)
	if s, err = DecodeSubmission(encodeMap(t, fields)); err != nil || s.Types != nil || s.DeadlineS != 0 || s.Tasks != 100000 {
		t.Errorf("null and omitted fields differ: %+v, %v", s, err)
	}
}

func TestDecodeSubmissionRejectsMalformedBodies(t *testing.T) {
	with := func(field string, value any) []byte {
		fields := validSubmission()
		fields[field] = value
		return encodeMap(t, fields)
	}
	without := func(field string) []byte {
		fields := validSubmission()
		delete(fields, field)
		return encodeMap(t, fields)
	}
	for name, body := range map[string][]byte{
		"empty":                 {},
		"array":                 {0x91, 0x01},
		"cut short":             encodeMap(t, validSubmission())[:40],
		"trailing bytes":        append(encodeMap(t, validSubmission()), 0xc0),
		"id missing":            without("id"),
		"id without its prefix": with("id", "job-1"),
		"tasks missing":         without("pieces"),
		"tasks a string":        with("pieces", "16"),
		"tasks a fraction":      with("pieces", 1.5),
		"no tasks":              with("pieces", 0),
		"too many tasks":        with("pieces", 100001),
		"negative CPUs":         with("vcpus", -1.0),
		"unknown kind":          with("shape", "gang"),
		"priority a number":     with("rank", 3),
		"flag missing":          without("spread"),
		"flag a number":         with("together", 1),
		"zone a number":         with("site", 3),
		"over the limit":        with("bundle", string(make([]byte, MaxBody))),
		"map too long":          {0xdf, 0xff, 0xff, 0xff, 0xff},
		"array too long":        {0x81, 0xa1, 'x', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"string too long":       {0x81, 0xa1, 'x', 0xdb, 0xff, 0xff, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := DecodeSubmission(body); !errors.Is(err, ErrMalformed) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// The error names the first invalid field by its wire name. Its text is part of the response, so
// it must not change.
func TestDecodeSubmissionNamesTheField(t *testing.T) {
	fields := validSubmission()
	fields["vcpus"], fields["rank"] = -1.0, "high"
	_, err := DecodeSubmission(encodeMap(t, fields))
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || fieldErr.Field != "vcpus" {
		t.Fatalf("got %v", err)
	}
	if text := "malformed: vcpus: missing or out of range"; err.Error() != text {
		t.Errorf("got %q, want %q", err, text)
	}
}

// Deeply nested bodies are rejected without large allocations or deep recursion.
func TestDecodeSubmissionRejectsDeepNestingCheaply(t *testing.T) {
	body := append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, MaxBody-10)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := DecodeSubmission(body)
	runtime.ReadMemStats(&after)
	if !errors.Is(err, ErrMalformed) {
		t.Errorf("got %v", err)
	}
	if used := after.TotalAlloc - before.TotalAlloc; used > 1<<20 {
		t.Errorf("allocated %d bytes", used)
	}
}

// decodePrerequisites decodes a submission whose prerequisites field has the given value.
func decodePrerequisites(t *testing.T, value any) ([]string, error) {
	t.Helper()
	fields := validSubmission()
	fields["prereqs"] = value
	s, err := DecodeSubmission(encodeMap(t, fields))
	if err != nil {
		return nil, err
	}
	return s.Prerequisites, nil
}

// Duplicate prerequisites are removed; null, absent and empty lists mean no prerequisites.
func TestDecodeSubmissionReadsPrerequisites(t *testing.T) {
	for name, c := range map[string]struct {
		value any
		want  []string
	}{
		"repeated": {[]string{"wk-1", "wk-000405", "wk-1"}, []string{"wk-1", "wk-000405"}},
		"null":     {nil, nil},
		"empty":    {[]string{}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := decodePrerequisites(t, c.value); err != nil || !slices.Equal(got, c.want) {
				t.Errorf("decoded as %v, %v", got, err)
			}
		})
	}
}

func TestDecodeSubmissionRejectsMalformedPrerequisites(t *testing.T) {
	for name, value := range map[string]any{
		"string":               "wk-1",
		"number":               7,
		"map":                  map[string]string{"a": "wk-1"},
		"number in the list":   []any{"wk-1", 2},
		"null in the list":     []any{nil},
		"not a job id":         []string{"job-1"},
		"empty string in list": []string{""},
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := decodePrerequisites(t, value); !errors.Is(err, ErrMalformed) {
				t.Errorf("decoded as %v, %v", got, err)
			}
		})
	}
}
