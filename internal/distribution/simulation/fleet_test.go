package simulation

import (
	"slices"
	"testing"
	"time"
)

// singleAgentTime returns the time in which a single agent fetches a version from the store.
func singleAgentTime(t *testing.T, o Options) time.Duration {
	t.Helper()
	o.Agents = 1
	w, m := startWorld(t, o)
	return requireReady(t, w, m)
}

// Forty agents are ready within twice the time that a single agent takes, and the store sends at
// most two copies of the version.
func TestFleetIsReadyWithinTwiceTheTimeOfOne(t *testing.T) {
	o := Defaults()
	o.Agents, o.StoreSlots = 40, 8
	one := singleAgentTime(t, o)
	w, m := startWorld(t, o)
	took := requireReady(t, w, m)
	copies := storeCopies(w, m)
	t.Logf("one agent %.1f s, forty agents %.1f s (%.2f times), store sent %.2f copies", one.Seconds(), took.Seconds(), took.Seconds()/one.Seconds(), copies)
	if took > 2*one {
		t.Errorf("forty agents took %.2f times as long as one", took.Seconds()/one.Seconds())
	}
	if copies > 2 {
		t.Errorf("the store sent %.2f copies", copies)
	}
}

// A thousand agents start at once. One of them is too slow to finish, and another one has a slow
// link. All agents except the one that is too slow get ready.
func TestThousandAgentsAtOnce(t *testing.T) {
	o := Defaults()
	o.Agents, o.StoreSlots, o.TicksPerReport = 1000, 8, 4
	w := New(o)
	m := w.Store.Publish(chunks/4, chunkBytes, nil, 0)
	w.SetManifest(weightsName, m.Digest)
	w.StartAll()
	neverReady := w.Agents[17]
	neverReady.SetRate(0.01)
	w.Agents[18].SetRate(o.BytesPerSecond / 20)
	others := slices.DeleteFunc(slices.Clone(w.Agents), func(a *Agent) bool { return a == neverReady })
	if !w.RunUntil(maxWait, func() bool { return allActive(others, m) }) {
		t.Error("some of the other agents are not ready")
	}
	requireNoViolations(t, w)
	if copies := storeCopies(w, m); copies > 4 {
		t.Errorf("the store sent %.1f copies", copies)
	}
}
