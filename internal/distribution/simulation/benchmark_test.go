package simulation

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTracker has fleets of several sizes fetch a version and reports, for each agent,
// the time that the trackers' steps took and the bytes between it and the controllers, as JSON
// without headers. The time is real, the rest of the world simulated.
func BenchmarkTracker(b *testing.B) {
	for _, agents := range []int{40, 400, 4000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			var spent time.Duration
			var bytes, inventories int64
			var seconds float64
			for n := range b.N {
				o := Defaults()
				o.Agents, o.StoreSlots, o.TicksPerReport, o.Seed = agents, 8, 4, uint64(n+1)
				w := New(o)
				w.MeasureStep = func(step func()) {
					began := time.Now()
					step()
					spent += time.Since(began)
				}
				m := w.Store.Publish(chunks/2, chunkBytes, nil, 0)
				w.Use(weightsName, m.Digest)
				w.StartAll()
				took, ok := w.UntilReady(maxWait, weightsName, m.Digest)
				if !ok || len(w.Violations) > 0 {
					b.Fatalf("ready %v, broken %v", ok, w.Violations)
				}
				seconds += took.Seconds()
				bytes += w.Bytes.Up + w.Bytes.Down
				inventories += w.Bytes.Inventories
			}
			each := float64(b.N * agents)
			b.ReportMetric(float64(spent.Microseconds())/each, "µs/agent")
			b.ReportMetric(float64(spent.Microseconds())/float64(inventories), "µs/inventory")
			b.ReportMetric(float64(bytes)/each, "B/agent")
			b.ReportMetric(float64(bytes)/each/(seconds/float64(b.N)), "B/agent/s")
			b.ReportMetric(seconds/float64(b.N), "simulated-s")
		})
	}
}
