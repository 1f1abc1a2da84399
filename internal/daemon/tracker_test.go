package daemon

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/config"
	"oakpick/internal/distribution"
)

// trackerExtension switches the tracker on at some address.
func trackerExtension(t *testing.T) (config.Extensions, string) {
	t.Helper()
	address := freeAddress(t)
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	return config.Extensions{Distribution: &config.Distribution{
		Port: number, StoreFetchers: 2, Connections: 64, InventoryIntervalS: 0.2, IdleInventoryIntervalS: 0.4,
	}}, address
}

// newControllersWithTrackers are two controllers that serve the tracker, at these addresses.
func newControllersWithTrackers(t *testing.T) (*controllerPair, []string) {
	t.Helper()
	first, firstAddress := trackerExtension(t)
	second, secondAddress := trackerExtension(t)
	return newControllerPairWith(t, first, second), []string{firstAddress, secondAddress}
}

// inventoryJSON is an inventory, with a change if there is one.
func inventoryJSON(t *testing.T, change func(*distribution.Inventory)) string {
	t.Helper()
	inventory := distribution.Inventory{Agent: "one", Zone: "north", Address: "127.0.0.1:1", Session: 1, Sequence: 1, WantedNames: []string{"models/a"}}
	if change != nil {
		change(&inventory)
	}
	text, err := json.Marshal(inventory)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// trackerRequestCases are requests that either controller answers alike, once models/a has the
// digest as its manifest.
func trackerRequestCases(t *testing.T, manifest string) map[string]trackerRequestCase {
	t.Helper()
	const weights, inventory = distribution.PathWeights, distribution.PathInventory
	inZone := inventoryJSON(t, func(i *distribution.Inventory) { i.Zone = "nowhere" })
	ofStore := inventoryJSON(t, func(i *distribution.Inventory) { i.Agent = "store" })
	return map[string]trackerRequestCase{
		"names":                {"GET", weights, "", 200, manifest},
		"status":               {"GET", weights + "/models/a", "", 200, manifest},
		"status of no name":    {"GET", weights + "/models/b", "", 404, "name"},
		"malformed name":       {"GET", weights + "/Models", "", 400, "name"},
		"malformed manifest":   {"PUT", weights + "/models/a", `{"manifest":"sha256:x"}`, 400, "manifest"},
		"malformed body":       {"PUT", weights + "/models/a", `[`, 400, "body"},
		"method of a name":     {"DELETE", weights + "/models/a", "", 405, "method"},
		"method of inventory":  {"GET", inventory, "", 405, "method"},
		"unknown path":         {"GET", "/elsewhere", "", 404, "path"},
		"empty inventory":      {"POST", inventory, `{}`, 400, "agent"},
		"inventory's zone":     {"POST", inventory, inZone, 400, "zone"},
		"inventory of a store": {"POST", inventory, ofStore, 400, "agent"},
		"metrics":              {"GET", "/metrics", "", 200, "oakpick_tracker_agents"},
	}
}

type trackerRequestCase struct {
	method, path, body string
	status             int
	contains           string // of the answer
}

// Either controller takes requests, and the leader answers; what is malformed gets 4xx with
// the field's name at both. A name outlives the leader, and is told by the next one only.
func TestTrackerAnswersAtEitherController(t *testing.T) {
	p, trackers := newControllersWithTrackers(t)
	manifest := digest.FromString("version").String()
	eventually(t, func() (string, bool) {
		status, body := request(t, "PUT", trackers[1]+distribution.PathWeights+"/models/a", `{"manifest":"`+manifest+`"}`)
		return body, status == 200
	})
	for i, address := range trackers {
		node := []string{"leader: ", "follower: "}[i]
		for name, c := range trackerRequestCases(t, manifest) {
			t.Run(node+name, func(t *testing.T) {
				if status, body := request(t, c.method, address+c.path, c.body); status != c.status || !strings.Contains(body, c.contains) {
					t.Errorf("%s %s %.60s at %s: %d %s", c.method, c.path, c.body, address, status, body)
				}
			})
		}
		t.Run(node+"body over the limit", func(t *testing.T) {
			body := strings.Repeat(" ", 2*distribution.MaxMessageBytes)
			if status, _ := request(t, "POST", address+distribution.PathInventory, body); status == 200 || status == 503 {
				t.Errorf("a body that is too long: %d", status)
			}
		})
	}
	t.Run("inventories", func(t *testing.T) { takesInventories(t, trackers, manifest) })
	p.stopLeader()
	eventually(t, func() (string, bool) {
		status, body := request(t, "GET", trackers[1]+distribution.PathWeights+"/models/a", "")
		if status != 200 && status != 503 && status != 0 {
			t.Errorf("%d %s", status, body)
		}
		return body, status == 200 && strings.Contains(body, manifest)
	})
}

// takesInventories puts an inventory to each tracker, the second through the follower, which
// knows nothing itself, and one that was taken before.
func takesInventories(t *testing.T, trackers []string, manifest string) {
	t.Helper()
	for n, address := range trackers {
		inventory := inventoryJSON(t, func(i *distribution.Inventory) { i.Sequence = int64(n + 1) })
		status, body := request(t, "POST", address+distribution.PathInventory, inventory)
		var answer distribution.InventoryResponse
		err := json.Unmarshal([]byte(body), &answer)
		if status != 200 || err != nil || len(answer.Names) != 1 || answer.Names[0].Manifest.String() != manifest {
			t.Errorf("%d %s", status, body)
		}
	}
	if status, body := request(t, "POST", trackers[1]+distribution.PathInventory, inventoryJSON(t, nil)); status != 409 {
		t.Errorf("an inventory that was taken before: %d %s", status, body)
	}
}

// A leader that doesn't track weights, because it is of another version or has it switched
// off, answers users as ever; the other says that it can't serve agents.
func TestTrackerIsUnavailableIfTheLeaderHasNone(t *testing.T) {
	on, address := trackerExtension(t)
	p := newControllerPairWith(t, config.Extensions{}, on)
	eventually(t, func() (string, bool) {
		status, body := request(t, "GET", address+distribution.PathWeights, "")
		return body, status == 503 && strings.Contains(body, "does not track weights")
	})
	for _, api := range p.apiAddresses {
		if status, _ := request(t, "GET", api+"/v2/runs/wk-000001", ""); status != 404 {
			t.Errorf("a user: %d", status)
		}
	}
}
