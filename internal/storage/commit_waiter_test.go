package storage

import (
	"fmt"
	"testing"
	"time"
)

// Nothing is acknowledged before the write that carries it is committed, and
// what comes meanwhile goes into the next one.
func TestWaitersRunOnlyOnCommit(t *testing.T) {
	b := newStore()
	var done []string
	note := func(s string) *CommitWaiter { return OnCommit(func() { done = append(done, s) }) }
	x, y := &testItem{"x", 50}, &testItem{"y", 50}
	b.MarkDirty(0, x, note("x"))
	f := b.NextWrite(0, term, true)
	if f == nil || len(f.Txn.Then) != 1 || f.Txn.If[0] != term {
		t.Fatalf("got %+v", f)
	}
	b.MarkDirty(0, x, note("x again"))
	if b.NextWrite(0, term, true) != nil {
		t.Fatal("one page in two writes at once")
	}
	b.MarkDirty(0, y, note("y")) // on a page of its own, so it needn't wait
	g := b.NextWrite(0, term, true)
	if g == nil || g.Key() == f.Key() {
		t.Fatalf("got %+v", g)
	}
	if len(done) != 0 {
		t.Fatalf("%v acknowledged before the commit", done)
	}
	b.MarkCommitted(g, 8)
	b.MarkCommitted(f, 9)
	if fmt.Sprint(done) != "[y x]" {
		t.Fatalf("acknowledged %v", done)
	}
	f = b.NextWrite(0, term, true)
	if f == nil || f.Txn.If[1].Version != 9 || len(f.Txn.Then) != 1 {
		t.Fatalf("got %+v", f)
	}
}

// A page that is in flight and changed again waits for the next write's commit.
func TestWaiterRunsOnceAllItsPagesAreCommitted(t *testing.T) {
	b := newStore()
	n := 0
	w := OnCommit(func() { n++ })
	b.MarkDirty(0, &testItem{"x", 800}, w)
	b.MarkDirty(0, &testItem{"y", 800}, w)
	b.MarkDirty(0, &testItem{"z", 800}, w) // three pages, two changes a transaction
	for i := range 3 {
		if f := b.NextWrite(time.Duration(i)*time.Second, term, true); f != nil {
			b.MarkCommitted(f, int64(i+1))
		}
		if i == 0 && n != 0 {
			t.Fatal("ran after the first of two writes")
		}
	}
	if n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// Pages that a user waits for are written before those of starts, these before what nobody
// waits for, and that before the ends of cancelled jobs, even if the others have been
// waiting for a while already; but nothing waits for ever.
func TestPagesAreWrittenByPriority(t *testing.T) {
	s := NewStore(Limits{PageBytes(1), 1, 1}, "t", 100*time.Millisecond) // a key a second
	s.MarkDirty(0, &testItem{"first", 800}, nil)
	if w := s.NextWrite(0, term, true); w == nil {
		t.Fatal("nothing to write")
	} else {
		s.MarkCommitted(w, 1)
	}
	var order []string
	note := func(name string) func() { return func() { order = append(order, name) } }
	s.MarkDirty(100*time.Millisecond, &testItem{"background", 800}, OnBackgroundCommit(note("background")))
	s.MarkDirty(100*time.Millisecond, &testItem{"later", 800}, OnDeferredCommit(note("later")))
	s.MarkDirty(100*time.Millisecond, &testItem{"start", 800}, OnStartCommit(note("start")))
	for i := range 4 {
		now := 200*time.Millisecond + time.Duration(i)*300*time.Millisecond
		s.MarkDirty(now, &testItem{fmt.Sprint("soon", i), 800}, OnCommit(note(fmt.Sprint("soon", i))))
	}
	for i := range 4 { // these come long after, and the background has its turn before them
		s.MarkDirty(11*time.Second, &testItem{fmt.Sprint("last", i), 800}, OnCommit(note(fmt.Sprint("last", i))))
	}
	for now := time.Second; now < 20*time.Second; now += 50 * time.Millisecond {
		if w := s.NextWrite(now, term, true); w != nil {
			s.MarkCommitted(w, int64(now))
		}
	}
	if got := fmt.Sprint(order); got != "[soon0 soon1 start soon2 later soon3 background last0 last1 last2 last3]" {
		t.Errorf("written in the order %v", got)
	}
}
