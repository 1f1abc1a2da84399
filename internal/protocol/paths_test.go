package protocol

import (
	"testing"
)

func TestSplitJobPath(t *testing.T) {
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
		t.Run(path, func(t *testing.T) {
			id, cancel, ok := SplitJobPath(path)
			if id != want.id || cancel != want.cancel || ok != want.ok {
				t.Errorf("%q %v %v, want %+v", id, cancel, ok, want)
			}
		})
	}
}
