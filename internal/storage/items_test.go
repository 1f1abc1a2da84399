package storage

import (
	"fmt"
	"strings"
	"time"

	"oakpick/internal/protocol"
)

// term is the condition on the leader's key.
var term = protocol.Condition{Key: "leader", Version: 7}

// testItem is an item of any size.
type testItem struct {
	name string
	size int
}

func (x *testItem) AppendTo(v *PageValue) {
	v.Terminal = append(v.Terminal, TerminalRecord{ID: x.name})
}
func (x *testItem) EncodedSize() int  { return x.size }
func (x *testItem) ReservedSize() int { return x.size }

// countedItem is an item whose record stores how often it was changed.
type countedItem struct {
	name    string
	changed int
}

const countedItemBytes = 60

// newCountedItem returns the item with the given number. Its name has 29 bytes.
func newCountedItem(number int) *countedItem {
	return &countedItem{name: fmt.Sprintf("wk-%06d%s", number, strings.Repeat("0", 20))}
}

func (r *countedItem) AppendTo(v *PageValue) {
	v.Terminal = append(v.Terminal, TerminalRecord{ID: r.name, Tasks: r.changed})
}
func (*countedItem) EncodedSize() int  { return countedItemBytes }
func (*countedItem) ReservedSize() int { return countedItemBytes }

const retryInterval = 100 * time.Millisecond

// newStore returns a store with pages of 1 KiB, two changes per transaction and ten keys per second.
func newStore() *Store { return NewStore(Limits{PageBytes(1), 2, 10}, "t", retryInterval) }

// writesDue yields the transactions to send now, in the order in which a leader sends them.
func writesDue(s *Store, now time.Duration) func(yield func(*Write) bool) {
	return func(yield func(*Write) bool) {
		for w := s.NextWrite(now, term, true); w != nil; w = s.NextWrite(now, term, true) {
			if !yield(w) {
				return
			}
		}
	}
}
