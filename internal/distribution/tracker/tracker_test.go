package tracker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"oakpick/internal/distribution"
)

// An inventory that arrives after a later one is refused and changes nothing: the tracker keeps
// the holdings of the later one.
func TestLateInventoryChangesNothing(t *testing.T) {
	leader := newTestLeader(t)
	leader.setManifest(t, "x", manifests[0])
	leader.report(t, time.Second, newInventory("one", 5, 4))
	for _, late := range []*distribution.Inventory{
		newInventory("one", 4, 0),
		newInventory("one", 5, 0),
		{Agent: "one", Zone: "a", Session: 0, Sequence: 9},
	} {
		if reply := leader.send(2*time.Second, InventoryCall{3, late}); reply.Status != http.StatusConflict {
			t.Errorf("session %d, sequence %d: %+v", late.Session, late.Sequence, reply)
		}
	}
	response := leader.report(t, 3*time.Second, newInventory("two", 1, 0))
	if !hasSource(response, "one") {
		t.Errorf("the agent is no longer a source: %+v", response.Sources)
	}
}

// A controller whose lease has expired, one that has not loaded the names and one that doesn't lead
// answer no call: they ask the caller to retry, or forward the call to the leader.
func TestOnlyLeaderWithLeaseAnswers(t *testing.T) {
	leader := newTestLeader(t)
	leader.setManifest(t, "x", manifests[0])
	leader.leadership.LeaseUntil = 10 * time.Second
	leader.report(t, 9*time.Second, newInventory("one", 1, 0))
	reply := leader.send(10*time.Second, InventoryCall{3, newInventory("one", 2, 0)})
	if reply.Status != http.StatusServiceUnavailable || reply.RetryAfter == 0 {
		t.Errorf("after the lease has expired: %+v", reply)
	}
	leader.leadership = Leadership{}
	if reply := leader.send(11*time.Second, NamesCall{ID: 4}); reply.Status != http.StatusServiceUnavailable {
		t.Errorf("without a leader: %+v", reply)
	}
	effects := leader.tracker.Step(12*time.Second, Leadership{Leader: "n2"}, []Command{NamesCall{ID: 5}})
	if len(effects) != 1 || effects[0] != (Forward{5, "n2"}) {
		t.Errorf("as a follower: %+v", effects)
	}
	leader.leadership = Leadership{Term: 9, FencingToken: 9, LeaseUntil: time.Hour}
	if reply := leader.send(13*time.Second, NamesCall{ID: 6}); reply.Status != http.StatusServiceUnavailable {
		t.Errorf("before the names are loaded: %+v", reply)
	}
}

// Unknown zones, unknown names and changes beyond the limit of the queue are refused.
func TestInvalidRequestsAreRefused(t *testing.T) {
	leader := newTestLeader(t)
	unknownZone := newInventory("one", 1, 0)
	unknownZone.Zone = "nowhere"
	if reply := leader.send(0, InventoryCall{1, unknownZone}); reply.Status != http.StatusBadRequest {
		t.Errorf("unknown zone: %+v", reply)
	}
	if reply := leader.send(0, StatusCall{ID: 2, Name: "unknown"}); reply.Status != http.StatusNotFound {
		t.Errorf("unknown name: %+v", reply)
	}
	for i := range maxQueuedChanges {
		if reply := leader.send(0, SetManifestCall{uint64(10 + i), fmt.Sprint("n", i), manifests[0]}); reply.Status != 0 {
			t.Fatalf("change %d is not queued: %+v", i, reply)
		}
	}
	reply := leader.send(0, SetManifestCall{99, "more", manifests[0]})
	if reply.Status != http.StatusServiceUnavailable || reply.RetryAfter == 0 {
		t.Errorf("change beyond the limit of the queue: %+v", reply)
	}
}

// An agent that stops reporting is removed with its leases. Agents that report stay.
func TestSilentAgentsExpire(t *testing.T) {
	leader := newTestLeader(t)
	leader.setManifest(t, "x", manifests[0])
	leader.report(t, 0, newInventory("one", 1, 4))
	leader.report(t, 10*time.Second, newInventory("two", 1, 0))
	leader.tracker.Step(13*time.Second, leader.leadership, []Command{Tick{}})
	if leader.tracker.AgentCount() != 1 {
		t.Errorf("%d agents are known", leader.tracker.AgentCount())
	}
	response := leader.report(t, 14*time.Second, newInventory("two", 2, 0))
	if len(response.Sources) != 1 || response.Sources[0].Agent != distribution.StoreSource {
		t.Errorf("expected only the store as a source: %+v", response.Sources)
	}
}
