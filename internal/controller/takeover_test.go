package controller_test

import (
	"fmt"
	"testing"
	"time"
)

// The number of entries that a takeover reads must not grow with the archive.
func TestTakeOverDoesNotReadArchive(t *testing.T) {
	few, cfg := newWorldWithRecords(100, 100, 0)
	many, _ := newWorldWithRecords(100, 100, 20_000)
	a, b := takeOver(t, few, cfg), takeOver(t, many, cfg)
	if b > a+1 { // one entry shows that there is an archive
		t.Errorf("%d entries read with an empty archive, %d with a full one", a, b)
	}
}

// BenchmarkTakeOver measures a takeover from the request for a lease until the controller leads.
// The state service responds at once.
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
				w.Run(5 * time.Second) // until the lease of the last leader has expired
				b.StartTimer()
			}
		})
	}
}
