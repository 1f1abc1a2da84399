package simulation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
	"oakpick/internal/fake"
	"oakpick/internal/storage"
)

// trackerHost is the tracker of a controller, renewed with each incarnation of its process.
type trackerHost struct {
	world       *World
	node        *fake.Controller
	incarnation int
	tracker     *tracker.Tracker
	pending     map[uint64]pendingRequest
	nextID      uint64
}

// pendingRequest is a command that hasn't been answered.
type pendingRequest struct {
	command  func(id uint64) tracker.Command
	reply    func(tracker.Reply)
	fromPeer bool // forwarded by another controller
}

const (
	trackerTickInterval = 50 * time.Millisecond
	latency             = 5 * time.Millisecond
)

// runningTracker returns the tracker of the process that runs now, or nil if none does.
func (h *trackerHost) runningTracker() *tracker.Tracker {
	if !h.node.Up || h.world.Now < h.node.PausedUntil {
		return nil
	}
	if h.tracker == nil || h.incarnation != h.node.Incarnation() {
		h.incarnation, h.pending = h.node.Incarnation(), map[uint64]pendingRequest{}
		h.tracker = tracker.New(tracker.Parameters{
			ReportInterval:     h.world.reportInterval(),
			IdleReportInterval: 4 * h.world.reportInterval(),
			RetryInterval:      h.world.reportInterval() / 8,
			StoreSlots:         h.world.Options.StoreSlots,
			Zones:              h.world.Options.Settings.Zones,
			ProcessID:          fmt.Sprintf("%s-%d", h.node.Name, h.incarnation),
			Seed:               h.world.Options.Seed + uint64(h.incarnation),
		})
	}
	return h.tracker
}

// step hands a command to the tracker and carries out its effects.
func (h *trackerHost) step(command tracker.Command) {
	running := h.runningTracker()
	if running == nil {
		return
	}
	var effects []tracker.Effect
	step := func() {
		effects = running.Step(h.node.MonotonicNow(), h.node.Controller().Leadership(), []tracker.Command{command})
	}
	if h.world.MeasureStep != nil {
		h.world.MeasureStep(step)
	} else {
		step()
	}
	for _, effect := range effects {
		h.execute(effect)
	}
}

func (h *trackerHost) execute(effect tracker.Effect) {
	switch e := effect.(type) {
	case tracker.Reply:
		if request, ok := h.pending[e.ID]; ok {
			delete(h.pending, e.ID)
			request.reply(e)
		}
	case tracker.Forward:
		h.forward(e)
	case tracker.StateCall:
		h.node.CallState("weights", e.StateCall, func(result storage.StateResult) {
			h.step(tracker.StateResult{StateResult: result})
		})
	}
}

// forward sends a request to the leader, unless another controller has forwarded it already.
func (h *trackerHost) forward(effect tracker.Forward) {
	request := h.pending[effect.ID]
	delete(h.pending, effect.ID)
	if request.fromPeer {
		request.reply(tracker.Reply{Status: http.StatusServiceUnavailable, RetryAfter: h.world.reportInterval()})
		return
	}
	for _, other := range h.world.trackers {
		if other.node.Name == effect.Peer {
			h.world.After(latency, func() { other.send(request.command, true, request.reply) })
		}
	}
}

// send hands a request to the tracker. If the tracker never answers, reply is never called.
func (h *trackerHost) send(command func(id uint64) tracker.Command, fromPeer bool, reply func(tracker.Reply)) {
	if h.runningTracker() == nil {
		return
	}
	h.nextID++
	h.pending[h.nextID] = pendingRequest{command, reply, fromPeer}
	h.step(command(h.nextID))
}

// Use has a name refer to a version, as an operator who asks one controller after another until
// one confirms. Later calls replace earlier ones.
func (w *World) Use(name string, manifest digest.Digest) {
	w.lastUse++
	use, attempts := w.lastUse, 0
	var try func()
	try = func() {
		if use != w.lastUse {
			return
		}
		done := false
		w.trackers[attempts%len(w.trackers)].send(func(id uint64) tracker.Command {
			return tracker.SetManifestCall{ID: id, Name: name, Manifest: manifest}
		}, false, func(r tracker.Reply) { done = done || r.Status == http.StatusOK })
		attempts++
		w.After(w.reportInterval(), func() {
			if !done {
				try()
			}
		})
	}
	try()
}

// sendInventory sends an agent's report to a controller, which decodes and checks it as a real
// one does, and hands the reply to answer.
func (w *World) sendInventory(controller int, inventory distribution.Inventory, answer func(tracker.Reply)) {
	text, err := json.Marshal(inventory)
	if err != nil {
		w.recordViolation("inventory: %v", err)
		return
	}
	w.Bytes.Up += int64(len(text))
	w.Bytes.Inventories++
	decoded := &distribution.Inventory{}
	if err := distribution.Decode(text, decoded); err != nil {
		w.recordViolation("an inventory is refused: %v", err)
		return
	}
	w.trackers[controller].send(func(id uint64) tracker.Command {
		return tracker.InventoryCall{ID: id, Inventory: decoded}
	}, false, func(reply tracker.Reply) {
		text, err := json.Marshal(reply.Body)
		if err != nil {
			w.recordViolation("answer: %v", err)
		}
		w.Bytes.Down += int64(len(text))
		if len(text) > distribution.MaxMessageBytes {
			w.recordViolation("an answer of %d bytes", len(text))
		}
		answer(reply)
	})
}
