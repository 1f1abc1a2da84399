package fake

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/election"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// Limits of the state service, relative to the configured ones.
const (
	conditionsPerChange = 4 // maximum number of conditions in a transaction, as a multiple of TxnOps
	writeBurstSeconds   = 2 // maximum burst of writes, in seconds of WriteRPS
)

// commit executes a transaction if it is within the limits and its conditions hold.
func (s *State) commit(from string, asProduction bool, txn protocol.Txn) rpc.Outcome {
	if outcome := s.admit(txn); outcome != rpc.OK {
		return outcome
	}
	for _, condition := range txn.If {
		if s.keys[condition.Key].version != condition.Version {
			return rpc.Conflict
		}
	}
	if !asProduction { // checked after the conditions, because a late duplicate that fails them does no harm
		s.checkNextLimits(from, txn)
	}
	for _, change := range txn.Then {
		if _, ok := s.leases[change.Lease]; change.Lease != 0 && !ok {
			return rpc.Invalid
		}
	}
	if len(txn.Then) > 0 {
		s.revision++
		s.WriteTransactions++
	}
	for _, change := range txn.Then {
		s.apply(change, from)
	}
	return rpc.OK
}

// admit checks a transaction against the limits on sizes and rates, and applies the rejections that
// a test has configured.
func (s *State) admit(txn protocol.Txn) rpc.Outcome {
	if excess := s.limitExcess(txn); excess != "" {
		if !s.limitsLowered {
			s.world.RecordViolation(ruleState, "%s", excess)
		}
		s.RejectedOverLimits++
		return rpc.Invalid
	}
	if len(txn.Then) > s.limits.TxnOps || len(txn.If) > conditionsPerChange*s.limits.TxnOps {
		s.world.RecordViolation(ruleState, "transaction of %d changes and %d conditions exceeds the limit", len(txn.Then), len(txn.If))
	}
	if size := sizeInJSON(txn); size > protocol.MaxBody {
		s.world.RecordViolation(ruleState, "transaction of %d bytes exceeds the limit", size)
		return rpc.Unknown // the protocol defines no response for this case
	}
	if s.RejectPageWrites && len(txn.Then) > 0 && txn.Then[0].Put != election.LeaderKey {
		return rpc.Refused
	}
	if s.MinRejectedChanges > 0 && len(txn.Then) >= s.MinRejectedChanges {
		s.RejectedForChanges++
		return rpc.Refused
	}
	if !s.withinWriteRate(len(txn.Then)) {
		return rpc.Refused
	}
	return rpc.OK
}

// withinWriteRate reports whether the write rate allows more writes, and counts them if so.
func (s *State) withinWriteRate(writes int) bool {
	s.recentWrites = slices.DeleteFunc(s.recentWrites, func(at time.Duration) bool { return s.world.Now-at >= time.Second })
	if len(s.recentWrites)+writes > int(writeBurstSeconds*s.limits.WriteRPS) {
		return false
	}
	for range writes {
		s.recentWrites = append(s.recentWrites, s.world.Now)
	}
	return true
}

func (s *State) apply(change protocol.Change, from string) {
	if change.Delete != "" {
		delete(s.keys, change.Delete)
		s.sortedKeys = nil
		return
	}
	if _, ok := s.keys[change.Put]; !ok {
		s.sortedKeys = nil
	}
	s.Puts++
	s.keys[change.Put] = entry{protocol.Encode(change.Value), s.revision, change.Lease, from}
}

// limitExcess describes how a transaction exceeds the limits, or returns "" if it does not.
func (s *State) limitExcess(txn protocol.Txn) string {
	if len(txn.Then) > s.limits.TxnOps {
		return fmt.Sprintf("transaction of %d changes exceeds the limit", len(txn.Then))
	}
	for _, change := range txn.Then {
		if size := sizeInJSON(change.Value); change.Delete == "" && size > bytesIn(s.limits.ValueKB) {
			return fmt.Sprintf("value of %d bytes exceeds the limit", size)
		}
	}
	return ""
}

// checkNextLimits checks that a controller respects announced lower limits before they apply. A
// value may exceed the announced size only if the stored value of its key is at least as large, as
// when items are removed from a page.
func (s *State) checkNextLimits(from string, txn protocol.Txn) {
	next := s.limits.Smallest()
	for _, change := range txn.Then {
		size := sizeInJSON(change.Value)
		if change.Delete == "" && size > bytesIn(next.ValueKB) && size > s.storedSize(change.Put) {
			s.world.RecordViolation(ruleState, "%s writes a value of %d bytes, which exceeds the announced limit", from, size)
		}
	}
	if len(txn.Then) > next.TxnOps {
		s.world.RecordViolation(ruleState, "%s sends a transaction of %d changes, which exceeds the announced limit", from, len(txn.Then))
	}
}

// storedSize returns the size of a key's stored value, or 0 if there is none.
func (s *State) storedSize(key string) int {
	e, ok := s.keys[key]
	if !ok {
		return 0
	}
	return sizeInJSON(msgpack.RawMessage(e.value))
}

func bytesIn(kilobytes float64) int { return int(kilobytes * 1024) }

// sizeInJSON returns a value's size as the limits count it: its wire form, encoded as JSON.
func sizeInJSON(v any) int {
	var wire any
	if err := protocol.Decode(protocol.Encode(v), &wire); err != nil {
		panic(err) // cannot happen: the value was just encoded
	}
	text, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	return len(text)
}
