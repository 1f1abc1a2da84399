package storage

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/rpc"
)

// splitTrial is a sequence of leaders that change items on a page that was written under
// larger limits.
type splitTrial struct {
	*fakeStateService
	limits      Limits
	limitsKnown bool // leaders know that the limits are lowered
	crashAfter  int  // this many writes the leader crashes, once

	store     *Store
	items     map[string]*countedItem
	writes    int              // committed, and the one lost with the leader
	committed map[string]int64 // changes by item's name
}

// splitTrialItems is the number of items on the large page.
const splitTrialItems = 120

// writeLargePage writes the page as a version with larger limits did.
func (r *splitTrial) writeLargePage() {
	r.t.Helper()
	old := NewStore(Limits{PageBytes(8), 8, 1000}, "old", time.Second)
	r.committed = map[string]int64{}
	for i := range splitTrialItems {
		item := newCountedItem(i)
		old.MarkDirty(0, item, nil)
		r.committed[item.name] = 0
	}
	if w := old.NextWrite(0, term, true); w == nil || r.apply(w) != rpc.OK || len(w.Txn.Then) != 1 {
		r.t.Fatalf("the old version's page: %+v", w)
	}
}

// newLeader begins a term with what is stored.
func (r *splitTrial) newLeader() {
	r.t.Helper()
	r.store, r.items = r.load(r.limits)
	if r.limitsKnown {
		r.store.SetLimitsLowered()
	}
}

// changeOneItem has the leader change an item and write what is due, and compares what is
// stored with what was committed after every write.
func (r *splitTrial) changeOneItem(step int) {
	r.t.Helper()
	now := time.Duration(step) * time.Second
	changed := r.items[slices.Sorted(maps.Keys(r.items))[step*7%splitTrialItems]]
	changed.changed++
	committed := false
	r.store.MarkDirty(now, changed, OnCommit(func() { committed = true }))
	for w := r.store.NextWrite(now, term, true); w != nil; w = r.store.NextWrite(now, term, true) {
		if r.writes == r.crashAfter {
			r.newLeader()
			r.writes++
			return
		}
		r.send(w)
		if committed {
			r.committed[changed.name] = int64(changed.changed)
		}
		r.checkCommitted()
	}
}

// send executes a write. A refusal for its size ends the term.
func (r *splitTrial) send(w *Write) {
	r.t.Helper()
	switch r.apply(w) {
	case rpc.OK:
		r.writes++
		r.store.MarkCommitted(w, r.revision)
	case rpc.Invalid:
		if r.limitsKnown {
			r.t.Fatal("refused for its size again")
		}
		r.limitsKnown = true
		r.newLeader()
	default:
		r.t.Fatal("a conflict with nobody else there")
	}
}

// checkCommitted fails unless every record is stored, none older than what was committed.
func (r *splitTrial) checkCommitted() {
	r.t.Helper()
	stored := r.terminalRecords()
	for name, least := range r.committed {
		if changes, ok := stored[name]; !ok || changes < least {
			r.t.Fatalf("%s is at %d (%t), committed was %d", name, changes, ok, least)
		}
	}
}

// A page that was written under larger limits is split, before the lower ones come or
// after. The leader crashes after every single write, and the next leader finds every
// record exactly once and none older than what was committed.
func TestOversizedPageIsSplitWithoutLosingRecords(t *testing.T) {
	for _, c := range []struct {
		name             string
		lowerAfterWrites int
		maxChanges       int
		limitsKnown      bool
	}{
		{"never lowered", 1000, 4, false},
		{"lowered first, unknown", 0, 4, false},
		{"lowered first, known", 0, 4, true},
		{"lowered half way", 1, 4, false},
		{"one change a transaction", 1000, 1, false},
		{"two changes, lowered", 0, 2, true},
	} {
		for crashAfter := range 14 {
			t.Run(fmt.Sprintf("%s, crash after %d writes", c.name, crashAfter), func(t *testing.T) {
				r := &splitTrial{
					fakeStateService: newFakeStateService(t), limits: Limits{PageBytes(2), c.maxChanges, 1000},
					limitsKnown: c.limitsKnown, crashAfter: crashAfter,
				}
				r.writeLargePage()
				r.newLeader()
				for step := range 60 {
					if r.writes == c.lowerAfterWrites {
						r.maxValueBytes, r.maxChanges = 2<<10, c.maxChanges
					}
					r.changeOneItem(step)
				}
				r.maxValueBytes = 2 << 10 // also if the limits were never lowered
				r.checkValueSizes()
			})
		}
	}
}

// Oversized pages are split ahead of the lower limits although nothing on them changes,
// and within the write budget.
func TestOversizedPagesAreSplitBeforeLimitsAreLowered(t *testing.T) {
	k := newFakeStateService(t)
	old := NewStore(Limits{PageBytes(8), 8, 1000}, "old", time.Second)
	for i := range 600 {
		old.MarkDirty(0, newCountedItem(i), nil)
	}
	for w := range writesDue(old, 0) {
		k.apply(w)
		old.MarkCommitted(w, k.revision)
	}
	s, _ := k.load(Limits{PageBytes(2), 4, 10})
	changes, splitAt := 0, time.Duration(0)
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		for w := range writesDue(s, now) {
			if k.apply(w) != rpc.OK {
				t.Fatal("not accepted")
			}
			changes += len(w.Txn.Then)
			s.MarkCommitted(w, k.revision)
		}
		if changes > 10+int(now.Seconds()*10) {
			t.Fatalf("%d changes in %v", changes, now)
		}
		if splitAt == 0 && s.OversizedPages() == 0 {
			splitAt = now
		}
	}
	if splitAt == 0 || len(k.terminalRecords()) != 600 {
		t.Errorf("%d oversized pages, %d records", s.OversizedPages(), len(k.terminalRecords()))
	}
}

// One record on a large page has grown beyond what any page may take now. The others on
// it are written all the same, and so is this one once it has shrunk.
func TestOversizedRecordDoesNotBlockOthers(t *testing.T) {
	s := NewStore(Limits{PageBytes(2), 4, 1000}, "t", retryInterval)
	k := newFakeStateService(t)
	k.maxValueBytes, k.maxChanges = 2<<10, 4
	run := func(from time.Duration) {
		for i := range 40 {
			now := from + time.Duration(i)*100*time.Millisecond
			for w := range writesDue(s, now) {
				if k.apply(w) != rpc.OK {
					t.Fatalf("refused: %d changes", len(w.Txn.Then))
				}
				s.MarkCommitted(w, k.revision)
			}
		}
	}
	large := &testItem{strings.Repeat("x", 2900), 3000}
	s.Load(0, 0, large)
	var small []*countedItem
	for i := range 20 {
		small = append(small, newCountedItem(i))
		s.Load(0, 0, small[i])
	}
	s.SetLimitsLowered()
	smallCommitted, largeCommitted := 0, false
	s.MarkDirty(0, large, OnCommit(func() { largeCommitted = true }))
	run(0)
	for _, item := range small {
		s.MarkDirty(5*time.Second, item, OnCommit(func() { smallCommitted++ }))
	}
	s.MarkDirty(5*time.Second, &countedItem{name: "another"}, OnCommit(func() { smallCommitted++ }))
	run(5 * time.Second)
	if smallCommitted != 21 || largeCommitted {
		t.Errorf("%d of 21 small records were written; the large one: %t", smallCommitted, largeCommitted)
	}
	large.name, large.size = "x", 100
	run(20 * time.Second)
	if smallCommitted != 21 || !largeCommitted {
		t.Errorf("%d of 21 small records were written; the large one, shrunk: %t", smallCommitted, largeCommitted)
	}
}
