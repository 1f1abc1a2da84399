package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"oakpick/internal/latency"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
	"oakpick/internal/transport"
)

// metrics are latency histograms and counts of this process.
type metrics struct {
	latencies *latency.Recorder
	shed      atomic.Int64
	// Questions dropped since their users had gone, and pauses of the process.
	expired, pauses, longestPauseMs atomic.Int64
}

func newMetrics() *metrics { return &metrics{latencies: latency.NewRecorder()} }

func (m *metrics) recordRequest(request message.Request, d time.Duration) {
	switch c := request.(type) {
	case message.UserRequest:
		m.latencies.Add([...]string{"submit", "poll", "cancel"}[c.Kind], d)
	case message.HeartbeatRequest:
		m.latencies.Add("report", d)
	}
}

func (m *metrics) recordStateCall(op storage.StateOp, d time.Duration) {
	m.latencies.Add([...]string{"state_get", "state_list", "state_write", "state_grant", "state_renew", "state_revoke"}[op], d)
}

// newAdminHandler is the administration API: JSON over HTTP, on the controllers' own
// listener.
func newAdminHandler(d *daemon, limit *transport.ConcurrencyLimit) http.Handler {
	mux := http.NewServeMux()
	call := func(w http.ResponseWriter, r *http.Request, question message.AdminRequest) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "body too large"})
			return
		}
		raw := transport.RawRequest{Method: r.Method, Path: r.URL.Path, Body: body, FromPeer: r.Header.Get(transport.ForwardedHeader) != ""}
		question.Body = body
		reply := d.Handle(question, raw, protocol.SubmitTimeoutS*time.Second)
		if reply.RetryAfterS > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfterS))
			writeJSON(w, reply.Status, map[string]string{"error": "no leader can be asked now"})
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body) // the asker may have gone
	}
	mux.HandleFunc("GET /admin/status", func(w http.ResponseWriter, r *http.Request) {
		call(w, r, message.AdminRequest{Kind: message.AdminStatus})
	})
	mux.HandleFunc("GET /admin/settings", func(w http.ResponseWriter, r *http.Request) {
		call(w, r, message.AdminRequest{Kind: message.AdminRead})
	})
	mux.HandleFunc("PATCH /admin/settings", func(w http.ResponseWriter, r *http.Request) {
		call(w, r, message.AdminRequest{Kind: message.AdminChange})
	})
	mux.HandleFunc("GET /admin/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		call(w, r, message.AdminRequest{Kind: message.AdminJob, Job: r.PathValue("id")})
	})
	mux.HandleFunc("GET /admin/metrics", func(w http.ResponseWriter, _ *http.Request) {
		now, inFlight := limit.Usage()
		writeJSON(w, http.StatusOK, map[string]any{
			"latency": d.metrics.latencies.Summaries(), "requests_limit": now, "requests_in_progress": inFlight, "requests_shed": d.metrics.shed.Load(),
			"questions_outlived": d.metrics.expired.Load(), "pauses": d.metrics.pauses.Load(), "longest_pause_ms": d.metrics.longestPauseMs.Load(),
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
