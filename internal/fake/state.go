package fake

import (
	"maps"
	"slices"
	"time"

	"oakpick/internal/config"
)

// entry is what the state service holds under a key.
type entry struct {
	value   []byte
	version int64
	lease   int64
	writer  string // the controller that wrote it
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// State is the state service.
type State struct {
	// Down has every request refused.
	Down bool
	// Unreachable names the controllers whose requests are refused (503).
	Unreachable map[string]bool
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
	// RejectWrites has every write of a page refused for the rate (429).
	RejectWrites bool
	// RejectFromKeys has every transaction refused for the rate (429) that changes at least so many
	// keys; 0: none.
	RejectFromKeys int
	// RejectedForKeys counts these.
	RejectedForKeys int

	world         *World
	limits        config.State
	limitsLowered bool
	keys          map[string]entry
	sortedKeys    []string // nil: they have changed
	leases        map[int64]lease
	revision      int64
	nextID        int64
	recentPuts    []time.Duration // when, within the last second
}

// defaultMaxListed is MaxListed of a new state service.
const defaultMaxListed = 3

func newState(w *World, limits config.State) *State {
	return &State{
		world: w, limits: limits, keys: map[string]entry{}, leases: map[int64]lease{},
		Unreachable: map[string]bool{}, MaxListed: defaultMaxListed,
	}
}

// LowerLimits puts the limits to come in force: what is larger gets 400 from now on.
func (s *State) LowerLimits() {
	s.limits, s.limitsLowered = s.limits.Smallest(), true
}

// SetMaxValueKB sets how large a value may be.
func (s *State) SetMaxValueKB(kilobytes float64) { s.limits.ValueKB = kilobytes }

// noExpiry is when a lease expires that can't in an outage.
const noExpiry time.Duration = 1 << 60

// SetOutage starts or ends an outage. After it every lease has its full time again.
func (s *State) SetOutage(down bool) {
	s.expireLeases()
	s.Down = down
	for id, l := range s.leases {
		l.expiresAt = s.world.Now + l.ttl
		if down {
			l.expiresAt = noExpiry
		}
		s.leases[id] = l
	}
}

// Values are the stored values by key.
func (s *State) Values() map[string][]byte {
	values := map[string][]byte{}
	for key, e := range s.keys {
		values[key] = e.value
	}
	return values
}

// Size is how many keys there are, and how many bytes their values take.
func (s *State) Size() (keys, bytes int) {
	for _, e := range s.keys {
		bytes += len(e.value)
	}
	return len(s.keys), bytes
}

// WriterOf names the controller whose write made a key; "": there is no such key.
func (s *State) WriterOf(key string) string {
	s.expireLeases()
	return s.keys[key].writer
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

// endLease removes a lease and the keys that are attached to it.
func (s *State) endLease(id int64) {
	delete(s.leases, id)
	for key, e := range s.keys {
		if e.lease == id {
			s.revision++
			delete(s.keys, key)
			s.sortedKeys = nil
		}
	}
}
