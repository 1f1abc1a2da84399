package tracker

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

var (
	zones     = []string{"a", "b"}
	manifests = []digest.Digest{digest.FromString("1"), digest.FromString("2"), digest.FromString("3")}
)

func testParameters() Parameters {
	return Parameters{
		ReportInterval: time.Second, IdleReportInterval: 4 * time.Second, RetryInterval: 100 * time.Millisecond,
		StoreSlots: 2, Zones: zones, ProcessID: "boot", Seed: 1,
	}
}

// testLeader is the tracker of a controller that leads and has loaded the names, with the state
// service that the tracker uses.
type testLeader struct {
	tracker    *Tracker
	leadership Leadership
	state      *fakeStateService
}

func newTestLeader(t *testing.T) *testLeader {
	t.Helper()
	leader := &testLeader{tracker: New(testParameters()), state: newFakeStateService()}
	token := leader.state.advanceToken()
	leader.leadership = Leadership{Term: token, FencingToken: token, LeaseUntil: time.Hour}
	for _, effect := range leader.tracker.Step(0, leader.leadership, []Command{Tick{}}) {
		result := StateResult{leader.state.execute(effect.(StateCall).StateCall)}
		leader.tracker.Step(0, leader.leadership, []Command{result})
	}
	return leader
}

// send runs a step with one command and returns the reply, or an empty one if there is none.
func (l *testLeader) send(now time.Duration, command Command) Reply {
	for _, effect := range l.tracker.Step(now, l.leadership, []Command{command}) {
		if reply, ok := effect.(Reply); ok {
			return reply
		}
	}
	return Reply{}
}

// setManifest sets the manifest of a name and requires that the change succeeds.
func (l *testLeader) setManifest(t *testing.T, name string, manifest digest.Digest) {
	t.Helper()
	for _, effect := range l.tracker.Step(0, l.leadership, []Command{SetManifestCall{1, name, manifest}}) {
		call, ok := effect.(StateCall)
		if !ok {
			continue
		}
		if reply := l.send(0, StateResult{l.state.execute(call.StateCall)}); reply.Status != http.StatusOK {
			t.Fatalf("use of %s: %+v", name, reply)
		}
	}
}

// report sends an inventory, requires that it is accepted, and returns the response.
func (l *testLeader) report(t *testing.T, now time.Duration, inventory *distribution.Inventory) distribution.InventoryResponse {
	t.Helper()
	reply := l.send(now, InventoryCall{2, inventory})
	response, ok := reply.Body.(distribution.InventoryResponse)
	if !ok || reply.Status != http.StatusOK {
		t.Fatalf("inventory of %s: %+v", inventory.Agent, reply)
	}
	return response
}

// newInventory returns the inventory of an agent that wants the name x and holds the given
// number of the four chunks of the first manifest.
func newInventory(agent string, sequence int64, chunks int) *distribution.Inventory {
	return &distribution.Inventory{
		Agent: agent, Zone: "a", Address: agent + ":1", Session: 1, Sequence: sequence, UploadSlots: 2, WantedNames: []string{"x"},
		Holdings: []distribution.Holding{{Manifest: manifests[0], Chunks: chunks, Total: 4}},
	}
}

// hasSource reports whether a response lists an agent as a source.
func hasSource(response distribution.InventoryResponse, agent string) bool {
	return slices.ContainsFunc(response.Sources, func(source distribution.Source) bool { return source.Agent == agent })
}
