package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/protocol"
)

// stateLimits are the limits of the state service.
type stateLimits struct {
	rps, writeRPS, valueKB float64
	txnOps                 int
}

type stateEntry struct {
	value   msgpack.RawMessage
	version int64
	lease   int64
}

type stateLease struct {
	life      time.Duration
	expiresAt time.Time
}

// bucket allows bursts of one second's worth.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(n, rate float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+now.Sub(b.at).Seconds()*rate)
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// stateService is a small key-value store with leases.
type stateService struct {
	rec *record

	mu       sync.Mutex
	limits   stateLimits
	latency  time.Duration // of every answer
	keys     map[string]stateEntry
	leases   map[int64]*stateLease
	revision int64
	lastID   int64
	requests bucket
	writes   bucket
	refused  map[string]int
	// onTxn, if set, is called with the changed keys of each committed transaction, under the lock.
	onTxn func(changed []string)
}

func newStateService(rec *record, limits stateLimits) *stateService {
	return &stateService{
		rec: rec, limits: limits, latency: 2 * time.Millisecond,
		keys: map[string]stateEntry{}, leases: map[int64]*stateLease{}, refused: map[string]int{},
	}
}

func (s *stateService) setLimits(limits stateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.rec.add("state", "limits are now %+v", limits)
}

func (s *stateService) setLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
	s.rec.add("state", "every answer now takes %v", d)
}

// expire ends leases whose time is over, and removes their keys. The caller holds the lock.
func (s *stateService) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *stateService) endLease(id int64) {
	delete(s.leases, id)
	for key, e := range s.keys {
		if e.lease == id {
			s.revision++
			delete(s.keys, key)
			s.rec.add("state", "lease %d ended, %s removed", id, key)
		}
	}
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	status, answer, latency := s.execute(r, body)
	time.Sleep(latency)
	writeBody(w, status, answer)
}

func (s *stateService) execute(r *http.Request, body []byte) (status int, answer any, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latency = s.latency
	s.expire()
	if !s.requests.take(1, s.limits.rps) {
		s.refused["429 requests"]++
		return 429, map[string]any{}, latency
	}
	path := r.URL.Path
	switch {
	case path == "/kv":
		status, answer = s.list(r)
	case strings.HasPrefix(path, "/kv/"):
		status, answer = s.get(strings.TrimPrefix(path, "/kv/"))
	case path == "/txn":
		status, answer = s.txn(body)
	case path == "/grants":
		status, answer = s.grant(body)
	case strings.HasPrefix(path, "/grants/"):
		status, answer = s.lease(r.Method, strings.TrimPrefix(path, "/grants/"))
	default:
		status, answer = 404, map[string]any{}
	}
	return status, answer, latency
}

func (s *stateService) get(key string) (int, any) {
	e, ok := s.keys[key]
	if !ok {
		return 404, map[string]any{"ledger": s.revision}
	}
	return 200, protocol.Entry{Key: key, Value: e.value, Version: e.version, Lease: e.lease}
}

func (s *stateService) list(r *http.Request) (int, any) {
	const maxItems, maxBytes = 1000, 512 << 10
	prefix, after := r.URL.Query().Get("starts"), r.URL.Query().Get("after")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > maxItems {
		limit = maxItems
	}
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list := protocol.EntryList{Entries: []protocol.Entry{}, Revision: s.revision}
	size := 0
	for _, key := range keys {
		e := s.keys[key]
		size += len(key) + sizeInJSON(e.value) + 64
		if len(list.Entries) == limit || size > maxBytes && len(list.Entries) > 0 {
			list.More = true
			break
		}
		list.Entries = append(list.Entries, protocol.Entry{Key: key, Value: e.value, Version: e.version, Lease: e.lease})
	}
	return 200, list
}

func (s *stateService) txn(body []byte) (int, any) {
	txn, err := protocol.DecodeTxn(body)
	if err != nil {
		return 400, map[string]any{"error": "malformed"}
	}
	if len(txn.Then) > s.limits.txnOps || len(txn.If) > 4*s.limits.txnOps {
		s.refused["400 too many changes"]++
		s.rec.add("state", "400: %d changes", len(txn.Then))
		return 400, map[string]any{"error": "too many changes"}
	}
	for _, change := range txn.Then {
		if change.Put == "" {
			continue
		}
		if size := sizeInJSON(change.Value.(msgpack.RawMessage)); size > int(s.limits.valueKB*1024) {
			s.refused["400 value too large"]++
			s.rec.add("state", "400: %s has %d bytes", change.Put, size)
			return 400, map[string]any{"error": "value too large"}
		}
	}
	if len(txn.Then) > 0 && !s.writes.take(float64(len(txn.Then)), s.limits.writeRPS) {
		s.refused["429 changes"]++
		return 429, map[string]any{}
	}
	var failed []string
	for _, condition := range txn.If {
		if s.keys[condition.Key].version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return 409, protocol.TxnResponse{Failed: failed, Revision: s.revision}
	}
	for _, change := range txn.Then {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	if len(txn.Then) > 0 {
		s.revision++
	}
	var changed []string
	for _, change := range txn.Then {
		if change.Delete != "" {
			delete(s.keys, change.Delete)
			changed = append(changed, "-"+change.Delete)
			continue
		}
		value := append(msgpack.RawMessage(nil), change.Value.(msgpack.RawMessage)...)
		s.keys[change.Put] = stateEntry{value: value, version: s.revision, lease: change.Lease}
		changed = append(changed, change.Put)
	}
	if len(changed) > 0 {
		s.rec.add("state", "revision %d: %s", s.revision, strings.Join(changed, " "))
		if s.onTxn != nil {
			s.onTxn(changed)
		}
	}
	return 200, protocol.TxnResponse{Revision: s.revision}
}

func (s *stateService) grant(body []byte) (int, any) {
	var request protocol.LeaseRequest
	if protocol.Decode(body, &request) != nil || request.TTLms < 100 || request.TTLms > 600_000 {
		return 400, map[string]any{"error": "malformed"}
	}
	s.lastID++
	life := time.Duration(request.TTLms) * time.Millisecond
	s.leases[s.lastID] = &stateLease{life, time.Now().Add(life)}
	return 200, protocol.LeaseGrant{Lease: s.lastID}
}

func (s *stateService) lease(method, rest string) (int, any) {
	rest, renew := strings.CutSuffix(rest, "/renew")
	id, _ := strconv.ParseInt(rest, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		return 404, map[string]any{}
	case renew:
		l.expiresAt = time.Now().Add(l.life)
	case method == http.MethodDelete:
		s.endLease(id)
	}
	return 200, map[string]any{}
}

// sweep ends leases in time, also while no request comes.
func (s *stateService) sweep(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}
}

// sizeInJSON returns a value's size as the limits count it.
func sizeInJSON(value msgpack.RawMessage) int {
	var v any
	if msgpack.Unmarshal(value, &v) != nil {
		return len(value)
	}
	text, err := json.Marshal(v)
	if err != nil {
		return len(value)
	}
	return len(text)
}

// writeBody answers with a MessagePack body.
func writeBody(w http.ResponseWriter, status int, answer any) {
	body, ok := answer.([]byte)
	if !ok {
		body = protocol.Encode(answer)
	}
	w.Header().Set("Content-Type", protocol.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
