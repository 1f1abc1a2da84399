package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"oakpick/internal/latency"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/transport"
)

const jsonContentType = "application/json"

// adminTimeout is how long an operator's request may take.
const adminTimeout = protocol.SubmitTimeoutS * time.Second

// adminHandler serves the administration API: JSON over HTTP, on the listener for peers.
type adminHandler struct {
	loop  *eventLoop
	limit *transport.ConcurrencyLimit
}

// adminError is the body of a refusal.
type adminError struct {
	Error string `json:"error"`
}

// processMetrics is the answer about this process. Its fields are in the order of their names.
type processMetrics struct {
	Latency            map[string]latency.Summary `json:"latency"`
	LongestPauseMs     int64                      `json:"longest_pause_ms"`
	Pauses             int64                      `json:"pauses"`
	PollsExpired       int64                      `json:"questions_outlived"`
	RequestsInProgress int                        `json:"requests_in_progress"`
	RequestsLimit      int                        `json:"requests_limit"`
	RequestsShed       int64                      `json:"requests_shed"`
}

func newAdminHandler(loop *eventLoop, limit *transport.ConcurrencyLimit) http.Handler {
	h := &adminHandler{loop: loop, limit: limit}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/status", h.forKind(message.AdminStatus))
	mux.HandleFunc("GET /admin/settings", h.forKind(message.AdminRead))
	mux.HandleFunc("PATCH /admin/settings", h.forKind(message.AdminChange))
	mux.HandleFunc("GET /admin/jobs/{id}", h.forKind(message.AdminJob))
	mux.HandleFunc("GET /admin/metrics", h.metrics)
	return mux
}

// forKind gives the handler of a kind of requests, which the controller answers.
func (h *adminHandler) forKind(kind message.AdminRequestKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, adminError{"body too large"})
			return
		}
		fromPeer := r.Header.Get(transport.ForwardedHeader) != ""
		raw := transport.RawRequest{Method: r.Method, Path: r.URL.Path, Body: body, FromPeer: fromPeer}
		request := message.AdminRequest{Kind: kind, Body: body, Job: r.PathValue("id")} // no id but of a job
		reply := h.loop.Handle(request, raw, adminTimeout)
		if reply.RetryAfterS > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfterS))
			writeJSON(w, reply.Status, adminError{"no leader can be asked now"})
			return
		}
		transport.WriteReply(w, jsonContentType, reply)
	}
}

func (h *adminHandler) metrics(w http.ResponseWriter, _ *http.Request) {
	limit, inProgress := h.limit.Usage()
	m := h.loop.metrics
	writeJSON(w, http.StatusOK, processMetrics{
		Latency:        m.latencies.Summaries(),
		LongestPauseMs: m.longestPauseMs.Load(), Pauses: m.pauses.Load(), PollsExpired: m.expired.Load(),
		RequestsInProgress: inProgress, RequestsLimit: limit, RequestsShed: m.shed.Load(),
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", jsonContentType)
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v) // the sender may have gone
}
