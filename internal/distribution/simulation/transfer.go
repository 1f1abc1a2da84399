package simulation

import (
	"bytes"
	"time"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
)

// endpoint is one end of links: what it sends and receives is shared out evenly.
type endpoint struct {
	rate         float64 // bytes a second, each way
	hangs        bool    // nothing of it moves, and nothing is said about that
	uploads      []*transfer
	downloads    []*transfer
	MostUploads  int // at a time, so far
	RefusedSlots int
}

// transfer is a chunk's bytes on their way.
type transfer struct {
	w        *World
	from     *endpoint
	source   *Agent // nil: the store
	to       *Agent
	fetch    agent.GetChunk
	content  []byte // behind the offset
	done     float64
	at       time.Duration // when done was true
	speed    float64
	planned  int // names the last plan of its end
	moved    time.Duration
	over     bool
	answered func(agent.ChunkResult)
}

// begin starts a transfer, which shares the links of both ends.
func (t *transfer) begin() {
	t.at, t.moved = t.w.Now, t.w.Now
	t.from.uploads = append(t.from.uploads, t)
	t.to.downloads = append(t.to.downloads, t)
	t.from.MostUploads = max(t.from.MostUploads, len(t.from.uploads))
	reshare(t.from, &t.to.endpoint)
	t.w.After(t.fetch.Timeout, func() { t.end(distribution.FaultSlow) })
	t.watch()
}

// watch gives the transfer up when nothing has moved for too long.
func (t *transfer) watch() {
	t.w.After(t.fetch.StallTimeout/4, func() {
		if t.over {
			return
		}
		t.progress()
		if t.w.Now-t.moved >= t.fetch.StallTimeout {
			t.end(distribution.FaultSlow)
			return
		}
		t.watch()
	})
}

// progress moves what had time to move.
func (t *transfer) progress() {
	if t.speed > 0 {
		t.done = min(float64(len(t.content)), t.done+t.speed*(t.w.Now-t.at).Seconds())
		t.moved = t.w.Now
	}
	t.at = t.w.Now
}

// reshare shares out anew the links of some ends.
func reshare(ends ...*endpoint) {
	for _, e := range ends {
		for _, t := range e.uploads {
			t.plan()
		}
		for _, t := range e.downloads {
			t.plan()
		}
	}
}

// plan sets the speed by what both ends have to share out now, and when the transfer ends.
func (t *transfer) plan() {
	t.progress()
	to := &t.to.endpoint
	t.speed = min(t.from.rate/float64(len(t.from.uploads)), to.rate/float64(len(to.downloads)))
	if t.from.hangs || to.hangs || t.w.apart(t.zone(), t.to.zone) {
		t.speed = 0
		return
	}
	t.planned++
	plan := t.planned
	rest := float64(len(t.content)) - t.done
	t.w.After(time.Duration(rest/t.speed*float64(time.Second))+time.Microsecond, func() {
		if !t.over && t.planned == plan {
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
	if t.over {
		return
	}
	t.progress()
	t.over = true
	t.from.uploads = without(t.from.uploads, t)
	t.to.downloads = without(t.to.downloads, t)
	reshare(t.from, &t.to.endpoint)
	arrived := t.content
	if fault != "" {
		arrived = t.content[:int(t.done)]
	}
	if t.source == nil {
		t.w.Store.Sent[t.fetch.Chunk.Digest] += int64(len(arrived))
	}
	result := t.to.write(t.fetch, arrived, fault) // what a killed process had written stays on its disk
	if t.to.Up {
		t.answered(result)
	}
}

func without(list []*transfer, t *transfer) []*transfer {
	out := list[:0:0]
	for _, x := range list {
		if x != t {
			out = append(out, x)
		}
	}
	return out
}

// write stores what has arrived, as the real agent does.
func (a *Agent) write(fetch agent.GetChunk, arrived []byte, fault distribution.Fault) agent.ChunkResult {
	r := agent.ChunkResult{ID: fetch.ID}
	a.Received[fetch.Chunk.Digest] += int64(len(arrived))
	var err error
	r.ReceivedBytes, r.PartialBytes, err = a.store.Write(fetch.Chunk, fetch.Offset, bytes.NewReader(arrived))
	r.Fault = agent.ClassifyFetch(err, r.ReceivedBytes, fault)
	return r
}
