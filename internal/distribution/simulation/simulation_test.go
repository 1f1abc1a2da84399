package simulation

import (
	"testing"
	"time"
)

const (
	weightsName = "models/frontdesk"
	chunkBytes  = 1024
	chunks      = 64
	// minutes is long enough for anything that is to happen.
	maxWait = 5 * time.Minute
)

// check fails if anything happened that must not.
func requireNoViolations(t *testing.T, w *World) {
	t.Helper()
	for _, b := range w.Violations {
		t.Error(b)
	}
	for _, a := range w.Agents {
		if a.MaxUploads > a.UploadSlots {
			t.Errorf("%s had %d uploads at a time in %d slots", a.Name, a.MaxUploads, a.UploadSlots)
		}
	}
	if len(w.World.Broken) > 0 {
		t.Errorf("rules broken: %v", w.World.Broken)
	}
}

// alone is how long one agent takes to fetch everything from the store.
func singleAgentTime(t *testing.T, o Options) time.Duration {
	t.Helper()
	o.Agents = 1
	w, m := startWorld(t, o)
	return requireReady(t, w, m)
}

// Forty agents are ready within twice the time that one alone takes, and the store sends
// little more than one copy.
func TestFleetIsReadyWithinTwiceTheTimeOfOne(t *testing.T) {
	o := Defaults()
	o.Agents, o.StoreSlots = 40, 8
	one := singleAgentTime(t, o)
	w, m := startWorld(t, o)
	took := requireReady(t, w, m)
	copies := float64(w.Store.TotalSentBytes()) / float64(m.Size)
	t.Logf("one alone %.1f s, forty %.1f s (%.2f times), store sent %.2f copies", one.Seconds(), took.Seconds(), took.Seconds()/one.Seconds(), copies)
	if took > 2*one {
		t.Errorf("forty agents took %.2f times as long as one", took.Seconds()/one.Seconds())
	}
	if copies > 2 {
		t.Errorf("the store sent %.2f copies", copies)
	}
}
