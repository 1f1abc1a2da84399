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

// splitScenario is a sequence of leaders that change items on a page that was written under
// larger limits.
type splitScenario struct {
	*fakeStateService
	limits      Limits
	limitsKnown bool // leaders know that the lower limits are in force
	crashAfter  int  // number of writes after which the leader crashes once

	store     *Store
	items     map[string]*countedItem
	writes    int              // committed writes, and the write lost in the crash
	committed map[string]int64 // committed number of changes by item name
}

// splitScenarioItems is the number of items on the large page.
const splitScenarioItems = 120

// writeLargePage writes the page as a version with larger limits does.
func (scenario *splitScenario) writeLargePage() {
	scenario.t.Helper()
	old := NewStore(Limits{PageBytes(8), 8, 1000}, "old", time.Second)
	scenario.committed = map[string]int64{}
	for i := range splitScenarioItems {
		item := newCountedItem(i)
		old.MarkDirty(0, item, nil)
		scenario.committed[item.name] = 0
	}
	if w := old.NextWrite(0, term, true); w == nil || scenario.apply(w) != rpc.OK || len(w.Txn.Then) != 1 {
		scenario.t.Fatalf("the page was not written under the larger limits: %+v", w)
	}
}

// newLeader begins a term with the stored pages.
func (scenario *splitScenario) newLeader() {
	scenario.t.Helper()
	scenario.store, scenario.items = scenario.load(scenario.limits)
	if scenario.limitsKnown {
		scenario.store.SetLimitsLowered()
	}
}

// changeOneItem has the leader change an item and send all due writes. After each write it
// compares the stored records with the committed ones.
func (scenario *splitScenario) changeOneItem(step int) {
	scenario.t.Helper()
	now := time.Duration(step) * time.Second
	changed := scenario.items[slices.Sorted(maps.Keys(scenario.items))[step*7%splitScenarioItems]]
	changed.changed++
	committed := false
	scenario.store.MarkDirty(now, changed, OnCommit(func() { committed = true }))
	for w := scenario.store.NextWrite(now, term, true); w != nil; w = scenario.store.NextWrite(now, term, true) {
		if scenario.writes == scenario.crashAfter {
			scenario.newLeader()
			scenario.writes++
			return
		}
		scenario.send(w)
		if committed {
			scenario.committed[changed.name] = int64(changed.changed)
		}
		scenario.checkCommitted()
	}
}

// send executes a write. If it is refused because of its size, a new term begins.
func (scenario *splitScenario) send(w *Write) {
	scenario.t.Helper()
	switch scenario.apply(w) {
	case rpc.OK:
		scenario.writes++
		scenario.store.MarkCommitted(w, scenario.revision)
	case rpc.Invalid:
		if scenario.limitsKnown {
			scenario.t.Fatal("a write was refused because of its size although the limits are known")
		}
		scenario.limitsKnown = true
		scenario.newLeader()
	default:
		scenario.t.Fatal("conflict without another writer")
	}
}

// checkCommitted fails unless every record is stored and none is older than its committed version.
func (scenario *splitScenario) checkCommitted() {
	scenario.t.Helper()
	stored := scenario.terminalRecords()
	for name, least := range scenario.committed {
		if changes, ok := stored[name]; !ok || changes < least {
			scenario.t.Fatalf("%s has %d changes (found: %t), want at least %d", name, changes, ok, least)
		}
	}
}

// A page that was written under larger limits is split before or after lower limits come into
// force. The leader crashes after each possible number of writes, and the next leader must
// find every record exactly once and none older than its committed version.
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
		{"one change per transaction", 1000, 1, false},
		{"two changes, lowered", 0, 2, true},
	} {
		for crashAfter := range 14 {
			t.Run(fmt.Sprintf("%s, crash after %d writes", c.name, crashAfter), func(t *testing.T) {
				scenario := &splitScenario{
					fakeStateService: newFakeStateService(t), limits: Limits{PageBytes(2), c.maxChanges, 1000},
					limitsKnown: c.limitsKnown, crashAfter: crashAfter,
				}
				scenario.writeLargePage()
				scenario.newLeader()
				for step := range 60 {
					if scenario.writes == c.lowerAfterWrites {
						scenario.maxValueBytes, scenario.maxChanges = 2<<10, c.maxChanges
					}
					scenario.changeOneItem(step)
				}
				scenario.maxValueBytes = 2 << 10 // checked against the lower limit even if it never came into force
				scenario.checkValueSizes()
			})
		}
	}
}

// Oversized pages are split before lower limits come into force, even if none of their items
// changes, and within the write budget.
func TestOversizedPagesAreSplitBeforeLimitsAreLowered(t *testing.T) {
	state := newFakeStateService(t)
	old := NewStore(Limits{PageBytes(8), 8, 1000}, "old", time.Second)
	for i := range 600 {
		old.MarkDirty(0, newCountedItem(i), nil)
	}
	for w := range writesDue(old, 0) {
		state.apply(w)
		old.MarkCommitted(w, state.revision)
	}
	s, _ := state.load(Limits{PageBytes(2), 4, 10})
	changes, splitAt := 0, time.Duration(0)
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		for w := range writesDue(s, now) {
			if state.apply(w) != rpc.OK {
				t.Fatal("a write was refused")
			}
			changes += len(w.Txn.Then)
			s.MarkCommitted(w, state.revision)
		}
		if changes > 10+int(now.Seconds()*10) {
			t.Fatalf("%d changes in %v", changes, now)
		}
		if splitAt == 0 && s.OversizedPages() == 0 {
			splitAt = now
		}
	}
	if splitAt == 0 || len(state.terminalRecords()) != 600 {
		t.Errorf("%d oversized pages, %d records", s.OversizedPages(), len(state.terminalRecords()))
	}
}

// A record on an oversized page exceeds the current page size. The other records on the page
// are still written, and the large record is written once it has shrunk.
func TestOversizedRecordDoesNotBlockOthers(t *testing.T) {
	for name, position := range map[string]int{"first on its page": 0, "last on its page": 20} {
		t.Run(name, func(t *testing.T) { checkOversizedRecord(t, position) })
	}
}

// checkOversizedRecord loads a page with 20 small records and an oversized one at the given
// position, and changes all of them.
func checkOversizedRecord(t *testing.T, position int) {
	t.Helper()
	s := NewStore(Limits{PageBytes(2), 4, 1000}, "t", retryInterval)
	state := newFakeStateService(t)
	state.maxValueBytes, state.maxChanges = 2<<10, 4
	run := func(from time.Duration) {
		for i := range 40 {
			for w := range writesDue(s, from+time.Duration(i)*100*time.Millisecond) {
				if state.apply(w) != rpc.OK {
					t.Fatalf("refused: %d changes", len(w.Txn.Then))
				}
				s.MarkCommitted(w, state.revision)
			}
		}
	}
	large := &testItem{strings.Repeat("x", 2900), 3000}
	var small []Item
	for i := range 20 {
		small = append(small, newCountedItem(i))
	}
	s.Load(0, 0, slices.Insert(slices.Clone(small), position, Item(large))...)
	s.SetLimitsLowered()
	smallCommitted, largeCommitted := 0, false
	s.MarkDirty(0, large, OnCommit(func() { largeCommitted = true }))
	run(0)
	for _, item := range append(small, &countedItem{name: "another"}) {
		s.MarkDirty(5*time.Second, item, OnCommit(func() { smallCommitted++ }))
	}
	run(5 * time.Second)
	if smallCommitted != 21 || largeCommitted {
		t.Errorf("%d of 21 small records were written; large record written: %t", smallCommitted, largeCommitted)
	}
	large.name, large.size = "x", 100
	run(20 * time.Second)
	if smallCommitted != 21 || !largeCommitted {
		t.Errorf("%d of 21 small records were written; large record written after it shrank: %t", smallCommitted, largeCommitted)
	}
}
