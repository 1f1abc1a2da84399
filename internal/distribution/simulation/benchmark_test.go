package simulation

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTracker measures the load on the trackers while fleets of several sizes fetch a version.
// It reports, for each agent, the time that the trackers' steps take and the bytes exchanged with
// the controllers, counted as JSON without headers. Steps are measured in real time; everything
// else runs in simulated time.
func BenchmarkTracker(b *testing.B) {
	for _, agents := range []int{40, 400, 4000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			var stepTime time.Duration
			var bytes, inventories int64
			var seconds float64
			for n := range b.N {
				o := Defaults()
				o.Agents, o.StoreSlots, o.TicksPerReport, o.Seed = agents, 8, 4, uint64(n+1)
				w := New(o)
				w.MeasureStep = func(step func()) {
					startedAt := time.Now()
					step()
					stepTime += time.Since(startedAt)
				}
				m := w.Store.Publish(chunks/2, chunkBytes, nil, 0)
				w.SetManifest(weightsName, m.Digest)
				w.StartAll()
				took, ok := w.RunUntilReady(maxWait, weightsName, m.Digest)
				if !ok || len(w.Violations) > 0 {
					b.Fatalf("ready: %v, violations: %v", ok, w.Violations)
				}
				seconds += took.Seconds()
				bytes += w.Traffic.UpBytes + w.Traffic.DownBytes
				inventories += w.Traffic.Inventories
			}
			agentRuns := float64(b.N * agents)
			b.ReportMetric(float64(stepTime.Microseconds())/agentRuns, "µs/agent")
			b.ReportMetric(float64(stepTime.Microseconds())/float64(inventories), "µs/inventory")
			b.ReportMetric(float64(bytes)/agentRuns, "B/agent")
			b.ReportMetric(float64(bytes)/agentRuns/(seconds/float64(b.N)), "B/agent/s")
			b.ReportMetric(seconds/float64(b.N), "simulated-s")
		})
	}
}
