package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
	"oakpick/internal/distribution/operator"
	"oakpick/internal/distribution/registry"
	"oakpick/internal/distribution/tracker"
)

// publishVersion publishes a version in the store. It returns the manifest and the SHA-256 sum of
// the content.
func publishVersion(t *testing.T, store *registry.MemoryContent, version string) (*distribution.Manifest, [sha256.Size]byte) {
	t.Helper()
	var chunks [][]byte
	for i := range 12 {
		chunks = append(chunks, bytes.Repeat([]byte(fmt.Sprint(version, i, ".")), 2000))
	}
	manifest, err := store.Publish(chunks)
	if err != nil {
		t.Fatal(err)
	}
	return manifest, sha256.Sum256(bytes.Join(chunks, nil))
}

// agentFleet runs four real agents in two zones, with a store and the trackers of controllers.
type agentFleet struct {
	store    *registry.MemoryContent
	operator *operator.Client
	settings []agent.Settings
	cancels  []context.CancelFunc
	running  sync.WaitGroup
}

func startAgentFleet(t *testing.T, trackers []string) *agentFleet {
	t.Helper()
	directory := t.TempDir() // created first, so that it is removed only after the agents have stopped
	f := &agentFleet{store: registry.NewMemoryContent(), operator: &operator.Client{Controllers: trackers}}
	t.Cleanup(f.running.Wait)
	storeAddress := startHTTPServer(t, &registry.Handler{Content: f.store, Slots: registry.NewSlots(2)})
	for i := range 4 {
		settings := agent.Defaults()
		settings.Trackers, settings.Store, settings.Names = trackers, storeAddress, []string{"models/a"}
		settings.ReportIntervalS, settings.StallTimeoutS = 0.2, 2
		settings.Agent, settings.Zone = fmt.Sprint("agent-", i), []string{"north", "south"}[i%2]
		settings.Listen, settings.Directory = freeAddress(t), filepath.Join(directory, settings.Agent)
		if err := os.Mkdir(settings.Directory, 0o755); err != nil {
			t.Fatal(err)
		}
		f.settings = append(f.settings, settings)
		f.cancels = append(f.cancels, f.start(t, settings))
	}
	return f
}

func (f *agentFleet) start(t *testing.T, settings agent.Settings) context.CancelFunc {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f.running.Go(func() {
		if err := agent.Run(ctx, settings, slog.New(slog.DiscardHandler)); err != nil {
			t.Errorf("%s: %v", settings.Agent, err)
		}
	})
	return cancel
}

// useVersion sets the version of models/a that the agents are to serve.
func (f *agentFleet) useVersion(t *testing.T, version *distribution.Manifest) {
	t.Helper()
	eventually(t, func() (string, bool) {
		_, err := f.operator.SetManifest(t.Context(), "models/a", version.Digest)
		return fmt.Sprint(err), err == nil
	})
}

// waitUntilServed waits until an agent serves content with the given sum.
func waitUntilServed(t *testing.T, settings agent.Settings, sum [sha256.Size]byte) {
	t.Helper()
	eventually(t, func() (string, bool) {
		status, content := request(t, "GET", settings.Listen+agent.PathActive+"models/a", "")
		return fmt.Sprint(settings.Agent, status, len(content)), sha256.Sum256([]byte(content)) == sum
	})
}

// checkAllComplete waits until every agent has all chunks of the version in use and serves it,
// then checks the table that operators get.
func (f *agentFleet) checkAllComplete(t *testing.T) {
	t.Helper()
	var status tracker.Status
	eventually(t, func() (string, bool) {
		var err error
		status, err = f.operator.Status(t.Context(), "models/a")
		return fmt.Sprintf("%+v %v", status, err), err == nil && status.Complete == 4 && status.Active == 4
	})
	var table bytes.Buffer
	if err := operator.WriteStatus(&table, status); err != nil || strings.Count(table.String(), "12/12") != 4 {
		t.Errorf("%v\n%s", err, table.String())
	}
}

// Real agents fetch a version and then a second one, from the store and from each other; the
// leader is stopped while they fetch the second. Every agent must serve exactly the published
// bytes. One agent is stopped before the second version is published. Once restarted with its
// directory, it must serve the second version, too.
func TestAgentsFetchVersionsAcrossFailover(t *testing.T) {
	p, trackers := newControllersWithTrackers(t)
	f := startAgentFleet(t, trackers)
	first, firstSum := publishVersion(t, f.store, "first")
	f.useVersion(t, first)
	for _, settings := range f.settings {
		waitUntilServed(t, settings, firstSum)
	}
	f.checkAllComplete(t)

	f.cancels[0]()
	second, secondSum := publishVersion(t, f.store, "second")
	f.useVersion(t, second)
	p.stopLeader()
	for _, settings := range f.settings[1:] {
		waitUntilServed(t, settings, secondSum)
	}
	f.settings[0].Listen = freeAddress(t)
	f.start(t, f.settings[0])
	waitUntilServed(t, f.settings[0], secondSum)
	api := f.settings[1].Listen
	for path, want := range map[string]int{"models/b": 404, "Models": 400} {
		if status, _ := request(t, "GET", api+agent.PathActive+path, ""); status != want {
			t.Errorf("%s: %d", path, status)
		}
	}
	if status, body := request(t, "GET", api+"/metrics", ""); status != 200 || !strings.Contains(body, "oakpick_agent_activations 2") {
		t.Errorf("%d %.2000s", status, body)
	}
}
