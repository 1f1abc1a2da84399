package storage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/protocol"
)

func newStore() *Store { return NewStore(Limits{PageBytes(1), 2, 10}, "t", 100*time.Millisecond) }

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
