package storage

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/protocol"
)

// TestMain fixes the seed of drawn tests: the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type testItem struct {
	name string
	size int
}

func (x *testItem) AppendTo(v *PageValue) {
	v.Terminal = append(v.Terminal, TerminalRecord{ID: x.name})
}
func (x *testItem) EncodedSize() int  { return x.size }
func (x *testItem) ReservedSize() int { return x.size }

var term = protocol.Condition{Key: "leader", Version: 7}

func newStore() *Store { return NewStore(Limits{PageBytes(1), 2, 10}, "t", 100*time.Millisecond) }

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

// A retry carries what the first try carried, under the same id: its copy may
// still land, and must then be the same write.
func TestRetryRepeatsTheSameTransaction(t *testing.T) {
	b := newStore()
	x, y := &testItem{"x", 50}, &testItem{"y", 50}
	b.MarkDirty(0, x, nil)
	f := b.NextWrite(0, term, true)
	first := fmt.Sprintf("%+v", protocol.Encode(f.Txn))
	b.MarkDirty(0, x, nil)
	b.MarkDirty(0, y, nil)
	b.RetryLater(0, f)
	if b.NextWrite(50*time.Millisecond, term, false) != nil {
		t.Fatal("sent again at once")
	}
	again := b.NextWrite(time.Second, term, false)
	if again != f || fmt.Sprintf("%+v", protocol.Encode(again.Txn)) != first {
		t.Fatal("the retry differs")
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

func TestWriteBudgetCountsKeys(t *testing.T) {
	b := newStore() // ten keys a second, ten at once
	written := 0
	for i := range 100 {
		b.MarkDirty(0, &testItem{fmt.Sprint(i), 800}, nil)
	}
	for i := range 300 { // three seconds
		if f := b.NextWrite(time.Duration(i)*10*time.Millisecond, term, true); f != nil {
			written += len(f.Txn.Then)
			b.MarkCommitted(f, int64(i))
		}
	}
	if written < 35 || written > 41 {
		t.Fatalf("%d keys in three seconds", written)
	}
}

// What is reserved for a record is never less than the record takes, whatever
// its names, so that a page never outgrows its limit.
func TestReservedSizeCoversEncodedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(0, 20, 40)
		s := protocol.Submission{
			ID: "wk-" + fmt.Sprint(rapid.Uint64().Draw(t, "id")), Class: name.Draw(t, "class"), Team: name.Draw(t, "team"), Image: name.Draw(t, "image"),
			Zone: name.Draw(t, "zone"), Types: rapid.SliceOfN(name, 0, 4).Draw(t, "types"), Tasks: rapid.IntRange(1, 100000).Draw(t, "tasks"),
			CPUs: rapid.Float64Range(0, 1e9).Draw(t, "cpus"), MemoryGB: rapid.Float64Range(0, 1e9).Draw(t, "mem"), EstimatedRunS: 1.0 / 3,
		}
		r := NewJobRecord(&s, 1<<52)
		blocks := s.Tasks / 56
		full := Bitmap{}
		full.Set(blocks)
		r.CompletedBlocks, r.GangAttempt = full.Text(), 1<<60
		v := PageValue{WriteID: "123456789-123456789", Jobs: []JobRecord{r}}
		want := pageOverhead + r.ReservedSize(blocks)
		n := rapid.IntRange(1, 64).Draw(t, "block")
		br := BlockRecord{Job: s.ID, Block: 1000, LastAttempt: 1 << 60, Done: strings.Repeat("f", n/4+2)}
		for i := range n {
			br.Starts = append(br.Starts, StartRecord{Task: i, Attempt: 99999, Machine: "i-000000000000001", Incarnation: 99999})
		}
		v.Blocks = append(v.Blocks, br)
		want += BlockReservedSize(s.ID, n)
		f := TerminalRecord{ID: s.ID, Cancelled: true, Tasks: 100000}
		v.Terminal = append(v.Terminal, f)
		want += f.ReservedSize()
		if n := sizeInJSON(t, v); n > want {
			t.Fatalf("%d bytes reserved, %d taken", want, n)
		}
	})
}

// sizeInJSON is as the state service counts it: what is on the wire, in JSON.
func sizeInJSON(t interface{ Fatal(...any) }, v any) int {
	var wire any
	if err := protocol.Decode(protocol.Encode(v), &wire); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(wire)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}

// A large write gets no answer while small ones keep coming, so many that they
// could use up the whole budget: its turn comes all the same. So it does when the
// budget has been lowered below its size since.
func TestLargeRetryIsNotStarvedBySmallWrites(t *testing.T) {
	for _, lowered := range []bool{false, true} {
		b := NewStore(Limits{PageBytes(1), 8, 10}, "t", 100*time.Millisecond)
		for i := range 8 {
			b.MarkDirty(0, &testItem{fmt.Sprint("large", i), 800}, nil)
		}
		large := b.NextWrite(0, term, true)
		if large == nil || len(large.Txn.Then) != 8 {
			t.Fatalf("got %+v", large)
		}
		b.RetryLater(0, large)
		if lowered {
			b.SetWriteRate(4)
		}
		sentAt, small := time.Duration(0), 0
		for now := time.Duration(0); now < 10*time.Second && sentAt == 0; now += 20 * time.Millisecond {
			b.MarkDirty(now, &testItem{fmt.Sprint("small", now), 800}, nil)
			switch f := b.NextWrite(now, term, true); f {
			case nil:
			case large:
				sentAt = now
			default:
				small++
				b.MarkCommitted(f, int64(now))
			}
		}
		if sentAt == 0 || sentAt > 2500*time.Millisecond {
			t.Errorf("lowered %t: sent again after %v, %d small writes before it", lowered, sentAt, small)
		}
	}
}

// Many large pages wait, and a transaction may change more of them than fit its
// size: each goes out in one that the state service takes. A value alone is
// bounded by that size too.
func TestTransactionsStayWithinTheRequestLimit(t *testing.T) {
	for _, valueKB := range []float64{8, 31, 64, 128} {
		b := NewStore(Limits{PageBytes(valueKB), 32, 100}, "t", 100*time.Millisecond)
		whole := &testItem{"", PageBytes(valueKB) - pageOverhead}
		if big := (&testItem{"", PageBytes(valueKB)}); !b.Fits(whole) || b.Fits(big) {
			t.Fatalf("%v KiB: a page's worth fits %t, more %t", valueKB, b.Fits(whole), b.Fits(big))
		}
		const things = 40
		landed := 0
		for i := range things {
			name := strings.Repeat("x", whole.size-100) + fmt.Sprint(i)
			b.MarkDirty(0, &testItem{name, whole.size}, OnCommit(func() { landed++ }))
		}
		most := 0
		for i := range 20 * things {
			now := time.Duration(i) * 50 * time.Millisecond
			for f := b.NextWrite(now, term, true); f != nil; f = b.NextWrite(now, term, true) {
				if n := sizeInJSON(t, f.Txn); n > protocol.MaxBody {
					t.Fatalf("%v KiB: a transaction of %d bytes", valueKB, n)
				}
				most = max(most, len(f.Txn.Then))
				b.MarkCommitted(f, int64(i+1))
			}
		}
		if landed != things || valueKB == 8 && most != 7 {
			t.Errorf("%v KiB: %d of %d pages written, at most %d at once", valueKB, landed, things, most)
		}
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

// After a refusal nothing new is sent before the refused write is due again: a state
// service that refuses writes beyond its rate isn't asked for more.
func TestNoNewTransactionBeforeTheRetryOfARefusedOne(t *testing.T) {
	s := newStore()
	s.MarkDirty(0, &testItem{"refused", 800}, nil)
	w := s.NextWrite(0, term, true)
	s.RetryLater(0, w)
	s.MarkDirty(0, &testItem{"new", 800}, nil)
	if s.NextWrite(50*time.Millisecond, term, true) != nil {
		t.Error("a new write was sent at once")
	}
	if again := s.NextWrite(150*time.Millisecond, term, true); again != w {
		t.Errorf("the refused write was not the next: %+v", again)
	}
	if s.NextWrite(150*time.Millisecond, term, true) == nil {
		t.Error("the new write was not sent when the refused one was")
	}
}
