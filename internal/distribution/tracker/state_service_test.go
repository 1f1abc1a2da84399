package tracker

import (
	"oakpick/internal/election"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// fakeStateService is an in-memory state service with the keys of the names and the leader key.
type fakeStateService struct {
	entries     map[string]protocol.Entry
	revision    int64
	writeCounts map[string]int // how often each write was applied, by write ID
}

func newFakeStateService() *fakeStateService {
	return &fakeStateService{entries: map[string]protocol.Entry{}, writeCounts: map[string]int{}}
}

// advanceToken writes the leader key and returns its version, which is the new fencing token.
func (s *fakeStateService) advanceToken() int64 {
	s.revision++
	s.entries[election.LeaderKey] = protocol.Entry{Key: election.LeaderKey, Version: s.revision}
	return s.revision
}

// execute applies a call and returns its result.
func (s *fakeStateService) execute(call storage.StateCall) storage.StateResult {
	result := storage.StateResult{ID: call.ID}
	switch call.Op {
	case storage.StateList:
		for key, entry := range s.entries {
			if key > NamesPrefix && key < NamesPrefix+"~" {
				result.List.Entries = append(result.List.Entries, entry)
			}
		}
	case storage.StateGet:
		entry, found := s.entries[call.Key]
		if !found {
			result.Outcome = rpc.NotFound
		}
		result.Entry = entry
	case storage.StateTxn:
		s.executeTxn(call.Txn, &result)
	}
	return result
}

// executeTxn applies the changes of a transaction if all of its conditions hold.
func (s *fakeStateService) executeTxn(txn protocol.Txn, result *storage.StateResult) {
	for _, condition := range txn.If {
		if s.entries[condition.Key].Version != condition.Version {
			result.Outcome = rpc.Conflict
			return
		}
	}
	s.revision++
	for _, change := range txn.Then {
		s.entries[change.Put] = protocol.Entry{Key: change.Put, Value: protocol.Encode(change.Value), Version: s.revision}
		s.writeCounts[change.Value.(storedName).WriteID]++
	}
	result.Revision = s.revision
}
