package controller_test

import (
	"fmt"
	"testing"
	"time"
)

// What a take-over reads doesn't grow with what is in the archive.
func TestTakeOverDoesNotReadArchive(t *testing.T) {
	few, cfg := newWorldWithRecords(100, 100, 0)
	many, _ := newWorldWithRecords(100, 100, 20_000)
	a, b := takeOver(t, few, cfg), takeOver(t, many, cfg)
	if b > a+1 { // one to see that there is an archive
		t.Errorf("%d entries with an empty archive, %d with a full one", a, b)
	}
}

// BenchmarkTakeOver times a take-over from the lease to the first moment as leader, with the
// state service answering at once.
func BenchmarkTakeOver(b *testing.B) {
	const unfinished, kept = 2600, 6000
	for _, archived := range []int{0, 26_000, 1_040_000} {
		b.Run(fmt.Sprintf("ended=%d", archived), func(b *testing.B) {
			w, cfg := newWorldWithRecords(unfinished, kept, archived)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				cfg.Node = fmt.Sprint("n", 10+i)
				takeOver(b, w, cfg)
				b.StopTimer()
				w.Run(5 * time.Second) // the lease of the last one ends
				b.StartTimer()
			}
		})
	}
}
