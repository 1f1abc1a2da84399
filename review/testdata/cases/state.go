package main

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// stateService is a stand-in for the state service, with the limits of the protocol.
type stateService struct {
	bench  *bench
	limits stateLimits

	mu       sync.Mutex
	revision int64
	entries  map[string]*entry
	leases   map[int64]*lease
	lastID   int64

	requests, writes bucket
	delay            time.Duration // of an answer
}

type stateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`

	Next *stateLimits `json:"next,omitempty"` // in the settings only
}

type entry struct {
	value   msgpack.RawMessage
	version int64
	lease   int64
}

type lease struct {
	life    time.Duration
	expires time.Time
}

// bucket is a rate limit that allows bursts of one second's worth.
type bucket struct {
	rate, level float64
	at          time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.level = b.rate
	} else {
		b.level = min(b.rate, b.level+now.Sub(b.at).Seconds()*b.rate)
	}
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

func newStateService(b *bench, limits stateLimits) *stateService {
	return &stateService{
		bench: b, limits: limits, revision: 1, entries: map[string]*entry{}, leases: map[int64]*lease{},
		requests: bucket{rate: limits.RPS}, writes: bucket{rate: limits.WriteRPS}, delay: usualResponse,
	}
}

// usualResponse is how long an answer usually takes.
const usualResponse = time.Millisecond

// setDelay sets how long an answer takes.
func (s *stateService) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// setLimits changes the limits.
func (s *stateService) setLimits(limits stateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.requests.rate, s.writes.rate = limits, limits.RPS, limits.WriteRPS
}

// handler returns the service as one controller reaches it.
func (s *stateService) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		wait := s.delay
		s.mu.Unlock()
		time.Sleep(wait / 2)
		status, body := s.serve(r)
		time.Sleep(wait / 2)
		if status >= 400 && status != 404 && status != 409 {
			s.bench.record.line("state: %s %s from controller %d: %d %v", r.Method, r.URL.Path, node, status, body)
		}
		respond(w, status, body)
	})
}

func (s *stateService) serve(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.requests.take(1) {
		return http.StatusTooManyRequests, nil
	}
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/kv/"):
		key := strings.TrimPrefix(path, "/kv/")
		e := s.entries[key]
		if e == nil {
			return http.StatusNotFound, object{"ledger": s.revision}
		}
		return http.StatusOK, entryObject(key, e)
	case r.Method == http.MethodGet && path == "/kv":
		return s.list(r)
	case r.Method == http.MethodPost && path == "/txn":
		return s.txn(r)
	case r.Method == http.MethodPost && path == "/grants":
		m, ok := readBody(r, maxBody)
		life := integer(m["life_ms"])
		if !ok || life < 100 || life > 600_000 {
			return http.StatusBadRequest, object{"error": "malformed"}
		}
		s.lastID++
		d := time.Duration(life) * time.Millisecond
		s.leases[s.lastID] = &lease{d, time.Now().Add(d)}
		return http.StatusOK, object{"permit": s.lastID}
	}
	rest, ok := strings.CutPrefix(path, "/grants/")
	if !ok {
		return http.StatusBadRequest, object{"error": "malformed"}
	}
	rest, renew := strings.CutSuffix(rest, "/renew")
	id, err := strconv.ParseInt(rest, 10, 64)
	l := s.leases[id]
	switch {
	case err != nil:
		return http.StatusBadRequest, object{"error": "malformed"}
	case l == nil:
		return http.StatusNotFound, object{"error": "no such lease"}
	case renew && r.Method == http.MethodPost:
		l.expires = time.Now().Add(l.life)
		return http.StatusOK, object{}
	case !renew && r.Method == http.MethodDelete:
		s.endLease(id)
		return http.StatusOK, object{}
	}
	return http.StatusBadRequest, object{"error": "malformed"}
}

func entryObject(key string, e *entry) object {
	o := object{"path": key, "value": e.value, "stamp": e.version}
	if e.lease != 0 {
		o["permit"] = e.lease
	}
	return o
}

func (s *stateService) list(r *http.Request) (int, any) {
	query := r.URL.Query()
	prefix, after := query.Get("starts"), query.Get("after")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	entries, size, more := []any{}, 0, false
	for _, key := range keys {
		size += len(s.entries[key].value)
		if len(entries) == limit || size > 512<<10 {
			more = true
			break
		}
		entries = append(entries, entryObject(key, s.entries[key]))
	}
	return http.StatusOK, object{"entries": entries, "has_next": more, "ledger": s.revision}
}

type txnMessage struct {
	If []struct {
		Path  string `msgpack:"path"`
		Stamp int64  `msgpack:"stamp"`
	} `msgpack:"if"`
	Then []struct {
		Write  string             `msgpack:"write"`
		Value  msgpack.RawMessage `msgpack:"value"`
		Permit int64              `msgpack:"permit"`
		Drop   string             `msgpack:"drop"`
	} `msgpack:"then"`
}

func (s *stateService) txn(r *http.Request) (int, any) {
	var m txnMessage
	if err := msgpack.NewDecoder(r.Body).Decode(&m); err != nil {
		return http.StatusBadRequest, object{"error": "malformed"}
	}
	if len(m.Then) > 0 && !s.writes.take(float64(len(m.Then))) {
		return http.StatusTooManyRequests, nil
	}
	if len(m.Then) > s.limits.TxnOps || len(m.If) > 4*s.limits.TxnOps {
		return http.StatusBadRequest, object{"error": "too many"}
	}
	total := 0
	for _, change := range m.Then {
		if change.Write == "" {
			continue
		}
		var v any
		if msgpack.Unmarshal(change.Value, &v) != nil {
			return http.StatusBadRequest, object{"error": "malformed"}
		}
		size := jsonSize(v)
		total += size
		if float64(size) > s.limits.ValueKB*1024 {
			return http.StatusBadRequest, object{"error": "value too large"}
		}
		if change.Permit != 0 && s.leases[change.Permit] == nil {
			return http.StatusBadRequest, object{"error": "no such lease"}
		}
	}
	if total > maxBody {
		return http.StatusBadRequest, object{"error": "too large"}
	}
	failed := []string{}
	for _, condition := range m.If {
		var version int64
		if e := s.entries[condition.Path]; e != nil {
			version = e.version
		}
		if version != condition.Stamp {
			failed = append(failed, condition.Path)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, object{"failed": failed, "ledger": s.revision}
	}
	if len(m.Then) > 0 {
		s.revision++
	}
	for _, change := range m.Then {
		if change.Write != "" {
			s.entries[change.Write] = &entry{append(msgpack.RawMessage(nil), change.Value...), s.revision, change.Permit}
		} else {
			delete(s.entries, change.Drop)
		}
	}
	return http.StatusOK, object{"ledger": s.revision}
}

// expire ends the leases that were not renewed in time.
func (s *stateService) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *stateService) endLease(id int64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.revision++
			delete(s.entries, key)
		}
	}
}
