package daemon

import (
	"sync/atomic"
	"time"

	"oakpick/internal/latency"
	"oakpick/internal/message"
	"oakpick/internal/storage"
)

// metrics holds the latency histograms and counters of this process. Any goroutine may use it.
type metrics struct {
	latencies    *latency.Recorder
	shed         atomic.Int64 // requests refused by the concurrency limit
	expiredPolls atomic.Int64 // polls dropped because they had already been refused
	// Pauses of the process, copied from the controller's Stats.
	pauses, longestPauseMs atomic.Int64
}

// Names of latency histograms in the administration API.
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
