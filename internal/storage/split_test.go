package storage

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// A page that was written under larger limits is divided, before the lower ones come
// or after. The leader ends after every single write, and its successor finds every
// record exactly once and none older than what was committed.
func TestOversizedPageIsSplitWithoutLosingRecords(t *testing.T) {
	const count = 120
	for _, c := range []struct {
		name        string
		before      int // writes before the limits are lowered
		changes     int
		knowsLimits bool
	}{{"never lowered", 1000, 4, false}, {"lowered first, unknown", 0, 4, false}, {"lowered first, known", 0, 4, true},
		{"lowered half way", 1, 4, false}, {"one change a transaction", 1000, 1, false}, {"two changes, lowered", 0, 2, true}} {
		for ends := range 14 { // after so many writes
			k := &fakeStateService{t: t, values: map[string][]byte{}, version: map[string]int64{}, limit: 8 << 10, changes: 8}
			old := NewStore(Limits{PageBytes(8), 8, 1000}, "old", time.Second)
			want := map[string]int64{}
			for i := range count {
				r := &countedItem{name: fmt.Sprintf("wk-%06d%s", i, strings.Repeat("0", 20))}
				old.MarkDirty(0, r, nil)
				want[r.name] = 0
			}
			if w := old.NextWrite(0, term, true); w == nil || k.apply(w) != rpc.OK || len(w.Txn.Then) != 1 {
				t.Fatalf("%s: the old version's page: %+v", c.name, w)
			}
			limits := Limits{PageBytes(2), c.changes, 1000}
			records := map[string]*countedItem{}
			s := k.load(limits, records)
			known := c.knowsLimits
			if known {
				s.SetLimitsLowered()
			}
			written := 0
			for i := range 60 {
				now := time.Duration(i) * time.Second
				if written == c.before {
					k.limit, k.changes = 2<<10, max(1, c.changes)
				}
				changed := records[slices.Sorted(maps.Keys(records))[i*7%count]]
				changed.changed++
				committed := false
				s.MarkDirty(now, changed, OnCommit(func() { committed = true }))
				for w := s.NextWrite(now, term, true); w != nil; w = s.NextWrite(now, term, true) {
					if written == ends { // the leader ends, and the next one reads
						records = map[string]*countedItem{}
						s = k.load(limits, records)
						if known {
							s.SetLimitsLowered()
						}
						written++
						break
					}
					switch k.apply(w) {
					case rpc.OK:
						written++
						s.MarkCommitted(w, k.next)
					case rpc.Invalid:
						if known {
							t.Fatalf("%s: refused for its size again", c.name)
						}
						known = true
						records = map[string]*countedItem{}
						s = k.load(limits, records) // a new term
						s.SetLimitsLowered()
					default:
						t.Fatalf("%s: a conflict with nobody else there", c.name)
					}
					if committed {
						want[changed.name] = int64(changed.changed)
					}
					got := k.terminalRecords()
					for name, least := range want {
						if is, ok := got[name]; !ok || is < least {
							t.Fatalf("%s, ends after %d: %s is at %d (%t), committed was %d", c.name, ends, name, is, ok, least)
						}
					}
				}
			}
			for key, value := range k.values {
				var v any
				if err := protocol.Decode(value, &v); err != nil {
					t.Fatal(err)
				}
				if n := sizeInJSON(t, v); n > 2<<10 {
					t.Errorf("%s, ends after %d: %s still takes %d bytes", c.name, ends, key, n)
				}
			}
		}
	}
}

// Large pages are divided ahead of the lower limits although nothing on them changes,
// the one that was written longest ago first, and within the write budget.
func TestOversizedPagesAreSplitBeforeLimitsAreLowered(t *testing.T) {
	k := &fakeStateService{t: t, values: map[string][]byte{}, version: map[string]int64{}, limit: 8 << 10, changes: 8}
	old := NewStore(Limits{PageBytes(8), 8, 1000}, "old", time.Second)
	for i := range 600 {
		old.MarkDirty(0, &countedItem{name: fmt.Sprintf("wk-%06d%s", i, strings.Repeat("0", 20))}, nil)
	}
	for w := old.NextWrite(0, term, true); w != nil; w = old.NextWrite(0, term, true) {
		k.apply(w)
		old.MarkCommitted(w, k.next)
	}
	s := k.load(Limits{PageBytes(2), 4, 10}, map[string]*countedItem{})
	changes, done := 0, time.Duration(0)
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		for w := s.NextWrite(now, term, true); w != nil; w = s.NextWrite(now, term, true) {
			if k.apply(w) != rpc.OK {
				t.Fatal("not taken")
			}
			changes += len(w.Txn.Then)
			s.MarkCommitted(w, k.next)
		}
		if changes > 10+int(now.Seconds()*10) {
			t.Fatalf("%d changes in %v", changes, now)
		}
		if done == 0 && s.OversizedPages() == 0 {
			done = now
		}
	}
	if done == 0 || len(k.terminalRecords()) != 600 {
		t.Errorf("%d pages are left, %d records", s.OversizedPages(), len(k.terminalRecords()))
	}
}

// One record on a large page has grown beyond what any page may take now. The others on
// it are written all the same, and so is this one once it has shrunk.
func TestOversizedRecordDoesNotBlockOthers(t *testing.T) {
	s := NewStore(Limits{PageBytes(2), 4, 1000}, "t", 100*time.Millisecond)
	k := &fakeStateService{t: t, values: map[string][]byte{}, version: map[string]int64{}, limit: 2 << 10, changes: 4}
	large := &testItem{strings.Repeat("x", 2900), 3000}
	s.Load(0, 0, large)
	var small []*countedItem
	for i := range 20 {
		small = append(small, &countedItem{name: fmt.Sprintf("wk-%06d%s", i, strings.Repeat("0", 20))})
		s.Load(0, 0, small[i])
	}
	s.SetLimitsLowered()
	committed := 0
	run := func(from time.Duration) {
		for i := range 40 {
			now := from + time.Duration(i)*100*time.Millisecond
			for w := s.NextWrite(now, term, true); w != nil; w = s.NextWrite(now, term, true) {
				if k.apply(w) != rpc.OK {
					t.Fatalf("refused: %d changes", len(w.Txn.Then))
				}
				s.MarkCommitted(w, k.next)
			}
		}
	}
	s.MarkDirty(0, large, OnCommit(func() { committed += 100 }))
	run(0)
	for _, r := range small {
		s.MarkDirty(5*time.Second, r, OnCommit(func() { committed++ }))
	}
	s.MarkDirty(5*time.Second, &countedItem{name: "another"}, OnCommit(func() { committed++ }))
	run(5 * time.Second)
	if committed != 21 {
		t.Errorf("%d of 21 small records were written", committed)
	}
	large.name, large.size = "x", 100
	run(20 * time.Second)
	if committed != 121 {
		t.Errorf("the large record was not written when it had shrunk: %d", committed)
	}
}
