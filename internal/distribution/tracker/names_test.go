package tracker

import (
	"net/http"
	"testing"
	"time"
)

// Two operators request the same change, and the result of the write arrives after the lease has
// expired. Neither change is confirmed, since another leader may have replaced the record.
func TestQueuedChangeIsNotConfirmedWithoutLease(t *testing.T) {
	leader := newTestLeader(t)
	effects := leader.tracker.Step(0, leader.leadership, []Command{SetManifestCall{1, "x", manifests[0]}, SetManifestCall{2, "x", manifests[0]}})
	result := StateResult{leader.state.execute(effects[0].(StateCall).StateCall)}
	leader.leadership.LeaseUntil = time.Second
	statuses := map[uint64]int{}
	for _, effect := range leader.tracker.Step(2*time.Second, leader.leadership, []Command{result}) {
		if reply, ok := effect.(Reply); ok {
			statuses[reply.ID] = reply.Status
		}
	}
	if statuses[1] != http.StatusServiceUnavailable || statuses[2] != http.StatusServiceUnavailable {
		t.Errorf("statuses by request: %v", statuses)
	}
}
