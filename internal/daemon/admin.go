package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oakpick/internal/coordination"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
	"oakpick/internal/transport"
)

// metrics are latency histograms and counts of this process.
type metrics struct {
	mu    sync.Mutex
	times map[string]*hdrhistogram.Histogram
	shed  atomic.Int64
}

func newMetrics() *metrics { return &metrics{times: map[string]*hdrhistogram.Histogram{}} }

// The histograms go from a microsecond to a minute, to two digits.
const (
	least, most = 1, 60_000_000
	digits      = 2
)

func (m *metrics) add(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.times[name]
	if h == nil {
		h = hdrhistogram.New(least, most, digits)
		m.times[name] = h
	}
	// A time beyond the range counts as the longest.
	_ = h.RecordValue(min(max(d.Microseconds(), least), most))
}

func (m *metrics) record(request coordination.Request, d time.Duration) {
	switch c := request.(type) {
	case coordination.UserCall:
		m.add([...]string{"submit", "poll", "cancel"}[c.Kind], d)
	case coordination.ReportCall:
		m.add("report", d)
	}
}

func (m *metrics) state(op storage.StateOp, d time.Duration) {
	m.add([...]string{"state_get", "state_list", "state_write", "state_grant", "state_renew", "state_revoke"}[op], d)
}

// latency is one histogram's summary, in milliseconds.
type latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (m *metrics) summary() map[string]latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]latency{}
	for name, h := range m.times {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out[name] = latency{h.TotalCount(), ms(50), ms(90), ms(99), float64(h.Max()) / 1000}
	}
	return out
}

// newAdmin is the administration API: JSON over HTTP, on the controllers' own
// listener.
func newAdmin(d *daemon, limit *transport.Limit) http.Handler {
	mux := http.NewServeMux()
	call := func(w http.ResponseWriter, r *http.Request, kind coordination.AdminKind) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "body too large"})
			return
		}
		raw := transport.Raw{Method: r.Method, Path: r.URL.Path, Body: body, FromPeer: r.Header.Get(transport.ForwardedHeader) != ""}
		reply := d.Do(coordination.AdminCall{Kind: kind, Body: body}, raw, protocol.SubmitWaitS*time.Second)
		if reply.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfter))
			writeJSON(w, reply.Status, map[string]string{"error": "no leader can be asked now"})
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body) // the asker may have gone
	}
	mux.HandleFunc("GET /admin/status", func(w http.ResponseWriter, r *http.Request) { call(w, r, coordination.AdminStatus) })
	mux.HandleFunc("GET /admin/settings", func(w http.ResponseWriter, r *http.Request) { call(w, r, coordination.AdminRead) })
	mux.HandleFunc("PATCH /admin/settings", func(w http.ResponseWriter, r *http.Request) { call(w, r, coordination.AdminChange) })
	mux.HandleFunc("GET /admin/metrics", func(w http.ResponseWriter, _ *http.Request) {
		now, inFlight := limit.Now()
		writeJSON(w, http.StatusOK, map[string]any{
			"latency": d.metrics.summary(), "requests_limit": now, "requests_in_progress": inFlight, "requests_shed": d.metrics.shed.Load(),
		})
	})
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // the asker may have gone
}
