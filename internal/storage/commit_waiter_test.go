package storage

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A change is acknowledged only after its write is committed. Changes made while the page is in
// flight go into the next write.
func TestWaitersRunOnlyOnCommit(t *testing.T) {
	s := newStore()
	var acknowledged []string
	acknowledge := func(name string) *CommitWaiter {
		return OnCommit(func() { acknowledged = append(acknowledged, name) })
	}
	x, y := &testItem{"x", 50}, &testItem{"y", 50}
	s.MarkDirty(0, x, acknowledge("x"))
	first := s.NextWrite(0, term, true)
	if first == nil || len(first.Txn.Then) != 1 || first.Txn.If[0] != term {
		t.Fatalf("got %+v", first)
	}
	s.MarkDirty(0, x, acknowledge("x again"))
	if s.NextWrite(0, term, true) != nil {
		t.Fatal("one page in two writes at once")
	}
	s.MarkDirty(0, y, acknowledge("y")) // on another page, so it doesn't have to wait
	second := s.NextWrite(0, term, true)
	if second == nil || second.CommitCheckKey() == first.CommitCheckKey() {
		t.Fatalf("got %+v", second)
	}
	if len(acknowledged) != 0 {
		t.Fatalf("%v acknowledged before the commit", acknowledged)
	}
	s.MarkCommitted(second, 8)
	s.MarkCommitted(first, 9)
	if want := []string{"y", "x"}; !slices.Equal(acknowledged, want) {
		t.Fatalf("acknowledged %v, want %v", acknowledged, want)
	}
	third := s.NextWrite(0, term, true)
	if third == nil || third.Txn.If[1].Version != 9 || len(third.Txn.Then) != 1 {
		t.Fatalf("got %+v", third)
	}
}

func TestWaiterRunsOnceAllItsPagesAreCommitted(t *testing.T) {
	s := newStore()
	runs := 0
	waiter := OnCommit(func() { runs++ })
	for _, name := range []string{"x", "y", "z"} { // three pages, two changes per transaction
		s.MarkDirty(0, &testItem{name, 800}, waiter)
	}
	for i := range 3 {
		if w := s.NextWrite(time.Duration(i)*time.Second, term, true); w != nil {
			s.MarkCommitted(w, int64(i+1))
		}
		if i == 0 && runs != 0 {
			t.Fatal("ran after the first of two writes")
		}
	}
	if runs != 1 {
		t.Fatalf("ran %d times", runs)
	}
}

// Pages that a user's response waits for are written before pages of task starts, then deferred
// pages, then background pages such as terminal records of cancelled jobs, even if those have
// been dirty for longer. The delay of each priority is limited, so no page is starved.
func TestPagesAreWrittenByPriority(t *testing.T) {
	s := NewStore(Limits{PageBytes(1), 1, 1}, "t", retryInterval) // one key per second
	s.MarkDirty(0, &testItem{"first", 800}, nil)
	first := s.NextWrite(0, term, true)
	if first == nil {
		t.Fatal("nothing to write")
	}
	s.MarkCommitted(first, 1)
	var order []string
	note := func(name string) func() { return func() { order = append(order, name) } }
	s.MarkDirty(100*time.Millisecond, &testItem{"background", 800}, OnBackgroundCommit(note("background")))
	s.MarkDirty(100*time.Millisecond, &testItem{"deferred", 800}, OnDeferredCommit(note("deferred")))
	s.MarkDirty(100*time.Millisecond, &testItem{"start", 800}, OnStartCommit(note("start")))
	for i := range 4 {
		now := 200*time.Millisecond + time.Duration(i)*300*time.Millisecond
		s.MarkDirty(now, &testItem{fmt.Sprint("user", i), 800}, OnCommit(note(fmt.Sprint("user", i))))
	}
	for i := range 4 { // dirty much later, so the background page is written before them
		s.MarkDirty(11*time.Second, &testItem{fmt.Sprint("late", i), 800}, OnCommit(note(fmt.Sprint("late", i))))
	}
	for now := time.Second; now < 20*time.Second; now += 50 * time.Millisecond {
		if w := s.NextWrite(now, term, true); w != nil {
			s.MarkCommitted(w, int64(now))
		}
	}
	want := []string{"user0", "user1", "start", "user2", "deferred", "user3", "background", "late0", "late1", "late2", "late3"}
	if !slices.Equal(order, want) {
		t.Errorf("written in the order %v, want %v", order, want)
	}
}
