// Package fake holds in-memory stand-ins for everything outside a controller:
// state service, cloud, workers, users and the network between them. They are
// strict where the protocol is: limits, leases, tokens, sessions and versions.
// Time is simulated, so a test names the interleaving that it is about.
package fake

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

type entry struct {
	value   []byte
	version int64
	lease   int64
	writer  string // the node that wrote it
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// State is the state service.
type State struct {
	world       *World
	limits      config.State
	keys        map[string]entry
	sortedKeys  []string // the keys in order; nil: they have changed
	leases      map[int64]lease
	revision    int64
	nextID      int64
	recentPuts  []time.Duration // within the last second
	Down        bool
	Unreachable map[string]bool // nodes that get 503
	// MaxListed is how many entries an answer has at most: few, so that reading on is
	// exercised.
	MaxListed int
	// WriteTransactions counts transactions that wrote something.
	WriteTransactions int
	// Puts counts the keys that were written.
	Puts int
	// RejectedForSize counts transactions that were over the limits after these were
	// lowered.
	RejectedForSize int
	limitsLowered   bool
	// RejectWrites has every write of a page refused for the rate (429).
	RejectWrites bool
}

func newState(w *World, limits config.State) *State {
	return &State{world: w, limits: limits, keys: map[string]entry{}, leases: map[int64]lease{}, Unreachable: map[string]bool{}, MaxListed: 3}
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

// LowerLimits puts the limits to come in force: what is larger gets 400 from now on.
func (s *State) LowerLimits() {
	s.limits, s.limitsLowered = s.limits.Smallest(), true
}

// SetMaxValueKB sets how large a value may be.
func (s *State) SetMaxValueKB(kilobytes float64) { s.limits.ValueKB = kilobytes }

// Values are the stored values by key.
func (s *State) Values() map[string][]byte {
	out := map[string][]byte{}
	for key, e := range s.keys {
		out[key] = e.value
	}
	return out
}

// Restore stores values that another service held, as if each had been written after the
// one before it in the order of the keys. No key is attached to a lease.
func (s *State) Restore(values map[string][]byte) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		s.revision++
		s.keys[key] = entry{value: values[key], version: s.revision}
		s.sortedKeys = nil
	}
}

func (s *State) expireLeases() {
	for id, l := range s.leases {
		if s.world.Now >= l.expiresAt {
			s.endLease(id)
		}
	}
}

func (s *State) endLease(id int64) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			s.revision++
			delete(s.keys, k)
			s.sortedKeys = nil
		}
	}
}

// SetOutage starts or ends one. After it every lease has its full time again.
func (s *State) SetOutage(down bool) {
	s.expireLeases()
	s.Down = down
	for id, l := range s.leases {
		l.expiresAt = s.world.Now + l.ttl
		if down {
			l.expiresAt = 1 << 60
		}
		s.leases[id] = l
	}
}

// WriterOf names the node whose write made a key, or nobody's.
func (s *State) WriterOf(key string) string {
	s.expireLeases()
	return s.keys[key].writer
}

// Execute executes a request at once, whoever sends it.
func (s *State) Execute(c storage.StateCall) storage.StateResult { return s.execute("", false, c) }

func (s *State) execute(from string, old bool, c storage.StateCall) storage.StateResult {
	r := storage.StateResult{ID: c.ID}
	if s.Down || s.Unreachable[from] {
		r.Outcome = rpc.Refused
		return r
	}
	s.expireLeases()
	switch c.Op {
	case storage.StateGrantLease:
		if c.TTL < 100*time.Millisecond {
			s.world.violation("state", "a lease of %v", c.TTL)
		}
		s.nextID++
		s.leases[s.nextID] = lease{c.TTL, s.world.Now + c.TTL}
		r.Revision = s.nextID
	case storage.StateRenewLease:
		l, ok := s.leases[c.Lease]
		if !ok {
			r.Outcome = rpc.NotFound
			return r
		}
		l.expiresAt = s.world.Now + l.ttl
		s.leases[c.Lease] = l
	case storage.StateRevokeLease:
		if l, ok := s.leases[c.Lease]; ok {
			l.expiresAt = s.world.Now
			s.leases[c.Lease] = l
			s.expireLeases()
		}
	case storage.StateGet:
		e, ok := s.keys[c.Key]
		if !ok {
			r.Outcome = rpc.NotFound
			return r
		}
		r.Entry = protocol.Entry{Key: c.Key, Value: e.value, Version: e.version, Lease: e.lease}
	case storage.StateList:
		r.List.Entries, r.List.More = s.list(c.Key, c.StartAfter, c.Limit)
		r.List.Revision = s.revision
	case storage.StateTxn:
		return s.txn(from, old, c)
	}
	return r
}

// list gives the entries behind a key that have a prefix, and tells whether there are more.
func (s *State) list(prefix, after string, most int) (entries []protocol.Entry, more bool) {
	if s.sortedKeys == nil {
		s.sortedKeys = slices.Sorted(maps.Keys(s.keys))
	}
	from, _ := slices.BinarySearch(s.sortedKeys, max(prefix, after))
	if most == 0 || most > s.MaxListed {
		most = s.MaxListed
	}
	size := 0
	for _, k := range s.sortedKeys[from:] {
		if !strings.HasPrefix(k, prefix) {
			break
		}
		if k == after {
			continue
		}
		e := s.keys[k]
		if size += len(k) + len(e.value); len(entries) == most || size > listBytes && len(entries) > 0 {
			return entries, true
		}
		entries = append(entries, protocol.Entry{Key: k, Value: e.value, Version: e.version})
	}
	return entries, false
}

// listBytes is what the entries of an answer take at most.
const listBytes = 512 << 10

func (s *State) txn(from string, old bool, c storage.StateCall) storage.StateResult {
	r := storage.StateResult{ID: c.ID}
	if why := s.tooLarge(c.Txn); why != "" {
		if !s.limitsLowered {
			s.world.violation("state", "%s", why)
		}
		s.RejectedForSize++
		r.Outcome = rpc.Invalid
		return r
	}
	if len(c.Txn.Then) > s.limits.TxnOps || len(c.Txn.If) > 4*s.limits.TxnOps {
		s.world.violation("state", "a transaction of %d changes and %d conditions", len(c.Txn.Then), len(c.Txn.If))
	}
	if n := sizeInJSON(c.Txn); n > protocol.MaxBody {
		s.world.violation("state", "a transaction of %d bytes", n)
		r.Outcome = rpc.Unknown // an answer that the protocol doesn't list
		return r
	}
	if s.RejectWrites && len(c.Txn.Then) > 0 && c.Txn.Then[0].Put != controller.LeaderKey {
		r.Outcome = rpc.Refused
		return r
	}
	// The write rate counts puts, with a burst of one second's worth.
	s.recentPuts = slices.DeleteFunc(s.recentPuts, func(at time.Duration) bool { return s.world.Now-at >= time.Second })
	if len(s.recentPuts)+len(c.Txn.Then) > int(2*s.limits.WriteRPS) {
		r.Outcome = rpc.Refused
		return r
	}
	for range c.Txn.Then {
		s.recentPuts = append(s.recentPuts, s.world.Now)
	}
	for _, cond := range c.Txn.If {
		if s.keys[cond.Key].version != cond.Version {
			r.Outcome = rpc.Conflict
			return r
		}
	}
	if !old { // a late copy that its conditions refuse does no harm
		s.checkLimitsToCome(from, c.Txn)
	}
	for _, ch := range c.Txn.Then {
		if _, ok := s.leases[ch.Lease]; ch.Lease != 0 && !ok {
			r.Outcome = rpc.Invalid
			return r
		}
	}
	if len(c.Txn.Then) > 0 {
		s.revision++
		s.WriteTransactions++
	}
	for _, ch := range c.Txn.Then {
		if ch.Delete != "" {
			delete(s.keys, ch.Delete)
			s.sortedKeys = nil
			continue
		}
		if _, ok := s.keys[ch.Put]; !ok {
			s.sortedKeys = nil
		}
		s.Puts++
		s.keys[ch.Put] = entry{protocol.Encode(ch.Value), s.revision, ch.Lease, from}
	}
	r.Revision = s.revision
	return r
}

// tooLarge says what of a transaction is over the limits.
func (s *State) tooLarge(txn protocol.Txn) string {
	if len(txn.Then) > s.limits.TxnOps {
		return fmt.Sprintf("a transaction of %d changes", len(txn.Then))
	}
	for _, change := range txn.Then {
		if n := sizeInJSON(change.Value); change.Delete == "" && n > int(s.limits.ValueKB*1024) {
			return fmt.Sprintf("a value of %d bytes", n)
		}
	}
	return ""
}

// checkLimitsToCome fails if a controller that knows of lower limits to come doesn't keep
// to them: only the rest of a value that was stored before may still be larger, and no
// larger than it was.
func (s *State) checkLimitsToCome(from string, txn protocol.Txn) {
	next := s.limits.Smallest()
	for _, change := range txn.Then {
		if n := sizeInJSON(change.Value); change.Delete == "" && n > int(next.ValueKB*1024) && n > s.storedSize(change.Put) {
			s.world.violation("state", "%s writes a value of %d bytes, above the limits to come", from, n)
		}
	}
	if len(txn.Then) > next.TxnOps {
		s.world.violation("state", "%s makes %d changes at once, above the limits to come", from, len(txn.Then))
	}
}

func (s *State) storedSize(key string) int {
	e, ok := s.keys[key]
	if !ok {
		return 0
	}
	return sizeInJSON(msgpack.RawMessage(e.value))
}

// Size is how many keys there are, and what their values take.
func (s *State) Size() (keys, bytes int) {
	for _, e := range s.keys {
		bytes += len(e.value)
	}
	return len(s.keys), bytes
}
