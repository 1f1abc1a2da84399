// Package latency keeps histograms of times by name, and sums them up.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times go from a microsecond to ten minutes, to two digits. One beyond counts as the longest.
const (
	leastMicros, mostMicros = 1, 600_000_000
	digits                  = 2
)

// Recorder keeps a histogram for each name. It may be used by several goroutines.
type Recorder struct {
	mu    sync.Mutex
	times map[string]*hdrhistogram.Histogram
}

// NewRecorder makes an empty one.
func NewRecorder() *Recorder { return &Recorder{times: map[string]*hdrhistogram.Histogram{}} }

// Add records a time.
func (r *Recorder) Add(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.times[name]
	if h == nil {
		h = hdrhistogram.New(leastMicros, mostMicros, digits)
		r.times[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), leastMicros), mostMicros)) // always in range
}

// Reset forgets what was recorded.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.times)
}

// Summary sums up times, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Summaries are those of every name.
func (r *Recorder) Summaries() map[string]Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]Summary{}
	for name, h := range r.times {
		ms := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1000 }
		out[name] = Summary{h.TotalCount(), ms(50), ms(90), ms(99), float64(h.Max()) / 1000}
	}
	return out
}
