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

// A transaction may have so many times as many conditions as changes, and the service takes a
// burst of so many seconds' writes.
const (
	conditionsPerChange = 4
	writeBurstSeconds   = 2
)

// commit executes a transaction if the limits and its conditions allow it.
func (s *State) commit(from string, asProduction bool, txn protocol.Txn) rpc.Outcome {
	if outcome := s.admit(txn); outcome != rpc.OK {
		return outcome
	}
	for _, condition := range txn.If {
		if s.keys[condition.Key].version != condition.Version {
			return rpc.Conflict
		}
	}
	if !asProduction { // a late copy that its conditions refuse does no harm
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

// admit checks a transaction against the limits on sizes and rates.
func (s *State) admit(txn protocol.Txn) rpc.Outcome {
	if excess := s.limitExcess(txn); excess != "" {
		if !s.limitsLowered {
			s.world.RecordViolation(ruleState, "%s", excess)
		}
		s.RejectedForSize++
		return rpc.Invalid
	}
	if len(txn.Then) > s.limits.TxnOps || len(txn.If) > conditionsPerChange*s.limits.TxnOps {
		s.world.RecordViolation(ruleState, "a transaction of %d changes and %d conditions", len(txn.Then), len(txn.If))
	}
	if size := sizeInJSON(txn); size > protocol.MaxBody {
		s.world.RecordViolation(ruleState, "a transaction of %d bytes", size)
		return rpc.Unknown // an answer that the protocol doesn't list
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

// withinWriteRate counts writes if their rate allows them.
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

// limitExcess says what of a transaction is over the limits; "": nothing.
func (s *State) limitExcess(txn protocol.Txn) string {
	if len(txn.Then) > s.limits.TxnOps {
		return fmt.Sprintf("a transaction of %d changes", len(txn.Then))
	}
	for _, change := range txn.Then {
		if size := sizeInJSON(change.Value); change.Delete == "" && size > bytesIn(s.limits.ValueKB) {
			return fmt.Sprintf("a value of %d bytes", size)
		}
	}
	return ""
}

// checkNextLimits checks that a controller that knows of lower limits to come keeps to
// them: only the rest of a value that was stored before may still be larger, and no larger
// than it was.
func (s *State) checkNextLimits(from string, txn protocol.Txn) {
	next := s.limits.Smallest()
	for _, change := range txn.Then {
		size := sizeInJSON(change.Value)
		if change.Delete == "" && size > bytesIn(next.ValueKB) && size > s.storedSize(change.Put) {
			s.world.RecordViolation(ruleState, "%s writes a value of %d bytes, above the limits to come", from, size)
		}
	}
	if len(txn.Then) > next.TxnOps {
		s.world.RecordViolation(ruleState, "%s makes %d changes at once, above the limits to come", from, len(txn.Then))
	}
}

// storedSize is the size of what is stored under a key; 0: nothing.
func (s *State) storedSize(key string) int {
	e, ok := s.keys[key]
	if !ok {
		return 0
	}
	return sizeInJSON(msgpack.RawMessage(e.value))
}

func bytesIn(kilobytes float64) int { return int(kilobytes * 1024) }

// sizeInJSON is how limits count: what is on the wire, written as JSON.
func sizeInJSON(v any) int {
	var wire any
	if err := protocol.Decode(protocol.Encode(v), &wire); err != nil {
		panic(err) // it has just been encoded
	}
	text, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	return len(text)
}
