// Package fake holds in-memory stand-ins for everything outside a controller:
// state service, cloud, workers, users and the network between them. They are
// strict where the protocol is: limits, leases, tokens, sessions and versions.
// Time is simulated, so a test names the interleaving that it is about.
package fake

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"time"

	"oakpick/internal/bookkeeping"
	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

type entry struct {
	value   []byte
	version int64
	lease   int64
	from    string // the node that wrote it
}

type lease struct {
	ttl  time.Duration
	ends time.Duration
}

// State is the state service.
type State struct {
	w        *World
	limits   config.State
	keys     map[string]entry
	leases   map[int64]lease
	revision int64
	nextID   int64
	puts     []time.Duration // within the last second
	Down     bool
	Cut      map[string]bool // nodes that get 503
	// PageWrites counts transactions that wrote something.
	PageWrites int
}

func newState(w *World, limits config.State) *State {
	return &State{w: w, limits: limits, keys: map[string]entry{}, leases: map[int64]lease{}, Cut: map[string]bool{}}
}

// sizeInJSON is how limits count: what is on the wire, written as JSON.
func sizeInJSON(v any) int {
	var wire any
	if err := protocol.Decode(protocol.Encode(v), &wire); err != nil {
		panic(err)
	}
	text, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	return len(text)
}

func (s *State) expire() {
	for id, l := range s.leases {
		if s.w.Now >= l.ends {
			s.end(id)
		}
	}
}

func (s *State) end(id int64) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.revision++
			delete(s.keys, k)
		}
	}
}

// Outage starts or ends one. After it every lease has its full time again.
func (s *State) Outage(down bool) {
	s.expire()
	s.Down = down
	for id, l := range s.leases {
		l.ends = s.w.Now + l.ttl
		if down {
			l.ends = 1 << 60
		}
		s.leases[id] = l
	}
}

// Holder names the node whose write made a key, or nobody's.
func (s *State) Holder(key string) string {
	s.expire()
	return s.keys[key].from
}

func (s *State) execute(from string, c bookkeeping.StateCall) bookkeeping.StateResult {
	r := bookkeeping.StateResult{ID: c.ID}
	if s.Down || s.Cut[from] {
		r.Outcome = bookkeeping.Refused
		return r
	}
	s.expire()
	switch c.Op {
	case bookkeeping.StateGrant:
		if c.TTL < 100*time.Millisecond {
			s.w.fail("state", "a lease of %v", c.TTL)
		}
		s.nextID++
		s.leases[s.nextID] = lease{c.TTL, s.w.Now + c.TTL}
		r.Number = s.nextID
	case bookkeeping.StateRenew:
		l, ok := s.leases[c.Lease]
		if !ok {
			r.Outcome = bookkeeping.NotFound
			return r
		}
		l.ends = s.w.Now + l.ttl
		s.leases[c.Lease] = l
	case bookkeeping.StateRevoke:
		if l, ok := s.leases[c.Lease]; ok {
			l.ends = s.w.Now
			s.leases[c.Lease] = l
			s.expire()
		}
	case bookkeeping.StateGet:
		e, ok := s.keys[c.Key]
		if !ok {
			r.Outcome = bookkeeping.NotFound
			return r
		}
		r.Entry = protocol.Entry{Key: c.Key, Value: e.value, Version: e.version, Lease: e.lease}
	case bookkeeping.StateList:
		var names []string
		for k := range s.keys {
			if strings.HasPrefix(k, c.Key) && k > c.After {
				names = append(names, k)
			}
		}
		sort.Strings(names)
		if len(names) > 3 { // small answers, so that reading on is exercised
			names, r.List.More = names[:3], true
		}
		for _, k := range names {
			r.List.Entries = append(r.List.Entries, protocol.Entry{Key: k, Value: s.keys[k].value, Version: s.keys[k].version})
		}
		r.List.Revision = s.revision
	case bookkeeping.StateTxn:
		return s.txn(from, c)
	}
	return r
}

func (s *State) txn(from string, c bookkeeping.StateCall) bookkeeping.StateResult {
	r := bookkeeping.StateResult{ID: c.ID}
	if len(c.Txn.Then) > s.limits.TxnOps || len(c.Txn.If) > 4*s.limits.TxnOps {
		s.w.fail("state", "a transaction of %d changes and %d conditions", len(c.Txn.Then), len(c.Txn.If))
	}
	if n := sizeInJSON(c.Txn); n > protocol.MaxBody {
		s.w.fail("state", "a transaction of %d bytes", n)
		r.Outcome = bookkeeping.Lost // an answer that the protocol doesn't list
		return r
	}
	// The write rate counts puts, with a burst of one second's worth.
	s.puts = slices.DeleteFunc(s.puts, func(at time.Duration) bool { return s.w.Now-at >= time.Second })
	if len(s.puts)+len(c.Txn.Then) > int(2*s.limits.WriteRPS) {
		r.Outcome = bookkeeping.Refused
		return r
	}
	for range c.Txn.Then {
		s.puts = append(s.puts, s.w.Now)
	}
	for _, cond := range c.Txn.If {
		if s.keys[cond.Key].version != cond.Version {
			r.Outcome = bookkeeping.Conflict
			return r
		}
	}
	for _, ch := range c.Txn.Then {
		if _, ok := s.leases[ch.Lease]; ch.Lease != 0 && !ok {
			r.Outcome = bookkeeping.Invalid
			return r
		}
		if n := sizeInJSON(ch.Value); float64(n) > s.limits.ValueKB*1024 {
			s.w.fail("state", "a value of %d bytes", n)
		}
	}
	if len(c.Txn.Then) > 0 {
		s.revision++
		s.PageWrites++
	}
	for _, ch := range c.Txn.Then {
		s.keys[ch.Put] = entry{protocol.Encode(ch.Value), s.revision, ch.Lease, from}
	}
	r.Number = s.revision
	return r
}
