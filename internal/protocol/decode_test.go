package protocol

import (
	"bytes"
	"errors"
	"maps"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func good() map[string]any {
	return map[string]any{
		"id": "wk-000412", "jobclass": "train", "owner": "vision", "shape": "ensemble", "rank": "urgent", "pieces": 16,
		"vcpus": 8, "gpus": 1.0, "mem_gb": 64.0, "bundle": "img-07", "image_gb": 6.2, "kinds_of_host": []string{"g8"}, "site": nil,
		"together": true, "spread": false, "loaners": true, "expected_s": 240.0, "savepoint_s": 30.0, "saving_s": 4.0,
		"due_s": 900.0, "something_new": map[string]any{"a": []int{1, 2}},
	}
}

func body(t testing.TB, m map[string]any) []byte {
	t.Helper()
	b, err := msgpack.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestSubmissionIsRead(t *testing.T) {
	s, err := DecodeSubmission(body(t, good()))
	if err != nil {
		t.Fatal(err)
	}
	if s.Kind != Gang || s.Priority != High || s.Tasks != 16 || s.CPUs != 8 || s.Zone != "" || s.DeadlineS != 900 || len(s.Types) != 1 {
		t.Errorf("read as %+v", s)
	}
	m := good()
	delete(m, "kinds_of_host")
	delete(m, "due_s")
	m["pieces"] = uint64(100000)
	if s, err = DecodeSubmission(body(t, m)); err != nil || s.Types != nil || s.DeadlineS != 0 || s.Tasks != 100000 {
		t.Errorf("null and omitted differ: %+v, %v", s, err)
	}
}

func TestMalformedSubmissionsAreRefused(t *testing.T) {
	change := func(k string, v any) []byte { m := good(); m[k] = v; return body(t, m) }
	without := func(k string) []byte { m := good(); delete(m, k); return body(t, m) }
	for name, b := range map[string][]byte{
		"empty":          {},
		"a list":         {0x91, 0x01},
		"cut short":      body(t, good())[:40],
		"trailing bytes": append(body(t, good()), 0xc0),
		"id missing":     without("id"),
		"id of a kind":   change("id", "job-1"),
		"pieces missing": without("pieces"),
		"pieces a text":  change("pieces", "16"),
		"pieces a part":  change("pieces", 1.5),
		"no pieces":      change("pieces", 0),
		"too many":       change("pieces", 100001),
		"negative":       change("vcpus", -1.0),
		"shape":          change("shape", "gang"),
		"rank a number":  change("rank", 3),
		"flag missing":   without("spread"),
		"flag a number":  change("together", 1),
		"site a number":  change("site", 3),
		"huge":           change("bundle", string(make([]byte, MaxBody))),
		"map too long":   {0xdf, 0xff, 0xff, 0xff, 0xff},
		"array too long": {0x81, 0xa1, 'x', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"text too long":  {0x81, 0xa1, 'x', 0xdb, 0xff, 0xff, 0xff, 0xff},
	} {
		if _, err := DecodeSubmission(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Nesting as deep as a body allows costs neither stack nor memory.
func TestDeepNestingIsCheap(t *testing.T) {
	b := append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, MaxBody-10)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := DecodeSubmission(b)
	runtime.ReadMemStats(&after)
	if !errors.Is(err, ErrMalformed) {
		t.Errorf("got %v", err)
	}
	if used := after.TotalAlloc - before.TotalAlloc; used > 1<<20 {
		t.Errorf("allocated %d bytes", used)
	}
}

func TestReportsWithMissingFieldsAreRefused(t *testing.T) {
	m := map[string]any{
		"host": "i-1", "address": "10.1.0.1:9000", "host_kind": "g8", "site": "a", "loaners": true, "shift": 1, "tick": 88, "baton": 41,
		"pieces": []any{map[string]any{"piece": "wk-000398/0", "try": 1, "status": "ended", "cause": "done"}},
	}
	r, err := DecodeHeartbeat(body(t, m))
	if err != nil || r.InterruptionInS >= 0 || len(r.Tasks) != 1 || r.Tasks[0].ExitCause != ExitDone || r.Tasks[0].Job != "wk-000398" {
		t.Fatalf("%+v, %v", r, err)
	}
	for k := range m {
		less := maps.Clone(m)
		delete(less, k)
		if _, err := DecodeHeartbeat(body(t, less)); !errors.Is(err, ErrMalformed) {
			t.Errorf("without %s: got %v", k, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(body(f, good()))
	f.Add([]byte{0x81, 0xa1, 'x', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := DecodeSubmission(b); err == nil && (s.Tasks < 1 || !ValidJobID(s.ID)) {
			t.Errorf("took %+v", s)
		}
		if r, err := DecodeHeartbeat(b); err == nil && r.Machine == "" {
			t.Error("took a report of nobody")
		}
	})
}

func TestJobPaths(t *testing.T) {
	for path, want := range map[string]struct {
		id         string
		cancel, ok bool
	}{
		"/v2/runs":                {"", false, true},
		"/v2/runs/wk-1":           {"wk-1", false, true},
		"/v2/runs/wk-1/abort":     {"wk-1", true, true},
		"/v2/runs/":               {"", false, false},
		"/v2/runs/wk-1/x":         {"", false, false},
		"/v2/runs/wk-1/abort/now": {"", false, false},
		"/v1/jobs":                {"", false, false},
	} {
		id, cancel, ok := SplitJobPath(path)
		if id != want.id || cancel != want.cancel || ok != want.ok {
			t.Errorf("%s: %q %v %v", path, id, cancel, ok)
		}
	}
}

// Prerequisites are read once each; null, absent and empty are none; what isn't a list of
// job ids is malformed.
func TestPrerequisites(t *testing.T) {
	read := func(v any) ([]string, error) {
		m := good()
		m["prereqs"] = v
		s, err := DecodeSubmission(body(t, m))
		if err != nil {
			return nil, err
		}
		return s.Prerequisites, nil
	}
	got, err := read([]string{"wk-1", "wk-000405", "wk-1"})
	if err != nil || len(got) != 2 || got[0] != "wk-1" || got[1] != "wk-000405" {
		t.Errorf("read as %v, %v", got, err)
	}
	for _, none := range []any{nil, []string{}} {
		if got, err := read(none); err != nil || len(got) != 0 {
			t.Errorf("%v is read as %v, %v", none, got, err)
		}
	}
	for _, bad := range []any{"wk-1", 7, map[string]string{"a": "wk-1"}, []any{"wk-1", 2}, []any{nil}, []string{"job-1"}, []string{""}} {
		if got, err := read(bad); !errors.Is(err, ErrMalformed) {
			t.Errorf("%v is read as %v, %v", bad, got, err)
		}
	}
}
