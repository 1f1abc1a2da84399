package simulation

import (
	"bytes"
	"slices"
	"time"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
)

// networkLink is the network link of a machine. Uploads share its bandwidth evenly, and so do
// downloads.
type networkLink struct {
	bytesPerSecond float64 // in each direction
	hanging        bool    // transfers stall, but connections don't break
	uploads        []*transfer
	downloads      []*transfer
	PeakUploads    int // highest number of concurrent uploads so far
	RefusedUploads int // because all upload slots were in use
}

// transfer is the transfer of a chunk from a source to an agent.
type transfer struct {
	world             *World
	from              *networkLink
	source            *Agent // nil if the source is the store
	to                *Agent
	request           agent.GetChunk
	content           []byte // starting at the requested offset
	transferredBytes  float64
	progressUpdatedAt time.Duration // last update of transferredBytes
	bytesPerSecond    float64
	endTimerID        int           // of the latest timer for the end; earlier timers are ignored
	lastProgressAt    time.Duration // last update at which the rate wasn't 0
	ended             bool
	onEnd             func(agent.ChunkResult)
}

// open sets the source and the content of the transfer. It returns a fault if the source can't
// serve the request.
func (t *transfer) open() distribution.Fault {
	chunk := t.request.Chunk
	var content []byte
	if t.request.From.Name == distribution.StoreSource {
		t.from = &t.world.Store.networkLink
		if t.world.Store.Down {
			return distribution.FaultUnreachable
		}
		content = t.world.Store.uploadContent(chunk.Digest)
	} else {
		peer := t.to.findPeer(t.request.From.Name)
		if peer == nil {
			return distribution.FaultUnreachable
		}
		t.source, t.from = peer, &peer.networkLink
		if !peer.hanging && len(peer.uploads) >= peer.UploadSlots {
			peer.RefusedUploads++
			return distribution.FaultBusy
		}
		content = peer.uploadContent(chunk.Digest)
	}
	if content == nil {
		return distribution.FaultMissing
	}
	if int64(len(content)) != chunk.Size {
		return distribution.FaultDamaged // the response header announces another size
	}
	t.content = content[t.request.Offset:]
	return ""
}

// start starts the transfer, and the timers for its request timeout and its stall timeout.
func (t *transfer) start() {
	t.progressUpdatedAt, t.lastProgressAt = t.world.Now, t.world.Now
	t.from.uploads = append(t.from.uploads, t)
	t.to.downloads = append(t.to.downloads, t)
	t.from.PeakUploads = max(t.from.PeakUploads, len(t.from.uploads))
	reallocateBandwidth(t.from, &t.to.networkLink)
	t.world.After(t.request.Timeout, func() { t.end(distribution.FaultSlow) })
	t.watchStall()
}

// watchStall ends the transfer when it has made no progress for the stall timeout.
func (t *transfer) watchStall() {
	t.world.After(t.request.StallTimeout/4, func() {
		if t.ended {
			return
		}
		t.updateProgress()
		if t.world.Now-t.lastProgressAt >= t.request.StallTimeout {
			t.end(distribution.FaultSlow)
			return
		}
		t.watchStall()
	})
}

// updateProgress adds the bytes that were transferred since the last update.
func (t *transfer) updateProgress() {
	if t.bytesPerSecond > 0 {
		t.transferredBytes = min(float64(len(t.content)), t.transferredBytes+t.bytesPerSecond*(t.world.Now-t.progressUpdatedAt).Seconds())
		t.lastProgressAt = t.world.Now
	}
	t.progressUpdatedAt = t.world.Now
}

// reallocateBandwidth updates the rates of all transfers of the given links.
func reallocateBandwidth(links ...*networkLink) {
	for _, link := range links {
		for _, t := range link.uploads {
			t.updateRate()
		}
		for _, t := range link.downloads {
			t.updateRate()
		}
	}
}

// updateRate sets the rate to the smaller of the bandwidth shares that the source and the receiver
// have for the transfer, and sets a timer for the end of the transfer. The rate is 0 while one of
// them hangs or a partition separates them.
func (t *transfer) updateRate() {
	t.updateProgress()
	to := &t.to.networkLink
	t.bytesPerSecond = min(t.from.bytesPerSecond/float64(len(t.from.uploads)), to.bytesPerSecond/float64(len(to.downloads)))
	if t.from.hanging || to.hanging || t.world.arePartitioned(t.zone(), t.to.zone) {
		t.bytesPerSecond = 0
		return
	}
	t.endTimerID++
	timerID := t.endTimerID
	remaining := float64(len(t.content)) - t.transferredBytes
	t.world.After(time.Duration(remaining/t.bytesPerSecond*float64(time.Second))+time.Microsecond, func() {
		if !t.ended && t.endTimerID == timerID {
			t.end("")
		}
	})
}

func (t *transfer) zone() string {
	if t.source == nil {
		return storeZone
	}
	return t.source.zone
}

// storeZone is the zone of the store. This zone itself is never partitioned.
const storeZone = "store"

// end ends the transfer. An empty fault means that all bytes have been received.
func (t *transfer) end(fault distribution.Fault) {
	if t.ended {
		return
	}
	t.updateProgress()
	t.ended = true
	t.from.uploads = withoutTransfer(t.from.uploads, t)
	t.to.downloads = withoutTransfer(t.to.downloads, t)
	reallocateBandwidth(t.from, &t.to.networkLink)
	received := t.content
	if fault != "" {
		received = t.content[:int(t.transferredBytes)]
	}
	if t.source == nil {
		t.world.Store.SentBytes[t.request.Chunk.Digest] += int64(len(received))
	}
	// A killed process gets no result, but the received bytes stay on its disk.
	result := t.to.storeReceived(t.request, received, fault)
	if t.to.Up {
		t.onEnd(result)
	}
}

// withoutTransfer returns a copy of a list without one transfer. The list itself doesn't change,
// because callers may be iterating over it.
func withoutTransfer(transfers []*transfer, removed *transfer) []*transfer {
	return slices.DeleteFunc(slices.Clone(transfers), func(t *transfer) bool { return t == removed })
}

// storeReceived writes the received bytes to disk as the real agent does, and returns the result
// of the fetch.
func (a *Agent) storeReceived(fetch agent.GetChunk, received []byte, fault distribution.Fault) agent.ChunkResult {
	result := agent.ChunkResult{ID: fetch.ID}
	a.ReceivedBytes[fetch.Chunk.Digest] += int64(len(received))
	var err error
	result.ReceivedBytes, result.PartialBytes, err = a.store.Write(fetch.Chunk, fetch.Offset, bytes.NewReader(received))
	result.Fault = agent.ClassifyFetch(err, result.ReceivedBytes, fault)
	return result
}
