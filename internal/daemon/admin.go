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

// adminTimeout bounds the time that an operator's request may take.
const adminTimeout = protocol.SubmitTimeoutS * time.Second

// adminHandler serves the administration API as JSON over HTTP, on the listener for peers.
type adminHandler struct {
	loop  *eventLoop
	limit *transport.ConcurrencyLimit
}

// adminError is the body of an error response.
type adminError struct {
	Error string `json:"error"`
}

// processMetrics is the body of GET /admin/metrics. Its fields are sorted by JSON name.
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
	mux.HandleFunc("GET /admin/status", h.handlerFor(message.AdminStatus))
	mux.HandleFunc("GET /admin/settings", h.handlerFor(message.AdminReadOptions))
	mux.HandleFunc("PATCH /admin/settings", h.handlerFor(message.AdminChangeOptions))
	mux.HandleFunc("GET /admin/jobs/{id}", h.handlerFor(message.AdminJob))
	mux.HandleFunc("GET /admin/metrics", h.metrics)
	return mux
}

// handlerFor returns an HTTP handler that passes requests of the given kind to the controller.
func (h *adminHandler) handlerFor(kind message.AdminRequestKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, adminError{"body too large"})
			return
		}
		fromPeer := r.Header.Get(transport.ForwardedHeader) != ""
		raw := transport.RawRequest{Method: r.Method, Path: r.URL.Path, Body: body, FromPeer: fromPeer}
		request := message.AdminRequest{Kind: kind, Body: body, Job: r.PathValue("id")} // only job paths have an id
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
		LongestPauseMs: m.longestPauseMs.Load(), Pauses: m.pauses.Load(), PollsExpired: m.expiredPolls.Load(),
		RequestsInProgress: inProgress, RequestsLimit: limit, RequestsShed: m.shed.Load(),
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", jsonContentType)
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v) // the client may have disconnected
}
