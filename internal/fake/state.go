package fake

import (
	"maps"
	"slices"
	"time"

	"oakpick/internal/config"
)

// entry is a key's value in the state service.
type entry struct {
	value   []byte
	version int64
	lease   int64  // lease that the key is attached to, or 0
	writer  string // controller that wrote the value
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Duration
}

// State simulates the state service.
type State struct {
	// Down makes the service refuse every request.
	Down bool
	// Unreachable names the controllers whose requests are refused (503).
	Unreachable map[string]bool
	// MaxListedEntries is the maximum number of entries in a list response. It is small so that tests
	// exercise paging.
	MaxListedEntries int
	// WriteTransactions counts the transactions that changed something.
	WriteTransactions int
	// Puts counts the values that were written.
	Puts int
	// RejectedOverLimits counts the transactions that were rejected because they exceed the limit on
	// the number of changes or on the size of a value. Before LowerLimits, such a transaction is also
	// a violation.
	RejectedOverLimits int
	// RejectPageWrites makes the service refuse every page write as over the write rate (429).
	RejectPageWrites bool
	// MinRejectedChanges is the smallest number of changes for which the service refuses a
	// transaction as over the write rate (429); 0 disables this.
	MinRejectedChanges int
	// RejectedForChanges counts the transactions refused because of MinRejectedChanges.
	RejectedForChanges int

	world         *World
	limits        config.State
	limitsLowered bool
	keys          map[string]entry
	sortedKeys    []string // cache; nil after the set of keys has changed
	leases        map[int64]lease
	revision      int64
	lastLeaseID   int64           // ID of the last lease
	recentWrites  []time.Duration // times of the changes within the last second
}

// defaultMaxListedEntries is the MaxListedEntries of a new State.
const defaultMaxListedEntries = 3

func newState(w *World, limits config.State) *State {
	return &State{
		world: w, limits: limits, keys: map[string]entry{}, leases: map[int64]lease{},
		Unreachable: map[string]bool{}, MaxListedEntries: defaultMaxListedEntries,
	}
}

// AnnounceLimits sets the limits that LowerLimits applies.
func (s *State) AnnounceLimits(next *config.StateNext) { s.limits.Next = next }

// LowerLimits applies the announced limits. Larger transactions and values are rejected (400) from
// then on.
func (s *State) LowerLimits() {
	s.limits, s.limitsLowered = s.limits.Smallest(), true
}

// SetMaxValueKB sets the maximum size of a value.
func (s *State) SetMaxValueKB(kilobytes float64) { s.limits.ValueKB = kilobytes }

// noExpiry is the expiry time of leases during an outage, when they cannot expire.
const noExpiry time.Duration = 1 << 60

// SetOutage starts or ends an outage. When the outage ends, every lease gets its full TTL again.
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

// Values returns the stored values by key.
func (s *State) Values() map[string][]byte {
	values := map[string][]byte{}
	for key, e := range s.keys {
		values[key] = e.value
	}
	return values
}

// Size returns the number of keys and the total size of their values.
func (s *State) Size() (keys, bytes int) {
	for _, e := range s.keys {
		bytes += len(e.value)
	}
	return len(s.keys), bytes
}

// WriterOf returns the controller that last wrote a key, or "" if there is no such key.
func (s *State) WriterOf(key string) string {
	s.expireLeases()
	return s.keys[key].writer
}

// Restore stores the values of another state service without leases. Each key gets a revision of its
// own, in the order of the keys.
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

// endLease removes a lease and the keys attached to it.
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
