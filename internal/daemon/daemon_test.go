package daemon

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// stateService is a small one over HTTP, on loopback.
type stateService struct {
	mu       sync.Mutex
	keys     map[string]protocol.Entry
	revision int64
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
	case path == protocol.PathGrants, strings.HasPrefix(path, protocol.PathGrants+"/"):
		answer(200, protocol.Grant{Lease: 1})
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
			answer(404, protocol.TxnAnswer{Revision: s.revision})
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
			answer(400, protocol.TxnAnswer{Error: err.Error()})
			return
		}
		for _, c := range txn.If {
			if s.keys[c.Key].Version != c.Version {
				answer(409, protocol.TxnAnswer{Failed: []string{c.Key}, Revision: s.revision})
				return
			}
		}
		if len(txn.Then) > 0 {
			s.revision++
		}
		for _, c := range txn.Then {
			s.keys[c.Put] = protocol.Entry{Key: c.Put, Value: c.Value, Version: s.revision, Lease: 1}
		}
		answer(200, protocol.TxnAnswer{Revision: s.revision})
	default:
		answer(404, protocol.TxnAnswer{})
	}
}

func addr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func ask(t *testing.T, method, url, body string) (int, string) {
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

// Two whole processes' worth on loopback: one leads, the other hands users'
// requests and operators' settings on over its HTTP/2 stream.
func TestTwoControllersOnLoopback(t *testing.T) {
	raw, err := os.ReadFile("../../testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	state := &http.Server{Handler: &stateService{keys: map[string]protocol.Entry{}}}
	go func() { _ = state.Serve(l) }()
	t.Cleanup(func() { _ = state.Close() })
	names := []string{"ctl-0", "ctl-1"}
	fronts, clusters := []string{addr(t), addr(t)}, []string{addr(t), addr(t)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	for i, name := range names {
		var cfg config.Config
		if err := json.Unmarshal(raw, &cfg); err != nil {
			t.Fatal(err)
		}
		cfg.Node, cfg.Listen, cfg.PeerListen = name, fronts[i], clusters[i]
		cfg.Peers = []config.Peer{{Name: names[1-i], Addr: clusters[1-i]}}
		cfg.Services.State, cfg.Services.Cloud = l.Addr().String(), addr(t)
		group.Go(func() {
			if err := Run(ctx, &cfg, slog.New(slog.DiscardHandler)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
		// The first leads before the second begins.
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			if status, _ := ask(t, "GET", clusters[i]+"/admin/settings", ""); status == 200 {
				break
			} else if time.Now().After(deadline) {
				t.Fatalf("%s never answers, last with %d", name, status)
			}
		}
	}
	for _, front := range fronts {
		if status, _ := ask(t, "GET", front+"/healthz", ""); status != 200 {
			t.Errorf("healthz: %d", status)
		}
		if status, body := ask(t, "GET", front+"/v2/runs/wk-000001", ""); status != 404 {
			t.Errorf("a job that nobody knows: %d %q", status, body)
		}
		if status, _ := ask(t, "POST", front+"/v2/runs", "\x90"); status != 400 {
			t.Errorf("a list for a job: %d", status)
		}
	}
	if status, body := ask(t, "PATCH", clusters[1]+"/admin/settings", `{"sample": 3}`); status != 200 {
		t.Errorf("settings through the follower: %d %s", status, body)
	}
	if status, body := ask(t, "PATCH", clusters[1]+"/admin/settings", `{"sample": -3}`); status != 400 || !strings.Contains(body, "sample") {
		t.Errorf("bad settings through the follower: %d %s", status, body)
	}
	if _, body := ask(t, "GET", clusters[0]+"/admin/settings", ""); !strings.Contains(body, `"sample": 3`) {
		t.Errorf("the leader's settings: %s", body)
	}
	if status, body := ask(t, "GET", clusters[0]+"/admin/metrics", ""); status != 200 || !strings.Contains(body, "state_write") {
		t.Errorf("metrics: %d %s", status, body)
	}
	if _, body := ask(t, "GET", clusters[1]+"/admin/status", ""); !strings.Contains(body, `"role": "follower"`) {
		t.Errorf("the follower's status: %s", body)
	}
}
