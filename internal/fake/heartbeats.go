package fake

import (
	"net/http"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// Delays and timeouts of heartbeats, apart from the regular interval.
const (
	minHeartbeatDelay   = 500 * time.Millisecond // between a change and the heartbeat that reports it
	heartbeatTimeout    = 4 * time.Second
	heartbeatRetryDelay = time.Second
	redirectDelay       = 100 * time.Millisecond // before the heartbeat that follows a redirect
)

// sentHeartbeat is a heartbeat that was sent and may still get a reply.
type sentHeartbeat struct {
	worker          *Worker
	id              int64
	incarnation     int64
	sentAt          time.Duration
	controllerIndex int
}

// heartbeatSoon schedules a heartbeat after minHeartbeatDelay to report a change, unless one is due
// earlier.
func (worker *Worker) heartbeatSoon() {
	worker.nextHeartbeatAt = min(worker.nextHeartbeatAt, worker.world.Now+minHeartbeatDelay)
}

// newHeartbeat returns the next heartbeat of the worker.
func (worker *Worker) newHeartbeat() *protocol.Heartbeat {
	worker.sequence++
	m := worker.machine
	heartbeat := &protocol.Heartbeat{
		Machine: m.Name, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Incarnation: worker.incarnation, Sequence: worker.sequence, FencingToken: worker.fencingToken,
		InterruptionInS: -1, // no interruption announced
	}
	if worker.interruptionAt > 0 {
		heartbeat.InterruptionInS = max(0, (worker.interruptionAt - worker.world.Now).Seconds())
	}
	for _, a := range worker.attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, a.TaskStatus)
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat to the controller that the worker assumes to lead.
func (worker *Worker) sendHeartbeat() {
	w := worker.world
	heartbeat := worker.newHeartbeat()
	if w.OnHeartbeat != nil {
		w.OnHeartbeat(*heartbeat)
	}
	worker.heartbeatInFlight = true
	worker.heartbeatID++
	worker.nextHeartbeatAt = w.Now + w.heartbeatInterval()
	sent := &sentHeartbeat{
		worker: worker, id: worker.heartbeatID, incarnation: worker.incarnation,
		sentAt: w.Now, controllerIndex: worker.controllerIndex,
	}
	receiver := w.Controllers[sent.controllerIndex]
	request := message.HeartbeatRequest{Heartbeat: heartbeat}
	delivery := w.deliveryOf(KindHeartbeat, worker.machine.Name, receiver.Name)
	w.After(heartbeatTimeout, sent.fail)
	if delivery.DuplicateAfter > 0 {
		// Replies to duplicates are ignored.
		w.After(delivery.DuplicateAfter, func() { receiver.Request(request, func(message.Reply) {}) })
	}
	if delivery.LoseRequest {
		return
	}
	reply := func(r message.Reply) {
		if !delivery.LoseResponse {
			w.After(delivery.ResponseDelay, func() { sent.handleReply(r) })
		}
	}
	w.After(delivery.RequestDelay, func() { receiver.Request(request, reply) })
}

// finished reports whether the worker no longer waits for a reply to this heartbeat.
func (h *sentHeartbeat) finished() bool {
	return h.worker.terminated || h.worker.heartbeatID != h.id || !h.worker.heartbeatInFlight
}

// fail makes the worker try the next controller after heartbeatRetryDelay.
func (h *sentHeartbeat) fail() {
	if !h.finished() {
		h.worker.heartbeatInFlight = false
		h.tryNextController()
	}
}

func (h *sentHeartbeat) tryNextController() {
	worker := h.worker
	worker.controllerIndex = (h.controllerIndex + 1) % len(worker.world.Controllers)
	worker.nextHeartbeatAt = worker.world.Now + heartbeatRetryDelay
}

func (h *sentHeartbeat) handleReply(reply message.Reply) {
	worker := h.worker
	if h.finished() || worker.hangs() {
		return
	}
	switch reply.Status {
	case http.StatusOK:
		worker.heartbeatInFlight = false
		if h.incarnation == worker.incarnation {
			worker.handleResponse(reply.Body, h.sentAt)
		}
	case http.StatusMisdirectedRequest:
		worker.heartbeatInFlight = false
		h.followRedirect(protocol.DecodeRedirect(reply.Body))
	default:
		h.fail()
	}
}

// followRedirect directs the next heartbeat to the leader that the controller named, or to the next
// controller if there is no other controller of that name.
func (h *sentHeartbeat) followRedirect(leader string) {
	h.tryNextController()
	worker := h.worker
	for i, c := range worker.world.Controllers {
		if c.Name == leader && i != h.controllerIndex {
			worker.controllerIndex, worker.nextHeartbeatAt = i, worker.world.Now+redirectDelay
		}
	}
}

// handleResponse renews the lease and executes the commands in a heartbeat response. A response with
// an outdated fencing token is ignored.
func (worker *Worker) handleResponse(body []byte, sentAt time.Duration) {
	response, err := protocol.DecodeCommands(body)
	if err != nil {
		worker.world.RecordViolation(ruleWorker, "heartbeat response cannot be decoded: %v", err)
		return
	}
	if response.FencingToken < worker.fencingToken {
		return
	}
	worker.observeToken(response.FencingToken)
	worker.leaseRenewedAt = max(worker.leaseRenewedAt, sentAt)
	worker.runCommands(response.Commands)
}

// observeToken stores a fencing token if it is higher than the known one. The change is reported
// by an early heartbeat, but at most once per half lease.
func (worker *Worker) observeToken(token int64) {
	if token <= worker.fencingToken {
		return
	}
	worker.fencingToken = token
	now := worker.world.Now
	if worker.tokenReportedAt == 0 || now-worker.tokenReportedAt >= worker.leaseDuration()/2 {
		worker.tokenReportedAt = now
		worker.heartbeatSoon()
	}
}
