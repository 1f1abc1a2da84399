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
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/protocol"
)

// stateService is a small one over HTTP, on loopback.
type stateService struct {
	mu       sync.Mutex
	keys     map[string]protocol.Entry
	revision int64
}

// drop removes a key, as when its lease has run out.
func (s *stateService) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
	s.revision++
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	answer := func(status int, v any) {
		w.WriteHeader(status)
		_, _ = w.Write(protocol.Encode(v))
	}
	switch path := r.URL.Path; {
	case path == protocol.PathLeases, strings.HasPrefix(path, protocol.PathLeases+"/"):
		answer(200, protocol.LeaseGrant{Lease: 1})
	case path == protocol.PathKV:
		list := protocol.EntryList{Revision: s.revision, Entries: []protocol.Entry{}}
		for k, e := range s.keys {
			if strings.HasPrefix(k, r.URL.Query().Get("starts")) {
				list.Entries = append(list.Entries, e)
			}
		}
		answer(200, list)
	case strings.HasPrefix(path, protocol.PathKV+"/"):
		e, ok := s.keys[strings.TrimPrefix(path, protocol.PathKV+"/")]
		if !ok {
			answer(404, protocol.TxnResponse{Revision: s.revision})
			return
		}
		answer(200, e)
	case path == protocol.PathTxn:
		var txn struct {
			If   []protocol.Condition `msgpack:"if"`
			Then []struct {
				Put   string             `msgpack:"write"`
				Value msgpack.RawMessage `msgpack:"value"`
			} `msgpack:"then"`
		}
		if err := protocol.Decode(body, &txn); err != nil {
			answer(400, protocol.TxnResponse{Error: err.Error()})
			return
		}
		for _, c := range txn.If {
			if s.keys[c.Key].Version != c.Version {
				answer(409, protocol.TxnResponse{Failed: []string{c.Key}, Revision: s.revision})
				return
			}
		}
		if len(txn.Then) > 0 {
			s.revision++
		}
		for _, c := range txn.Then {
			s.keys[c.Put] = protocol.Entry{Key: c.Put, Value: c.Value, Version: s.revision, Lease: 1}
		}
		answer(200, protocol.TxnResponse{Revision: s.revision})
	default:
		answer(404, protocol.TxnResponse{})
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func request(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(b)
}

// controllerPair is two whole processes' worth on loopback; the first leads.
type controllerPair struct {
	apiAddresses, peerAddresses []string
	state                       *stateService
	stops                       []context.CancelFunc // each ends one
}

func newControllerPair(t *testing.T) *controllerPair {
	t.Helper()
	return newControllerPairWith(t, config.Extensions{}, config.Extensions{})
}

// newControllerPairWith has each of them switch something on.
func newControllerPairWith(t *testing.T, extensions ...config.Extensions) *controllerPair {
	t.Helper()
	raw, err := os.ReadFile("../../testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	p := &controllerPair{
		apiAddresses: []string{freeAddress(t), freeAddress(t)}, peerAddresses: []string{freeAddress(t), freeAddress(t)},
		state: &stateService{keys: map[string]protocol.Entry{}},
	}
	state := startHTTPServer(t, p.state)
	cloud := startHTTPServer(t, http.HandlerFunc(emptyCloud))
	names := []string{"ctl-0", "ctl-1"}
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	for i, name := range names {
		var cfg config.Config
		if err := json.Unmarshal(raw, &cfg); err != nil {
			t.Fatal(err)
		}
		cfg.Node, cfg.FrontListen, cfg.PeerListen = name, p.apiAddresses[i], p.peerAddresses[i]
		cfg.Peers = []config.Peer{{Name: names[1-i], Addr: p.peerAddresses[1-i]}}
		cfg.Services.State, cfg.Services.Cloud = state, cloud
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		p.stops = append(p.stops, cancel)
		group.Go(func() {
			if err := Run(ctx, &cfg, extensions[i], slog.New(slog.DiscardHandler)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
		// The first leads before the second begins.
		eventually(t, func() (string, bool) {
			status, _ := request(t, "GET", p.peerAddresses[i]+"/admin/settings", "")
			return fmt.Sprintf("%s answers with %d", name, status), status == 200
		})
	}
	return p
}

func startHTTPServer(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// eventually asks again and again until it is so, for twenty seconds at most.
func eventually(t *testing.T, so func() (string, bool)) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if what, ok := so(); ok {
			return
		} else if time.Now().After(deadline) {
			t.Fatalf("not so after 20 s: %s", what)
		}
	}
}

// emptyCloud has a machine type, and no machine to rent.
func emptyCloud(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == protocol.PathMachineTypes:
		_, _ = w.Write(protocol.Encode(protocol.MachineTypes{Types: []protocol.MachineType{
			{Name: "m4", CPUs: 4, MemoryGB: 16, CacheGB: 10, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"north"}},
		}}))
	case r.Method == http.MethodGet:
		_, _ = w.Write(protocol.Encode(protocol.MachineList{}))
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write(protocol.EncodeError("no capacity"))
	}
}

// One leads, the other hands users' requests and operators' settings on over its
// HTTP/2 stream.
func TestTwoControllersOnLoopback(t *testing.T) {
	p := newControllerPair(t)
	fronts, clusters := p.apiAddresses, p.peerAddresses
	for _, front := range fronts {
		if status, _ := request(t, "GET", front+"/healthz", ""); status != 200 {
			t.Errorf("healthz: %d", status)
		}
		if status, body := request(t, "GET", front+"/v2/runs/wk-000001", ""); status != 404 {
			t.Errorf("a job that nobody knows: %d %q", status, body)
		}
		if status, _ := request(t, "POST", front+"/v2/runs", "\x90"); status != 400 {
			t.Errorf("a list for a job: %d", status)
		}
	}
	if status, body := request(t, "PATCH", clusters[1]+"/admin/settings", `{"sample": 3}`); status != 200 {
		t.Errorf("settings through the follower: %d %s", status, body)
	}
	if status, body := request(t, "PATCH", clusters[1]+"/admin/settings", `{"sample": -3}`); status != 400 || !strings.Contains(body, "sample") {
		t.Errorf("bad settings through the follower: %d %s", status, body)
	}
	if _, body := request(t, "GET", clusters[0]+"/admin/settings", ""); !strings.Contains(body, `"sample": 3`) {
		t.Errorf("the leader's settings: %s", body)
	}
	if status, body := request(t, "GET", clusters[0]+"/admin/metrics", ""); status != 200 || !strings.Contains(body, "state_write") {
		t.Errorf("metrics: %d %s", status, body)
	}
	if _, body := request(t, "GET", clusters[1]+"/admin/status", ""); !strings.Contains(body, `"role": "follower"`) {
		t.Errorf("the follower's status: %s", body)
	}
}

// submission is a user's request for a replica.
func submission(i int) string {
	return string(protocol.Encode(map[string]any{
		"id": fmt.Sprintf("wk-%06d", i), "jobclass": "c", "owner": "alpha", "shape": "service", "rank": "standard", "pieces": 1,
		"vcpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "bundle": "img", "image_gb": 1.0, "kinds_of_host": nil, "site": nil,
		"together": false, "spread": false, "loaners": false, "expected_s": 0.0, "savepoint_s": 0.0, "saving_s": 0.0, "due_s": nil,
	}))
}

// Operators ask about a job at the leader and at a follower.
func TestOperatorsAskAboutAJob(t *testing.T) {
	p := newControllerPair(t)
	eventually(t, func() (string, bool) {
		status, body := request(t, "POST", p.apiAddresses[1]+"/v2/runs", submission(1))
		return fmt.Sprintf("submitted: %d %q", status, body), status == 201 || status == 200
	})
	for _, cluster := range p.peerAddresses {
		var s controller.JobStatus
		status, body := request(t, "GET", cluster+"/admin/jobs/wk-000001", "")
		if err := json.Unmarshal([]byte(body), &s); err != nil || status != 200 || s.Class != "c" || s.Waiting != 1 || s.Failures != nil {
			t.Errorf("%s: %d %s", cluster, status, body)
		}
		if status, body := request(t, "GET", cluster+"/admin/jobs/wk-000002", ""); status != 404 {
			t.Errorf("a job that nobody knows: %d %s", status, body)
		}
	}
}

// Users look at a job at both nodes at once and again and again: right after it was
// accepted, while it is called off, and after the leader has ended. Whoever asks
// after an answer was heard gets none that is older.
func TestCloseLooksOnLoopback(t *testing.T) {
	p := newControllerPair(t)
	const path = "/v2/runs"
	status := func(body string) string {
		var a protocol.JobResponse
		if protocol.Decode([]byte(body), &a) != nil {
			return ""
		}
		return a.Status
	}
	look := func(job string, i int, allowed ...string) {
		var all sync.WaitGroup
		for n := range 12 {
			all.Go(func() {
				code, body := request(t, "GET", p.apiAddresses[n%2]+path+"/"+job, "")
				if n%3 == 0 {
					code, body = request(t, "POST", p.apiAddresses[n%2]+path, submission(i))
				}
				if code != 503 && (code != 200 || !slices.Contains(allowed, status(body))) {
					t.Errorf("%s at node %d: %d %q, allowed %v", job, n%2, code, status(body), allowed)
				}
			})
		}
		all.Wait()
	}
	eventually(t, func() (string, bool) {
		code, body := request(t, "POST", p.apiAddresses[0]+path, submission(1))
		return body, code == 201 || code == 200
	})
	for i := 1; i <= 8; i++ {
		job := fmt.Sprintf("wk-%06d", i)
		eventually(t, func() (string, bool) {
			code, body := request(t, "POST", p.apiAddresses[i%2]+path, submission(i))
			return body, code == 201 || code == 200
		})
		look(job, i, protocol.StatusQueued)
		var called sync.WaitGroup
		called.Go(func() { look(job, i, protocol.StatusQueued, protocol.StatusCancelled) })
		eventually(t, func() (string, bool) {
			code, body := request(t, "POST", p.apiAddresses[(i+1)%2]+path+"/"+job+"/abort", "")
			return body, code == 200 && status(body) == protocol.StatusCancelled
		})
		look(job, i, protocol.StatusCancelled)
		called.Wait()
	}
	p.stops[0]()
	p.state.drop(controller.LeaderKey) // its lease runs out
	eventually(t, func() (string, bool) {
		code, body := request(t, "GET", p.apiAddresses[1]+path+"/wk-000003", "")
		return body, code == 200 && status(body) == protocol.StatusCancelled
	})
	for n := range 12 {
		if code, body := request(t, "GET", p.apiAddresses[1]+path+fmt.Sprintf("/wk-%06d", 1+n%8), ""); code != 503 && status(body) != protocol.StatusCancelled {
			t.Errorf("after the leader has ended: %d %q", code, status(body))
		}
	}
}
