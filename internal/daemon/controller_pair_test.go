package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/election"
	"oakpick/internal/protocol"
)

// controllerPair runs two complete controllers on loopback addresses; the first one leads.
type controllerPair struct {
	apiAddresses, peerAddresses []string
	state                       *fakeStateService
	cancels                     []context.CancelFunc // by controller; each stops one
}

func newControllerPair(t *testing.T) *controllerPair {
	t.Helper()
	return newControllerPairWith(t, config.Extensions{}, config.Extensions{})
}

// newControllerPairWith starts the pair, each controller with its own extensions.
func newControllerPairWith(t *testing.T, extensions ...config.Extensions) *controllerPair {
	t.Helper()
	p := &controllerPair{
		apiAddresses:  []string{freeAddress(t), freeAddress(t)},
		peerAddresses: []string{freeAddress(t), freeAddress(t)},
		state:         &fakeStateService{keys: map[string]protocol.Entry{}},
	}
	state, cloud := startHTTPServer(t, p.state), startHTTPServer(t, http.HandlerFunc(emptyCloud))
	var controllers sync.WaitGroup
	t.Cleanup(controllers.Wait)
	for i, name := range []string{"ctl-0", "ctl-1"} {
		cfg := p.config(t, i)
		cfg.Services.State, cfg.Services.Cloud = state, cloud
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		p.cancels = append(p.cancels, cancel)
		controllers.Go(func() {
			if err := Run(ctx, cfg, extensions[i], slog.New(slog.DiscardHandler)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
		// The second controller starts only once the first one leads.
		eventually(t, func() (string, bool) {
			status, _ := request(t, "GET", p.peerAddresses[i]+"/admin/settings", "")
			return fmt.Sprintf("%s answers with %d", name, status), status == 200
		})
	}
	return p
}

// config returns the settings of a controller without the addresses of the state service and
// the cloud.
func (p *controllerPair) config(t *testing.T, i int) *config.Config {
	t.Helper()
	raw, err := os.ReadFile("../../testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var cfg config.Config
	if err := json.Unmarshal(raw, &cfg); err != nil {
		t.Fatal(err)
	}
	names := []string{"ctl-0", "ctl-1"}
	cfg.Node, cfg.APIListen, cfg.PeerListen = names[i], p.apiAddresses[i], p.peerAddresses[i]
	cfg.Peers = []config.Peer{{Name: names[1-i], Addr: p.peerAddresses[1-i]}}
	return &cfg
}

// stopLeader stops the first controller and deletes its leader key, as if its lease had expired.
func (p *controllerPair) stopLeader() {
	p.cancels[0]()
	p.state.deleteKey(election.LeaderKey)
}

// freeAddress returns an unused loopback address. The host is derived from the process ID: on
// 127.0.0.1, a connection of another process could take the port before it is used.
func freeAddress(t *testing.T) string {
	t.Helper()
	const firstOctet, octets = 230, 20
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.1", firstOctet+pid%octets, pid/octets%250)
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // no connection was accepted
	return listener.Addr().String()
}

// startHTTPServer serves on a loopback address until the test ends. It returns the address.
func startHTTPServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // returns on Close
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// request sends an HTTP request and returns the status and the body of the response. If there is
// no response, the status is 0 and the error's text is returned in place of the body.
func request(t *testing.T, method, url, body string) (status int, answer string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }() // an error of reading is returned below
	content, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(content)
}

// eventually repeats a check until it succeeds, and fails the test after 20 s.
func eventually(t *testing.T, check func() (state string, ok bool)) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if state, ok := check(); ok {
			return
		} else if time.Now().After(deadline) {
			t.Fatalf("condition not met after 20 s: %s", state)
		}
	}
}

// emptyCloud serves a cloud with one machine type, no machines and no capacity.
func emptyCloud(w http.ResponseWriter, r *http.Request) {
	status, body := http.StatusOK, []byte(nil)
	switch {
	case r.URL.Path == protocol.PathMachineTypes:
		body = protocol.Encode(protocol.MachineTypes{Types: []protocol.MachineType{
			{Name: "m4", CPUs: 4, MemoryGB: 16, CacheGB: 10, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"north"}},
		}})
	case r.Method == http.MethodGet:
		body = protocol.Encode(protocol.MachineList{})
	default:
		status, body = http.StatusServiceUnavailable, protocol.EncodeNoCapacity()
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // a stopped controller doesn't read the response
}

// submission returns the body of a user's submission of a service with one replica.
func submission(i int) string {
	return string(protocol.Encode(map[string]any{
		"id": jobID(i), "jobclass": "c", "owner": "alpha", "shape": "service", "rank": "standard", "pieces": 1,
		"vcpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "bundle": "img", "image_gb": 1.0, "kinds_of_host": nil, "site": nil,
		"together": false, "spread": false, "loaners": false, "expected_s": 0.0, "savepoint_s": 0.0, "saving_s": 0.0, "due_s": nil,
	}))
}

func jobID(i int) string { return fmt.Sprintf("wk-%06d", i) }

// submitEventually submits a job until it is accepted.
func submitEventually(t *testing.T, apiAddress string, i int) {
	t.Helper()
	eventually(t, func() (string, bool) {
		status, body := request(t, "POST", apiAddress+protocol.PathJobs, submission(i))
		return fmt.Sprintf("submitted: %d %q", status, body), status == 201 || status == 200
	})
}
