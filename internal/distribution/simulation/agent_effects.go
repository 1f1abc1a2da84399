package simulation

import (
	"io"
	"net/http"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
	"oakpick/internal/distribution/tracker"
)

// execute carries out an effect as the real agent does.
func (a *Agent) execute(effect agent.Effect) {
	switch e := effect.(type) {
	case agent.Report:
		a.ReportedWaits = e.Inventory.Waits
		a.report(e.Inventory)
	case agent.GetManifest:
		a.schedule(2*networkLatency, func() agent.Event { return a.getManifest(e) })
	case agent.GetChunkSet:
		a.getChunkSet(e)
	case agent.GetChunk:
		a.getChunk(e)
	case agent.CancelChunk:
		a.cancelChunk(e)
	case agent.Activate:
		a.schedule(networkLatency, func() agent.Event { return a.activate(e) })
	case agent.Remove:
		a.schedule(networkLatency, func() agent.Event {
			removed, err := a.store.Remove(e.Chunk)
			return agent.RemoveResult{Chunk: e.Chunk, Removed: removed && err == nil}
		})
	case agent.Verify:
		a.schedule(networkLatency, func() agent.Event {
			if intact, err := a.store.Verify(e.Chunk); err != nil || intact {
				return agent.Tick{}
			}
			return agent.ChunkLost(e)
		})
	}
}

// report sends an inventory to one controller. If this controller refuses the inventory, or
// doesn't reply within the report interval, the next inventory goes to the next controller.
func (a *Agent) report(inventory distribution.Inventory) {
	incarnation, finished := a.incarnation, false
	finish := func(e agent.Event) {
		if a.Up && a.incarnation == incarnation && !finished {
			finished = true
			a.step(e)
		}
	}
	if !a.TrackersUnreachable && !a.world.PartitionedZones[a.zone] {
		controllerIndex := a.controllerIndex
		a.world.After(networkLatency, func() {
			a.world.sendInventory(controllerIndex, inventory, func(reply tracker.Reply) {
				if answer, ok := reply.Body.(distribution.InventoryResponse); ok && reply.Status == http.StatusOK {
					a.world.After(networkLatency, func() { finish(agent.TrackerResponse{Response: answer}) })
					return
				}
				a.controllerIndex = (controllerIndex + 1) % len(a.world.Controllers)
				a.world.After(networkLatency, func() { finish(agent.TrackerFailed{RetryAfter: reply.RetryAfter}) })
			})
		})
	}
	a.world.After(a.world.reportInterval(), func() {
		if !finished {
			a.controllerIndex = (a.controllerIndex + 1) % len(a.world.Controllers)
			finish(agent.TrackerFailed{})
		}
	})
}

// findPeer returns the running agent with the given name, or nil if there is none.
func (a *Agent) findPeer(name string) *Agent {
	for _, peer := range a.world.Agents {
		if peer.Name == name && peer.Up {
			return peer
		}
	}
	return nil
}

// getChunkSet asks a peer which chunks it holds.
func (a *Agent) getChunkSet(e agent.GetChunkSet) {
	result := agent.ChunkSetResult{Source: e.From.Name, Manifest: e.Manifest}
	peer := a.findPeer(e.From.Name)
	switch {
	case peer == nil:
		result.Fault = distribution.FaultUnreachable
		a.schedule(networkLatency, func() agent.Event { return result })
	case peer.hanging || a.world.arePartitioned(a.zone, peer.zone):
		result.Fault = distribution.FaultSlow
		a.schedule(2*a.world.reportInterval(), func() agent.Event { return result })
	default:
		a.schedule(2*networkLatency, func() agent.Event {
			if peer.Up {
				result.Chunks = peer.chunkSet(e.Manifest)
			} else {
				result.Fault = distribution.FaultUnreachable
			}
			return result
		})
	}
}

// getManifest reads a manifest from disk if the effect names no source. Otherwise it fetches the
// manifest from a peer or the store, and writes it to disk.
func (a *Agent) getManifest(e agent.GetManifest) agent.Event {
	result := agent.ManifestResult{Source: e.From.Name, Digest: e.Digest, Fault: distribution.FaultMissing}
	if e.From.Name == "" {
		result.Manifest = a.storedManifest(e.Digest)
		return result
	}
	var reachable bool
	if result.Manifest, reachable = a.manifestFrom(e.From.Name, e.Digest); !reachable {
		result.Fault = distribution.FaultUnreachable
		return result
	}
	if result.Manifest != nil {
		if err := a.store.PutManifest(result.Manifest); err != nil {
			result.Manifest, result.Fault = nil, distribution.FaultDisk
		}
	}
	return result
}

// manifestFrom returns a manifest from a source, or nil if the source doesn't have it, and whether
// the source is reachable.
func (a *Agent) manifestFrom(source string, d digest.Digest) (m *distribution.Manifest, reachable bool) {
	if source == distribution.StoreSource {
		if a.world.Store.Down || a.world.arePartitioned(a.zone, storeZone) {
			return nil, false
		}
		return a.world.Store.manifests[d], true
	}
	peer := a.findPeer(source)
	if peer == nil || peer.hanging || a.world.arePartitioned(a.zone, peer.zone) {
		return nil, false
	}
	return peer.storedManifest(d), true
}

// storedManifest returns a manifest from the agent's disk, or nil.
func (a *Agent) storedManifest(d digest.Digest) *distribution.Manifest {
	m, err := a.store.Manifest(d)
	if err != nil {
		return nil // after any error, the manifest counts as missing
	}
	return m
}

// chunkSet returns the chunks of a manifest that the agent claims to hold.
func (a *Agent) chunkSet(manifest digest.Digest) distribution.ChunkSet {
	set, known := a.core.Chunks(manifest)
	if a.ClaimsAllChunks && known {
		for i := range set {
			set[i] = 0xff
		}
	}
	return set
}

// getChunk starts a transfer, or reports a fault if the source can't serve the chunk.
func (a *Agent) getChunk(e agent.GetChunk) {
	t := &transfer{world: a.world, to: a, request: e}
	fault := t.open()
	if fault != "" {
		a.schedule(networkLatency, func() agent.Event { return agent.ChunkResult{ID: e.ID, Fault: fault, PartialBytes: e.Offset} })
		return
	}
	var set distribution.ChunkSet
	if t.source != nil {
		set = t.source.chunkSet(e.Manifest)
	}
	incarnation := a.incarnation
	t.onEnd = func(result agent.ChunkResult) {
		delete(a.fetches, e.ID)
		if a.incarnation == incarnation {
			result.Chunks = set
			a.step(result)
		}
	}
	a.fetches[e.ID] = t
	t.start()
}

// cancelChunk cancels a running fetch.
func (a *Agent) cancelChunk(e agent.CancelChunk) {
	t := a.fetches[e.ID]
	if t == nil {
		return
	}
	onEnd := t.onEnd
	t.onEnd = func(result agent.ChunkResult) {
		result.Cancelled = true
		onEnd(result)
	}
	t.end(distribution.FaultUnreachable)
}

// activate makes a version active, and verifies the served content at once.
func (a *Agent) activate(e agent.Activate) agent.Event {
	err := a.store.Activate(e.Name, distribution.ActiveVersion{Manifest: e.Manifest, Revision: e.Revision})
	if err == nil {
		a.ActivatedNames[e.Name] = true
		a.verifyServedContent()
	}
	return agent.ActivateResult{Name: e.Name, Manifest: e.Manifest, Failed: err != nil}
}

// uploadContent returns the bytes that the agent sends for a chunk, or nil if it can't read the
// chunk.
func (a *Agent) uploadContent(d digest.Digest) []byte {
	file, err := a.store.OpenChunk(d)
	if err != nil {
		return nil // the requesting agent is told that the chunk is missing
	}
	defer file.Close() //nolint:errcheck // the file was only read
	content, err := io.ReadAll(file)
	if err != nil {
		return nil
	}
	if a.SendsDamagedChunks {
		return corruptedCopy(content)
	}
	return content
}
