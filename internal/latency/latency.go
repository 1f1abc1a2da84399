// Package latency keeps latency histograms by name, and summarizes them.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms range from a microsecond to ten minutes, with two significant digits.
const (
	minMicros, maxMicros = 1, 600_000_000
	significantDigits    = 2
)

// Recorder keeps a histogram for each name. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{histograms: map[string]*hdrhistogram.Histogram{}}
}

// Add records a duration. A duration outside the range counts as the shortest or the longest.
func (r *Recorder) Add(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histograms[name]
	if h == nil {
		h = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		r.histograms[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // always in range
}

// Reset drops all histograms.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.histograms)
}

// Summary holds the count of a histogram, and its percentiles and maximum in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Summaries returns a summary for each name. The caller owns the map.
func (r *Recorder) Summaries() map[string]Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	summaries := map[string]Summary{}
	for name, h := range r.histograms {
		summaries[name] = Summary{
			Count: h.TotalCount(),
			P50:   milliseconds(h.ValueAtQuantile(50)),
			P90:   milliseconds(h.ValueAtQuantile(90)),
			P99:   milliseconds(h.ValueAtQuantile(99)),
			Max:   milliseconds(h.Max()),
		}
	}
	return summaries
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }
