package storage

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/protocol"
)

// A retry repeats the first attempt under the same ID, because the first attempt may still be
// executed and must then be the same transaction.
func TestRetryRepeatsTheSameTransaction(t *testing.T) {
	s := newStore()
	x, y := &testItem{"x", 50}, &testItem{"y", 50}
	s.MarkDirty(0, x, nil)
	write := s.NextWrite(0, term, true)
	first := protocol.Encode(write.Txn)
	s.MarkDirty(0, x, nil)
	s.MarkDirty(0, y, nil)
	s.RetryLater(0, write)
	if s.NextWrite(50*time.Millisecond, term, false) != nil {
		t.Fatal("sent again at once")
	}
	again := s.NextWrite(time.Second, term, false)
	if again != write || !bytes.Equal(protocol.Encode(again.Txn), first) {
		t.Fatal("the retry differs")
	}
}

func TestWriteBudgetCountsKeys(t *testing.T) {
	s := newStore() // ten keys per second, at most ten at once
	keys := 0
	for i := range 100 {
		s.MarkDirty(0, &testItem{fmt.Sprint(i), 800}, nil)
	}
	for i := range 300 { // three seconds
		if w := s.NextWrite(time.Duration(i)*10*time.Millisecond, term, true); w != nil {
			keys += len(w.Txn.Then)
			s.MarkCommitted(w, int64(i))
		}
	}
	if keys < 35 || keys > 41 {
		t.Fatalf("%d keys in three seconds", keys)
	}
}

// A large write gets no response while small writes arrive steadily and could use up the whole
// budget. The large write must still be retried, even if the budget has since been lowered below
// its size.
func TestLargeRetryIsNotStarvedBySmallWrites(t *testing.T) {
	for name, rate := range map[string]float64{"same budget": 10, "lowered budget": 4} {
		t.Run(name, func(t *testing.T) {
			s := NewStore(Limits{PageBytes(1), 8, 10}, "t", retryInterval)
			for i := range 8 {
				s.MarkDirty(0, &testItem{fmt.Sprint("large", i), 800}, nil)
			}
			large := s.NextWrite(0, term, true)
			if large == nil || len(large.Txn.Then) != 8 {
				t.Fatalf("got %+v", large)
			}
			s.RetryLater(0, large)
			if rate != 10 {
				s.SetWriteRate(rate)
			}
			sentAt, small := time.Duration(0), 0
			for now := time.Duration(0); now < 10*time.Second && sentAt == 0; now += 20 * time.Millisecond {
				s.MarkDirty(now, &testItem{fmt.Sprint("small", now), 800}, nil)
				switch w := s.NextWrite(now, term, true); w {
				case nil:
				case large:
					sentAt = now
				default:
					small++
					s.MarkCommitted(w, int64(now))
				}
			}
			if sentAt == 0 || sentAt > 2500*time.Millisecond {
				t.Errorf("sent again after %v, %d small writes before it", sentAt, small)
			}
		})
	}
}

// Many large pages are dirty: a transaction with as many changes as allowed would exceed the size
// limit. Every page must be written by a transaction that the state service accepts. The same
// size limit applies to a single value.
func TestTransactionsStayWithinTheRequestLimit(t *testing.T) {
	const items = 40
	for _, valueKB := range []float64{8, 31, 64, 128} {
		t.Run(fmt.Sprintf("%v KiB", valueKB), func(t *testing.T) {
			s := NewStore(Limits{PageBytes(valueKB), 32, 100}, "t", retryInterval)
			size := PageBytes(valueKB) - pageOverhead
			if whole, tooLarge := (&testItem{"", size}), (&testItem{"", PageBytes(valueKB)}); !s.Fits(whole) || s.Fits(tooLarge) {
				t.Fatalf("an item of the size of a page fits: %t; a larger item fits: %t", s.Fits(whole), s.Fits(tooLarge))
			}
			committed := 0
			for i := range items {
				name := strings.Repeat("x", size-100) + fmt.Sprint(i)
				s.MarkDirty(0, &testItem{name, size}, OnCommit(func() { committed++ }))
			}
			maxChanges := 0
			for i := range 20 * items {
				for w := range writesDue(s, time.Duration(i)*50*time.Millisecond) {
					if n := sizeInJSON(t, w.Txn); n > protocol.MaxBody {
						t.Fatalf("a transaction of %d bytes", n)
					}
					maxChanges = max(maxChanges, len(w.Txn.Then))
					s.MarkCommitted(w, int64(i+1))
				}
			}
			if committed != items || valueKB == 8 && maxChanges != 7 {
				t.Errorf("%d of %d pages written, at most %d at once", committed, items, maxChanges)
			}
		})
	}
}

// After a refusal, no new transaction is sent before the retry of the refused one is due,
// because a state service that refuses writes above its rate must not receive more of them.
func TestNoNewTransactionBeforeTheRetryOfARefusedOne(t *testing.T) {
	s := newStore()
	s.MarkDirty(0, &testItem{"refused", 800}, nil)
	refused := s.NextWrite(0, term, true)
	s.RetryLater(0, refused)
	s.MarkDirty(0, &testItem{"new", 800}, nil)
	if s.NextWrite(50*time.Millisecond, term, true) != nil {
		t.Error("a new write was sent at once")
	}
	if again := s.NextWrite(150*time.Millisecond, term, true); again != refused {
		t.Errorf("the refused write was not the next: %+v", again)
	}
	if s.NextWrite(150*time.Millisecond, term, true) == nil {
		t.Error("the new write was not sent when the refused one was")
	}
}

// The write rate is changed while a large write waits for its retry. The budget must continue to
// fill by the monotonic clock, and the write must be retried.
//
// This guards against a fault in which the change of the rate used the wall clock, which set the
// budget's last update decades ahead of the steps' time. The budget stopped filling, and what
// remained within the lowered capacity, 4 of 10 keys, was too little for the write of 8. Real
// processes logged "write budget stalled waited_s=2.000 fill=0.053 keys_per_s=38". See
// docs/incidents/2026-12-03-write-budget-never-fills.md.
func TestWriteBudgetFillsAfterItsRateIsChanged(t *testing.T) {
	s := NewStore(Limits{PageBytes(1), 8, 10}, "t", retryInterval)
	for i := range 8 {
		s.MarkDirty(0, &testItem{fmt.Sprint("large", i), 800}, nil)
	}
	large := s.NextWrite(0, term, true)
	if large == nil || len(large.Txn.Then) != 8 {
		t.Fatalf("got %+v", large)
	}
	s.RetryLater(0, large)
	s.SetWriteRate(4)
	s.SetWriteRate(10)
	for now := time.Duration(0); now < time.Minute; now += retryInterval {
		if s.NextWrite(now, term, true) == large {
			return
		}
	}
	t.Error("not sent again within a minute")
}
