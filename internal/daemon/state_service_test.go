package daemon

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/protocol"
)

// fakeStateService is an in-memory state service over HTTP. Its leases never expire by themselves.
type fakeStateService struct {
	mu       sync.Mutex
	keys     map[string]protocol.Entry
	revision int64
}

// deleteKey deletes a key, as if its lease had expired.
func (s *fakeStateService) deleteKey(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
	s.revision++
}

func (s *fakeStateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, response := s.answer(r)
	w.WriteHeader(status)
	_, _ = w.Write(protocol.Encode(response)) // a stopped controller doesn't read the response
}

// answer executes a request. The caller holds s.mu.
func (s *fakeStateService) answer(r *http.Request) (status int, response any) {
	path := r.URL.Path
	switch {
	case path == protocol.PathLeases, strings.HasPrefix(path, protocol.PathLeases+"/"):
		return http.StatusOK, protocol.LeaseGrant{Lease: 1}
	case path == protocol.PathKV:
		return http.StatusOK, s.list(r.URL.Query().Get("starts"))
	case strings.HasPrefix(path, protocol.PathKV+"/"):
		entry, ok := s.keys[strings.TrimPrefix(path, protocol.PathKV+"/")]
		if !ok {
			return http.StatusNotFound, protocol.TxnResponse{Revision: s.revision}
		}
		return http.StatusOK, entry
	case path == protocol.PathTxn:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return http.StatusBadRequest, protocol.TxnResponse{Error: err.Error()}
		}
		return s.commit(body)
	}
	return http.StatusNotFound, protocol.TxnResponse{}
}

func (s *fakeStateService) list(prefix string) protocol.EntryList {
	list := protocol.EntryList{Revision: s.revision, Entries: []protocol.Entry{}}
	for key, entry := range s.keys {
		if strings.HasPrefix(key, prefix) {
			list.Entries = append(list.Entries, entry)
		}
	}
	return list
}

// commit applies a transaction if its conditions hold. Deletions aren't supported.
func (s *fakeStateService) commit(body []byte) (status int, response protocol.TxnResponse) {
	var txn struct {
		If   []protocol.Condition `msgpack:"if"`
		Then []struct {
			Put   string             `msgpack:"write"`
			Value msgpack.RawMessage `msgpack:"value"`
		} `msgpack:"then"`
	}
	if err := protocol.Decode(body, &txn); err != nil {
		return http.StatusBadRequest, protocol.TxnResponse{Error: err.Error()}
	}
	for _, condition := range txn.If {
		if s.keys[condition.Key].Version != condition.Version {
			return http.StatusConflict, protocol.TxnResponse{Failed: []string{condition.Key}, Revision: s.revision}
		}
	}
	if len(txn.Then) > 0 {
		s.revision++
	}
	for _, change := range txn.Then {
		s.keys[change.Put] = protocol.Entry{Key: change.Put, Value: change.Value, Version: s.revision, Lease: 1}
	}
	return http.StatusOK, protocol.TxnResponse{Revision: s.revision}
}
