package simulation

import (
	"testing"
	"time"
)

const (
	weights    = "models/frontdesk"
	chunkBytes = 1024
	chunks     = 64
	// minutes is long enough for anything that is to happen.
	minutes = 5 * time.Minute
)

// check fails if anything happened that must not.
func check(t *testing.T, w *World) {
	t.Helper()
	for _, b := range w.Broken {
		t.Error(b)
	}
	for _, a := range w.Agents {
		if a.MostUploads > a.Slots {
			t.Errorf("%s had %d uploads at a time in %d slots", a.Name, a.MostUploads, a.Slots)
		}
	}
	if len(w.World.Violations) > 0 {
		t.Errorf("rules broken: %v", w.World.Violations)
	}
}

// alone is how long one agent takes to fetch everything from the store.
func alone(t *testing.T, o Options) time.Duration {
	t.Helper()
	o.Agents = 1
	w, m := begin(t, o)
	return ready(t, w, m)
}

// Forty agents are ready within twice the time that one alone takes, and the store sends
// little more than one copy.
func TestAllAreReadyWithinTwiceTheTimeOfOne(t *testing.T) {
	o := Defaults()
	o.Agents, o.StoreSlots = 40, 8
	one := alone(t, o)
	w, m := begin(t, o)
	took := ready(t, w, m)
	copies := float64(w.Store.SentBytes()) / float64(m.Size)
	t.Logf("one alone %.1f s, forty %.1f s (%.2f times), store sent %.2f copies", one.Seconds(), took.Seconds(), took.Seconds()/one.Seconds(), copies)
	if took > 2*one {
		t.Errorf("forty agents took %.2f times as long as one", took.Seconds()/one.Seconds())
	}
	if copies > 2 {
		t.Errorf("the store sent %.2f copies", copies)
	}
}
