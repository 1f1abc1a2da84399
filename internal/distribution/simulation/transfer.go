package simulation

import (
	"bytes"
	"slices"
	"time"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
)

// endpoint is a machine's link, which its transfers share evenly.
type endpoint struct {
	bytesPerSecond float64 // in each direction
	hanging        bool    // nothing is transferred, and no connection breaks
	uploads        []*transfer
	downloads      []*transfer
	MaxUploads     int // at a time, so far
	RefusedUploads int
}

// transfer is a chunk that is being sent.
type transfer struct {
	world          *World
	from           *endpoint
	source         *Agent // nil: the store
	to             *Agent
	request        agent.GetChunk
	content        []byte // from the requested offset on
	doneBytes      float64
	progressAt     time.Duration // to which doneBytes refers
	bytesPerSecond float64
	planID         int // of the last planned end; earlier ones are void
	lastMovedAt    time.Duration
	ended          bool
	onEnd          func(agent.ChunkResult)
}

// open finds the source and the content of the transfer. A fault says why the source refuses.
func (t *transfer) open() distribution.Fault {
	chunk := t.request.Chunk
	var content []byte
	if t.request.From.Name == distribution.StoreSource {
		t.from = &t.world.Store.endpoint
		if t.world.Store.Down {
			return distribution.FaultUnreachable
		}
		content = t.world.Store.uploadContent(chunk.Digest)
	} else {
		peer := t.to.findPeer(t.request.From.Name)
		if peer == nil {
			return distribution.FaultUnreachable
		}
		t.source, t.from = peer, &peer.endpoint
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
		return distribution.FaultDamaged // the answer's header announces another size
	}
	t.content = content[t.request.Offset:]
	return ""
}

// start starts the transfer and sets the timeouts that the requesting agent has.
func (t *transfer) start() {
	t.progressAt, t.lastMovedAt = t.world.Now, t.world.Now
	t.from.uploads = append(t.from.uploads, t)
	t.to.downloads = append(t.to.downloads, t)
	t.from.MaxUploads = max(t.from.MaxUploads, len(t.from.uploads))
	reshare(t.from, &t.to.endpoint)
	t.world.After(t.request.Timeout, func() { t.end(distribution.FaultSlow) })
	t.watchStall()
}

// watchStall ends the transfer when nothing has been transferred for too long.
func (t *transfer) watchStall() {
	t.world.After(t.request.StallTimeout/4, func() {
		if t.ended {
			return
		}
		t.progress()
		if t.world.Now-t.lastMovedAt >= t.request.StallTimeout {
			t.end(distribution.FaultSlow)
			return
		}
		t.watchStall()
	})
}

// progress accounts for what was transferred since the last time.
func (t *transfer) progress() {
	if t.bytesPerSecond > 0 {
		t.doneBytes = min(float64(len(t.content)), t.doneBytes+t.bytesPerSecond*(t.world.Now-t.progressAt).Seconds())
		t.lastMovedAt = t.world.Now
	}
	t.progressAt = t.world.Now
}

// reshare divides the links of endpoints among their transfers anew.
func reshare(ends ...*endpoint) {
	for _, end := range ends {
		for _, t := range end.uploads {
			t.replan()
		}
		for _, t := range end.downloads {
			t.replan()
		}
	}
}

// replan sets the rate by the share that both endpoints have for the transfer, and plans its end.
func (t *transfer) replan() {
	t.progress()
	to := &t.to.endpoint
	t.bytesPerSecond = min(t.from.bytesPerSecond/float64(len(t.from.uploads)), to.bytesPerSecond/float64(len(to.downloads)))
	if t.from.hanging || to.hanging || t.world.arePartitioned(t.zone(), t.to.zone) {
		t.bytesPerSecond = 0
		return
	}
	t.planID++
	planID := t.planID
	remaining := float64(len(t.content)) - t.doneBytes
	t.world.After(time.Duration(remaining/t.bytesPerSecond*float64(time.Second))+time.Microsecond, func() {
		if !t.ended && t.planID == planID {
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

// storeZone is the zone of the store, which is never partitioned itself.
const storeZone = "store"

// end ends the transfer. Without a fault everything has arrived.
func (t *transfer) end(fault distribution.Fault) {
	if t.ended {
		return
	}
	t.progress()
	t.ended = true
	t.from.uploads = removeTransfer(t.from.uploads, t)
	t.to.downloads = removeTransfer(t.to.downloads, t)
	reshare(t.from, &t.to.endpoint)
	arrived := t.content
	if fault != "" {
		arrived = t.content[:int(t.doneBytes)]
	}
	if t.source == nil {
		t.world.Store.SentBytes[t.request.Chunk.Digest] += int64(len(arrived))
	}
	result := t.to.storeArrived(t.request, arrived, fault) // what a killed process had written stays on its disk
	if t.to.Up {
		t.onEnd(result)
	}
}

// removeTransfer returns a list without a transfer. The given one stays: it may be iterated.
func removeTransfer(transfers []*transfer, removed *transfer) []*transfer {
	return slices.DeleteFunc(slices.Clone(transfers), func(t *transfer) bool { return t == removed })
}

// storeArrived writes what has arrived to disk, as the real agent does.
func (a *Agent) storeArrived(fetch agent.GetChunk, arrived []byte, fault distribution.Fault) agent.ChunkResult {
	result := agent.ChunkResult{ID: fetch.ID}
	a.ReceivedBytes[fetch.Chunk.Digest] += int64(len(arrived))
	var err error
	result.ReceivedBytes, result.PartialBytes, err = a.store.Write(fetch.Chunk, fetch.Offset, bytes.NewReader(arrived))
	result.Fault = agent.ClassifyFetch(err, result.ReceivedBytes, fault)
	return result
}
