package daemon

import (
	"sync/atomic"
	"time"

	"oakpick/internal/latency"
	"oakpick/internal/message"
	"oakpick/internal/storage"
)

// metrics are latency histograms and counts of this process. Any goroutine may use them.
type metrics struct {
	latencies *latency.Recorder
	shed      atomic.Int64 // requests refused by the concurrency limit
	expired   atomic.Int64 // polls dropped since their users had gone
	// Pauses of the process, see the controller's Stats.
	pauses, longestPauseMs atomic.Int64
}

// Names of latencies, as the administration API tells them.
var (
	userRequestNames = [...]string{message.Submit: "submit", message.Poll: "poll", message.Cancel: "cancel"}
	stateCallNames   = [...]string{
		storage.StateGet: "state_get", storage.StateList: "state_list", storage.StateTxn: "state_write",
		storage.StateGrantLease: "state_grant", storage.StateRenewLease: "state_renew", storage.StateRevokeLease: "state_revoke",
	}
)

const heartbeatName = "report"

func newMetrics() *metrics { return &metrics{latencies: latency.NewRecorder()} }

func (m *metrics) recordRequest(request message.Request, d time.Duration) {
	switch r := request.(type) {
	case message.UserRequest:
		m.latencies.Add(userRequestNames[r.Kind], d)
	case message.HeartbeatRequest:
		m.latencies.Add(heartbeatName, d)
	}
}

func (m *metrics) recordStateCall(op storage.StateOp, d time.Duration) {
	m.latencies.Add(stateCallNames[op], d)
}
