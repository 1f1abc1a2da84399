package storage

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// fakeStateService is a state service's content, as far as pages go.
type fakeStateService struct {
	t       *testing.T
	values  map[string][]byte
	version map[string]int64
	next    int64
	limit   int // of a value
	changes int // of a transaction
}

// apply carries a transaction out, if its conditions hold and it is within the limits.
func (k *fakeStateService) apply(w *Write) rpc.Outcome {
	for _, c := range w.Txn.Then {
		if sizeInJSON(k.t, c.Value) > k.limit || len(w.Txn.Then) > k.changes {
			return rpc.Invalid
		}
	}
	for _, c := range w.Txn.If {
		if c.Key != term.Key && k.version[c.Key] != c.Version {
			return rpc.Conflict
		}
	}
	k.next++
	for _, c := range w.Txn.Then {
		k.values[c.Put], k.version[c.Put] = protocol.Encode(c.Value), k.next
	}
	return rpc.OK
}

func (k *fakeStateService) entries() []protocol.Entry {
	var out []protocol.Entry
	for _, key := range slices.Sorted(maps.Keys(k.values)) {
		out = append(out, protocol.Entry{Key: key, Value: k.values[key], Version: k.version[key]})
	}
	return out
}

// terminalRecords reads what a new leader finds, and fails if a record is there twice.
func (k *fakeStateService) terminalRecords() map[string]int64 {
	pages, err := ReadPages(k.entries())
	if err != nil {
		k.t.Fatal(err)
	}
	out := map[string]int64{}
	for _, p := range pages {
		for _, f := range p.Value.Terminal {
			if _, ok := out[f.ID]; ok {
				k.t.Fatalf("%s is on two pages, and both count", f.ID)
			}
			out[f.ID] = int64(f.Tasks)
		}
	}
	return out
}

// countedItem is an item whose records say how often it was changed.
type countedItem struct {
	name    string
	changed int
}

const recordBytes = 60

func (r *countedItem) AppendTo(v *PageValue) {
	v.Terminal = append(v.Terminal, TerminalRecord{ID: r.name, Tasks: r.changed})
}
func (r *countedItem) EncodedSize() int  { return recordBytes }
func (r *countedItem) ReservedSize() int { return recordBytes }

// load makes a store of what is stored, as a new leader does.
func (k *fakeStateService) load(limits Limits, records map[string]*countedItem) *Store {
	s := NewStore(limits, fmt.Sprint("t", k.next), 100*time.Millisecond)
	pages, err := ReadPages(k.entries())
	if err != nil {
		k.t.Fatal(err)
	}
	for _, p := range pages {
		s.Load(p.Number, p.Version)
		if p.Stale {
			s.LoadStalePage(0, p.Number)
		}
		for _, f := range p.Value.Terminal {
			records[f.ID] = &countedItem{f.ID, f.Tasks}
			s.Load(p.Number, p.Version, records[f.ID])
		}
	}
	return s
}
