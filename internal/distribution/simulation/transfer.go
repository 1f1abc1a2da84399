package simulation

import (
	"bytes"
	"time"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
)

// endpoint is one end of links: what it sends and receives is shared out evenly.
type endpoint struct {
	bytesPerSecond float64 // bytes a second, each way
	hanging        bool    // nothing of it moves, and nothing is said about that
	uploads        []*transfer
	downloads      []*transfer
	MaxUploads     int // at a time, so far
	RefusedUploads int
}

// transfer is a chunk's bytes on their way.
type transfer struct {
	world          *World
	from           *endpoint
	source         *Agent // nil: the store
	to             *Agent
	request        agent.GetChunk
	content        []byte // behind the offset
	doneBytes      float64
	progressAt     time.Duration // when done was true
	bytesPerSecond float64
	planID         int // names the last plan of its end
	lastMovedAt    time.Duration
	ended          bool
	onEnd          func(agent.ChunkResult)
}

// begin starts a transfer, which shares the links of both ends.
func (t *transfer) start() {
	t.progressAt, t.lastMovedAt = t.world.Now, t.world.Now
	t.from.uploads = append(t.from.uploads, t)
	t.to.downloads = append(t.to.downloads, t)
	t.from.MaxUploads = max(t.from.MaxUploads, len(t.from.uploads))
	reshare(t.from, &t.to.endpoint)
	t.world.After(t.request.Timeout, func() { t.end(distribution.FaultSlow) })
	t.watchStall()
}

// watch gives the transfer up when nothing has moved for too long.
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

// progress moves what had time to move.
func (t *transfer) progress() {
	if t.bytesPerSecond > 0 {
		t.doneBytes = min(float64(len(t.content)), t.doneBytes+t.bytesPerSecond*(t.world.Now-t.progressAt).Seconds())
		t.lastMovedAt = t.world.Now
	}
	t.progressAt = t.world.Now
}

// reshare shares out anew the links of some ends.
func reshare(ends ...*endpoint) {
	for _, e := range ends {
		for _, t := range e.uploads {
			t.replan()
		}
		for _, t := range e.downloads {
			t.replan()
		}
	}
}

// plan sets the speed by what both ends have to share out now, and when the transfer ends.
func (t *transfer) replan() {
	t.progress()
	to := &t.to.endpoint
	t.bytesPerSecond = min(t.from.bytesPerSecond/float64(len(t.from.uploads)), to.bytesPerSecond/float64(len(to.downloads)))
	if t.from.hanging || to.hanging || t.world.arePartitioned(t.zone(), t.to.zone) {
		t.bytesPerSecond = 0
		return
	}
	t.planID++
	plan := t.planID
	rest := float64(len(t.content)) - t.doneBytes
	t.world.After(time.Duration(rest/t.bytesPerSecond*float64(time.Second))+time.Microsecond, func() {
		if !t.ended && t.planID == plan {
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

// storeZone is where the store is: apart from every zone that is cut off.
const storeZone = "store"

// end ends a transfer; without a fault all has arrived.
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

func removeTransfer(list []*transfer, t *transfer) []*transfer {
	out := list[:0:0]
	for _, x := range list {
		if x != t {
			out = append(out, x)
		}
	}
	return out
}

// write stores what has arrived, as the real agent does.
func (a *Agent) storeArrived(fetch agent.GetChunk, arrived []byte, fault distribution.Fault) agent.ChunkResult {
	r := agent.ChunkResult{ID: fetch.ID}
	a.ReceivedBytes[fetch.Chunk.Digest] += int64(len(arrived))
	var err error
	r.ReceivedBytes, r.PartialBytes, err = a.store.Write(fetch.Chunk, fetch.Offset, bytes.NewReader(arrived))
	r.Fault = agent.ClassifyFetch(err, r.ReceivedBytes, fault)
	return r
}
