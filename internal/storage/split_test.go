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
	limitsKnown bool // leaders know that the limits are lowered
	crashAfter  int  // this many writes the leader crashes, once

	store     *Store
	items     map[string]*countedItem
	writes    int              // committed, and the one lost with the leader
	committed map[string]int64 // changes by item's name
}

// splitScenarioItems is the number of items on the large page.
const splitScenarioItems = 120

// writeLargePage writes the page as a version with larger limits did.
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
		scenario.t.Fatalf("the old version's page: %+v", w)
	}
}

// newLeader begins a term with what is stored.
func (scenario *splitScenario) newLeader() {
	scenario.t.Helper()
	scenario.store, scenario.items = scenario.load(scenario.limits)
	if scenario.limitsKnown {
		scenario.store.SetLimitsLowered()
	}
}

// changeOneItem has the leader change an item and write what is due, and compares what is
// stored with what was committed after every write.
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

// send executes a write. A refusal for its size ends the term.
func (scenario *splitScenario) send(w *Write) {
	scenario.t.Helper()
	switch scenario.apply(w) {
	case rpc.OK:
		scenario.writes++
		scenario.store.MarkCommitted(w, scenario.revision)
	case rpc.Invalid:
		if scenario.limitsKnown {
			scenario.t.Fatal("refused for its size again")
		}
		scenario.limitsKnown = true
		scenario.newLeader()
	default:
		scenario.t.Fatal("a conflict with nobody else there")
	}
}

// checkCommitted fails unless every record is stored, none older than what was committed.
func (scenario *splitScenario) checkCommitted() {
	scenario.t.Helper()
	stored := scenario.terminalRecords()
	for name, least := range scenario.committed {
		if changes, ok := stored[name]; !ok || changes < least {
			scenario.t.Fatalf("%s is at %d (%t), committed was %d", name, changes, ok, least)
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
				trial := &splitScenario{
					fakeStateService: newFakeStateService(t), limits: Limits{PageBytes(2), c.maxChanges, 1000},
					limitsKnown: c.limitsKnown, crashAfter: crashAfter,
				}
				trial.writeLargePage()
				trial.newLeader()
				for step := range 60 {
					if trial.writes == c.lowerAfterWrites {
						trial.maxValueBytes, trial.maxChanges = 2<<10, c.maxChanges
					}
					trial.changeOneItem(step)
				}
				trial.maxValueBytes = 2 << 10 // also if the limits were never lowered
				trial.checkValueSizes()
			})
		}
	}
}

// Oversized pages are split ahead of the lower limits although nothing on them changes,
// and within the write budget.
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
				t.Fatal("not accepted")
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

// One record on a large page has grown beyond what any page may take now. The others on
// it are written all the same, and so is this one once it has shrunk.
func TestOversizedRecordDoesNotBlockOthers(t *testing.T) {
	for name, position := range map[string]int{"first on its page": 0, "last on its page": 20} {
		t.Run(name, func(t *testing.T) { checkOversizedRecord(t, position) })
	}
}

// checkOversizedRecord loads a page of 20 small records and an oversized one at the given
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
		t.Errorf("%d of 21 small records were written; the large one: %t", smallCommitted, largeCommitted)
	}
	large.name, large.size = "x", 100
	run(20 * time.Second)
	if smallCommitted != 21 || !largeCommitted {
		t.Errorf("%d of 21 small records were written; the large one, shrunk: %t", smallCommitted, largeCommitted)
	}
}
