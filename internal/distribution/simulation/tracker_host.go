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

// trackerHost runs the tracker of a controller, with a new tracker for each incarnation of the
// controller's process.
type trackerHost struct {
	world       *World
	node        *fake.Controller
	incarnation int
	tracker     *tracker.Tracker
	pending     map[uint64]pendingRequest
	nextID      uint64
}

// pendingRequest is a request to the tracker that hasn't been answered.
type pendingRequest struct {
	command  func(id uint64) tracker.Command
	reply    func(tracker.Reply)
	fromPeer bool // forwarded by another controller
}

const (
	trackerTickInterval = 50 * time.Millisecond
	networkLatency      = 5 * time.Millisecond // one way
)

// runningTracker returns the tracker of the controller's running process, or nil if the process is
// down or paused.
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

// step passes a command to the tracker and carries out the resulting effects.
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

// forward sends a request to the leader. A request that another controller has forwarded already
// is refused instead.
func (h *trackerHost) forward(effect tracker.Forward) {
	request := h.pending[effect.ID]
	delete(h.pending, effect.ID)
	if request.fromPeer {
		request.reply(tracker.Reply{Status: http.StatusServiceUnavailable, RetryAfter: h.world.reportInterval()})
		return
	}
	for _, other := range h.world.trackers {
		if other.node.Name == effect.Peer {
			h.world.After(networkLatency, func() { other.send(request.command, true, request.reply) })
		}
	}
}

// send passes a request to the tracker. If the tracker isn't running or doesn't answer, reply is
// never called.
func (h *trackerHost) send(command func(id uint64) tracker.Command, fromPeer bool, reply func(tracker.Reply)) {
	if h.runningTracker() == nil {
		return
	}
	h.nextID++
	h.pending[h.nextID] = pendingRequest{command, reply, fromPeer}
	h.step(command(h.nextID))
}

// SetManifest points a name to a manifest. Like an operator, it asks one controller after another
// until one confirms the change. Each call, for any name, ends the retries of earlier calls.
func (w *World) SetManifest(name string, manifest digest.Digest) {
	w.lastSetManifestID++
	setManifestID, attempts := w.lastSetManifestID, 0
	var try func()
	try = func() {
		if setManifestID != w.lastSetManifestID {
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

// sendInventory sends an agent's inventory to a controller and passes the reply to answer. As on
// the network, the inventory is encoded as JSON, then decoded and validated.
func (w *World) sendInventory(controller int, inventory distribution.Inventory, answer func(tracker.Reply)) {
	text, err := json.Marshal(inventory)
	if err != nil {
		w.recordViolation("encoding an inventory: %v", err)
		return
	}
	w.Traffic.UpBytes += int64(len(text))
	w.Traffic.Inventories++
	decoded := &distribution.Inventory{}
	if err := distribution.Decode(text, decoded); err != nil {
		w.recordViolation("an inventory was rejected: %v", err)
		return
	}
	w.trackers[controller].send(func(id uint64) tracker.Command {
		return tracker.InventoryCall{ID: id, Inventory: decoded}
	}, false, func(reply tracker.Reply) {
		text, err := json.Marshal(reply.Body)
		if err != nil {
			w.recordViolation("encoding a reply: %v", err)
		}
		w.Traffic.DownBytes += int64(len(text))
		if len(text) > distribution.MaxMessageBytes {
			w.recordViolation("a reply of %d bytes exceeds the size limit", len(text))
		}
		answer(reply)
	})
}
