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

// trackerExtension returns settings that enable the tracker, and the address of the tracker.
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
		Port: number, StoreSlots: 2, Connections: 64, InventoryIntervalS: 0.2, IdleInventoryIntervalS: 0.4,
	}}, address
}

// newControllersWithTrackers starts two controllers with trackers. It also returns the trackers'
// addresses.
func newControllersWithTrackers(t *testing.T) (*controllerPair, []string) {
	t.Helper()
	first, firstAddress := trackerExtension(t)
	second, secondAddress := trackerExtension(t)
	return newControllerPairWith(t, first, second), []string{firstAddress, secondAddress}
}

// inventoryJSON encodes an inventory, to which change is applied first unless it is nil.
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

// trackerRequestCases returns requests that both controllers answer alike once models/a refers
// to the given manifest.
func trackerRequestCases(t *testing.T, manifest string) map[string]trackerRequestCase {
	t.Helper()
	const weights, inventory = distribution.PathWeights, distribution.PathInventory
	unknownZone := inventoryJSON(t, func(i *distribution.Inventory) { i.Zone = "nowhere" })
	storeAgent := inventoryJSON(t, func(i *distribution.Inventory) { i.Agent = "store" })
	return map[string]trackerRequestCase{
		"names":                      {"GET", weights, "", 200, manifest},
		"status":                     {"GET", weights + "/models/a", "", 200, manifest},
		"status of unknown name":     {"GET", weights + "/models/b", "", 404, "name"},
		"malformed name":             {"GET", weights + "/Models", "", 400, "name"},
		"malformed manifest":         {"PUT", weights + "/models/a", `{"manifest":"sha256:x"}`, 400, "manifest"},
		"malformed body":             {"PUT", weights + "/models/a", `[`, 400, "body"},
		"wrong method for a name":    {"DELETE", weights + "/models/a", "", 405, "method"},
		"wrong method for inventory": {"GET", inventory, "", 405, "method"},
		"unknown path":               {"GET", "/elsewhere", "", 404, "path"},
		"empty inventory":            {"POST", inventory, `{}`, 400, "agent"},
		"inventory of unknown zone":  {"POST", inventory, unknownZone, 400, "zone"},
		"inventory of a store":       {"POST", inventory, storeAgent, 400, "agent"},
		"metrics":                    {"GET", "/metrics", "", 200, "oakpick_tracker_agents"},
	}
}

type trackerRequestCase struct {
	method, path, body string
	status             int
	contains           string // part of the response body
}

// Both controllers accept requests, and the leader answers them. Both refuse a malformed request
// with a 4xx status that names the field. A name survives a change of leader: until the new
// leader answers, requests are refused with 503.
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
	t.Run("inventories", func(t *testing.T) { checkInventories(t, trackers, manifest) })
	p.stopLeader()
	eventually(t, func() (string, bool) {
		status, body := request(t, "GET", trackers[1]+distribution.PathWeights+"/models/a", "")
		if status != 200 && status != 503 && status != 0 {
			t.Errorf("%d %s", status, body)
		}
		return body, status == 200 && strings.Contains(body, manifest)
	})
}

// checkInventories sends an inventory to each tracker. The second one is the follower's, which
// has no state of its own and forwards it. A repeated inventory must be refused.
func checkInventories(t *testing.T, trackers []string, manifest string) {
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
		t.Errorf("a repeated inventory: %d %s", status, body)
	}
}

// A leader may have no tracker, because it runs another version or has the tracker disabled. It
// serves users as usual, and the other controller's tracker refuses requests as unavailable.
func TestTrackerIsUnavailableIfLeaderHasNone(t *testing.T) {
	on, address := trackerExtension(t)
	p := newControllerPairWith(t, config.Extensions{}, on)
	eventually(t, func() (string, bool) {
		status, body := request(t, "GET", address+distribution.PathWeights, "")
		return body, status == 503 && strings.Contains(body, "does not track weights")
	})
	for _, api := range p.apiAddresses {
		if status, _ := request(t, "GET", api+"/v2/runs/wk-000001", ""); status != 404 {
			t.Errorf("a user's request: %d", status)
		}
	}
}
