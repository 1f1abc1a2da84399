package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
	"oakpick/internal/distribution/operator"
	"oakpick/internal/distribution/registry"
	"oakpick/internal/distribution/tracker"
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
	return config.Extensions{Distribution: &config.Distribution{Port: number, StoreFetchers: 2, Connections: 64, InventoryIntervalS: 0.2, IdleInventoryIntervalS: 0.4}}, address
}

// newControllersWithTrackers are two controllers that serve the tracker, at these addresses.
func newControllersWithTrackers(t *testing.T) (*controllerPair, []string) {
	t.Helper()
	first, firstAddress := trackerExtension(t)
	second, secondAddress := trackerExtension(t)
	return newControllerPairWith(t, first, second), []string{firstAddress, secondAddress}
}

func inventoryJSON(t *testing.T, spoil func(*distribution.Inventory)) string {
	t.Helper()
	i := distribution.Inventory{Agent: "one", Zone: "north", Address: "127.0.0.1:1", Session: 1, Sequence: 1, Wants: []string{"models/a"}}
	if spoil != nil {
		spoil(&i)
	}
	text, err := json.Marshal(i)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Either controller takes requests, and the leader answers; what is malformed gets 4xx with
// the field's name at both. A name outlives the leader, and is told by the next one only.
func TestTrackerOnLoopback(t *testing.T) {
	p, trackers := newControllersWithTrackers(t)
	d := digest.FromString("version").String()
	eventually(t, func() (string, bool) {
		status, body := request(t, "PUT", trackers[1]+distribution.PathWeights+"/models/a", `{"manifest":"`+d+`"}`)
		return body, status == 200
	})
	for _, address := range trackers {
		for _, c := range []struct {
			method, path, body string
			status             int
			says               string
		}{
			{"GET", distribution.PathWeights, "", 200, d},
			{"GET", distribution.PathWeights + "/models/a", "", 200, d},
			{"GET", distribution.PathWeights + "/models/b", "", 404, "name"},
			{"GET", distribution.PathWeights + "/Models", "", 400, "name"},
			{"PUT", distribution.PathWeights + "/models/a", `{"manifest":"sha256:x"}`, 400, "manifest"},
			{"PUT", distribution.PathWeights + "/models/a", `[`, 400, "body"},
			{"DELETE", distribution.PathWeights + "/models/a", "", 405, "method"},
			{"GET", distribution.PathInventory, "", 405, "method"},
			{"GET", "/elsewhere", "", 404, "path"},
			{"POST", distribution.PathInventory, `{}`, 400, "agent"},
			{"POST", distribution.PathInventory, inventoryJSON(t, func(i *distribution.Inventory) { i.Zone = "nowhere" }), 400, "zone"},
			{"POST", distribution.PathInventory, inventoryJSON(t, func(i *distribution.Inventory) { i.Agent = "store" }), 400, "agent"},
			{"GET", "/metrics", "", 200, "oakpick_tracker_agents"},
		} {
			if status, body := request(t, c.method, address+c.path, c.body); status != c.status || !strings.Contains(body, c.says) {
				t.Errorf("%s %s %.60s at %s: %d %s", c.method, c.path, c.body, address, status, body)
			}
		}
		if status, _ := request(t, "POST", address+distribution.PathInventory, strings.Repeat(" ", 2*distribution.MaxMessageBytes)); status == 200 || status == 503 {
			t.Errorf("a body that is too long: %d", status)
		}
	}
	for n, address := range trackers { // the second through the follower, which knows nothing itself
		status, body := request(t, "POST", address+distribution.PathInventory, inventoryJSON(t, func(i *distribution.Inventory) { i.Sequence = int64(n + 1) }))
		var answer distribution.Answer
		if status != 200 || json.Unmarshal([]byte(body), &answer) != nil || len(answer.Names) != 1 || answer.Names[0].Manifest.String() != d {
			t.Errorf("%d %s", status, body)
		}
	}
	if status, body := request(t, "POST", trackers[1]+distribution.PathInventory, inventoryJSON(t, nil)); status != 409 {
		t.Errorf("an inventory that was taken before: %d %s", status, body)
	}
	p.stops[0]()
	p.state.drop(controller.LeaderKey) // its lease runs out
	eventually(t, func() (string, bool) {
		status, body := request(t, "GET", trackers[1]+distribution.PathWeights+"/models/a", "")
		if status != 200 && status != 503 && status != 0 {
			t.Errorf("%d %s", status, body)
		}
		return body, status == 200 && strings.Contains(body, d)
	})
}

// A leader that doesn't track weights, because it is of another version or has it switched
// off, answers users as ever; the other says that it can't serve agents.
func TestTrackerIsSwitchedOnAtTheFollowerOnly(t *testing.T) {
	on, address := trackerExtension(t)
	p := newControllerPairWith(t, config.Extensions{}, on)
	eventually(t, func() (string, bool) {
		status, body := request(t, "GET", address+distribution.PathWeights, "")
		return body, status == 503 && strings.Contains(body, "does not track weights")
	})
	for _, front := range p.apiAddresses {
		if status, _ := request(t, "GET", front+"/v2/runs/wk-000001", ""); status != 404 {
			t.Errorf("a user: %d", status)
		}
	}
}

// publishVersion has a store make a version, and gives the sum of its bytes.
func publishVersion(t *testing.T, store *registry.Memory, version string) (*distribution.Manifest, [sha256.Size]byte) {
	t.Helper()
	var chunks [][]byte
	for i := range 12 {
		chunks = append(chunks, bytes.Repeat([]byte(fmt.Sprint(version, i, ".")), 2000))
	}
	m, err := store.Publish(chunks)
	if err != nil {
		t.Fatal(err)
	}
	return m, sha256.Sum256(bytes.Join(chunks, nil))
}

// Real agents fetch a version from the store and from each other, and then another; a leader
// ends meanwhile. What each serves is read to the last byte. One that starts again has what
// it had.
func TestAgentsOnLoopback(t *testing.T) {
	p, trackers := newControllersWithTrackers(t)
	store := registry.NewMemory()
	storeAddress := startHTTPServer(t, &registry.Handler{Content: store, Slots: registry.NewSlots(2)})
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	settings := agent.Defaults()
	settings.Trackers, settings.Store, settings.Names, settings.ReportS, settings.StallS = trackers, storeAddress, []string{"models/a"}, 0.2, 2
	start := func(s agent.Settings) context.CancelFunc {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		group.Go(func() {
			if err := agent.Run(ctx, s, slog.New(slog.DiscardHandler)); err != nil {
				t.Errorf("%s: %v", s.Agent, err)
			}
		})
		return cancel
	}
	var agents []agent.Settings
	var ends []context.CancelFunc
	for i := range 4 {
		s := settings
		s.Agent, s.Zone, s.Listen, s.Directory = fmt.Sprint("agent-", i), []string{"north", "south"}[i%2], freeAddress(t), t.TempDir()
		agents, ends = append(agents, s), append(ends, start(s))
	}
	first, firstSum := publishVersion(t, store, "first")
	client := &operator.Client{Controllers: trackers}
	use := func(m *distribution.Manifest) {
		t.Helper()
		eventually(t, func() (string, bool) {
			_, err := client.Use(context.Background(), "models/a", m.Digest)
			return fmt.Sprint(err), err == nil
		})
	}
	serves := func(s agent.Settings, sum [sha256.Size]byte) {
		t.Helper()
		eventually(t, func() (string, bool) {
			res, err := http.Get("http://" + s.Listen + agent.PathActive + "models/a")
			if err != nil {
				return err.Error(), false
			}
			defer res.Body.Close()
			content, err := io.ReadAll(res.Body)
			return fmt.Sprint(s.Agent, res.Status, len(content), err), err == nil && sha256.Sum256(content) == sum
		})
	}
	use(first)
	for _, s := range agents {
		serves(s, firstSum)
	}
	var status tracker.Status
	eventually(t, func() (string, bool) {
		var err error
		status, err = client.Status(context.Background(), "models/a")
		return fmt.Sprintf("%+v %v", status, err), err == nil && status.Complete == 4 && status.Active == 4
	})
	var table bytes.Buffer
	if err := operator.WriteStatus(&table, status); err != nil || strings.Count(table.String(), "12/12") != 4 {
		t.Errorf("%v\n%s", err, table.String())
	}

	ends[0]()
	second, secondSum := publishVersion(t, store, "second")
	use(second)
	p.stops[0]()
	p.state.drop(controller.LeaderKey) // its lease runs out
	for _, s := range agents[1:] {
		serves(s, secondSum)
	}
	agents[0].Listen = freeAddress(t)
	start(agents[0])
	serves(agents[0], secondSum)
	for path, want := range map[string]int{"models/b": 404, "Models": 400} {
		if status, _ := request(t, "GET", agents[1].Listen+agent.PathActive+path, ""); status != want {
			t.Errorf("%s: %d", path, status)
		}
	}
	if status, body := request(t, "GET", agents[1].Listen+"/metrics", ""); status != 200 || !strings.Contains(body, "oakpick_agent_activations 2") {
		t.Errorf("%d %.2000s", status, body)
	}
}
