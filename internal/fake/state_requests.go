package fake

import (
	"maps"
	"slices"
	"strings"
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// minLeaseTTL is the shortest TTL that a controller should request; a shorter one is a violation.
const minLeaseTTL = 100 * time.Millisecond

// Execute executes a request at once. Its sender is unknown, so that Unreachable does not apply.
func (s *State) Execute(call storage.StateCall) storage.StateResult {
	return s.execute("", false, call)
}

// execute executes a request of a controller. asProduction reports whether the controller runs as
// the version in production.
func (s *State) execute(from string, asProduction bool, call storage.StateCall) storage.StateResult {
	result := storage.StateResult{ID: call.ID}
	if s.Down || s.Unreachable[from] {
		result.Outcome = rpc.Refused
		return result
	}
	s.expireLeases()
	switch call.Op {
	case storage.StateGrantLease:
		result.Revision = s.grantLease(call.TTL)
	case storage.StateRenewLease:
		result.Outcome = s.renewLease(call.Lease)
	case storage.StateRevokeLease:
		s.revokeLease(call.Lease)
	case storage.StateGet:
		result.Entry, result.Outcome = s.get(call.Key)
	case storage.StateList:
		result.List.Entries, result.List.More = s.list(call.Key, call.StartAfter, call.Limit)
		result.List.Revision = s.revision
	case storage.StateTxn:
		result.Outcome = s.commit(from, asProduction, call.Txn)
		if result.Outcome == rpc.OK {
			result.Revision = s.revision
		}
	}
	return result
}

func (s *State) grantLease(ttl time.Duration) (id int64) {
	if ttl < minLeaseTTL {
		s.world.RecordViolation(ruleState, "lease TTL of %v is too short", ttl)
	}
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = lease{ttl, s.world.Now + ttl}
	return s.lastLeaseID
}

func (s *State) renewLease(id int64) rpc.Outcome {
	l, ok := s.leases[id]
	if !ok {
		return rpc.NotFound
	}
	l.expiresAt = s.world.Now + l.ttl
	s.leases[id] = l
	return rpc.OK
}

func (s *State) revokeLease(id int64) {
	if l, ok := s.leases[id]; ok {
		l.expiresAt = s.world.Now
		s.leases[id] = l
		s.expireLeases()
	}
}

func (s *State) get(key string) (protocol.Entry, rpc.Outcome) {
	e, ok := s.keys[key]
	if !ok {
		return protocol.Entry{}, rpc.NotFound
	}
	return protocol.Entry{Key: key, Value: e.value, Version: e.version, Lease: e.lease}, rpc.OK
}

// maxListBytes is the maximum size of the keys and values in a list response. A single larger entry
// is still returned.
const maxListBytes = 512 << 10

// list returns the entries after startAfter whose keys have the prefix, and whether there are more.
func (s *State) list(prefix, startAfter string, limit int) (entries []protocol.Entry, more bool) {
	if s.sortedKeys == nil {
		s.sortedKeys = slices.Sorted(maps.Keys(s.keys))
	}
	first, _ := slices.BinarySearch(s.sortedKeys, max(prefix, startAfter))
	if limit == 0 || limit > s.MaxListedEntries {
		limit = s.MaxListedEntries
	}
	size := 0
	for _, key := range s.sortedKeys[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key == startAfter {
			continue
		}
		e := s.keys[key]
		size += len(key) + len(e.value)
		if len(entries) == limit || size > maxListBytes && len(entries) > 0 {
			return entries, true
		}
		entries = append(entries, protocol.Entry{Key: key, Value: e.value, Version: e.version})
	}
	return entries, false
}
