package agent

import (
	"context"
	"io"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/registry"
)

// execute carries out an effect of Core. Requests and file access run in goroutines, whose results
// are queued as events.
func (a *Agent) execute(ctx context.Context, effect Effect) {
	switch e := effect.(type) {
	case Report:
		a.start(ctx, func() Event { return a.tracker.report(ctx, e.Inventory) })
	case GetManifest:
		a.start(ctx, func() Event { return a.getManifest(ctx, e) })
	case GetChunkSet:
		a.start(ctx, func() Event { return a.getChunkSet(ctx, e) })
	case GetChunk:
		a.startChunkFetch(ctx, e)
	case CancelChunk:
		if cancel := a.cancels[e.ID]; cancel != nil {
			cancel()
		}
	case Activate:
		a.start(ctx, func() Event { return a.activate(e) })
	case Remove:
		a.start(ctx, func() Event { return a.remove(e) })
	case Verify:
		a.start(ctx, func() Event { return a.verify(e) })
	case Log:
		a.log.Info(e.Text, e.Args...)
	}
}

// logDiskError logs an error of the chunk store. It ignores nil.
func (a *Agent) logDiskError(err error) {
	if err != nil {
		a.log.Error("chunk store error", "error", err.Error())
	}
}

// sourceAddress returns the address of an agent or of the store.
func (a *Agent) sourceAddress(p Endpoint) string {
	if p.Name == distribution.StoreSource {
		return a.settings.Store
	}
	return p.Address
}

// getManifest reads a manifest from disk, or fetches it from an agent or the store and stores it.
func (a *Agent) getManifest(ctx context.Context, e GetManifest) Event {
	result := ManifestResult{Source: e.From.Name, Digest: e.Digest}
	if e.From.Name == "" {
		m, err := a.store.Manifest(e.Digest)
		if err != nil {
			result.Fault = distribution.FaultMissing // after any error the manifest is fetched instead
			return result
		}
		result.Manifest = m
		return result
	}
	m, fetched := a.client.Manifest(ctx, a.sourceAddress(e.From), e.Name, e.Digest)
	if fetched.Fault != "" {
		result.Fault = fetched.Fault
		return result
	}
	if err := a.store.PutManifest(m); err != nil {
		a.logDiskError(err)
		result.Fault = distribution.FaultDisk
		return result
	}
	result.Manifest = m
	return result
}

// getChunkSet asks a peer which chunks of a manifest it holds.
func (a *Agent) getChunkSet(ctx context.Context, e GetChunkSet) Event {
	fetched := a.client.Chunks(ctx, e.From.Address, e.Name, e.Manifest)
	return ChunkSetResult{Source: e.From.Name, Manifest: e.Manifest, Chunks: fetched.Chunks, Fault: fetched.Fault}
}

// startChunkFetch starts a fetch that CancelChunk can cancel.
func (a *Agent) startChunkFetch(ctx context.Context, e GetChunk) {
	fetchCtx, cancel := context.WithCancel(ctx)
	a.cancels[e.ID] = cancel
	a.start(ctx, func() Event {
		defer cancel()
		return a.getChunk(fetchCtx, e)
	})
}

// getChunk fetches a chunk and writes it to the chunk store.
func (a *Agent) getChunk(ctx context.Context, e GetChunk) Event {
	result := ChunkResult{ID: e.ID, PartialBytes: e.Offset}
	request := registry.BlobRequest{
		Address: a.sourceAddress(e.From), Name: e.Name, Manifest: e.Manifest, Chunk: e.Chunk, Offset: e.Offset,
		StallTimeout: e.StallTimeout, Timeout: e.Timeout,
	}
	var storeErr error
	fetched := a.client.Blob(ctx, request, func(body io.Reader) {
		result.ReceivedBytes, result.PartialBytes, storeErr = a.store.Write(e.Chunk, e.Offset, body)
	})
	result.Chunks, result.RetryAfter = fetched.Chunks, fetched.RetryAfter
	result.Fault = ClassifyFetch(storeErr, result.ReceivedBytes, fetched.Fault)
	if result.Fault == distribution.FaultDisk {
		a.logDiskError(storeErr)
	}
	result.Cancelled = result.Fault != "" && ctx.Err() != nil
	return result
}

// activate makes a version the active one of a name, if all of its chunks are stored.
func (a *Agent) activate(e Activate) Event {
	err := a.store.Activate(e.Name, distribution.ActiveVersion{Manifest: e.Manifest, Revision: e.Revision})
	if err != nil {
		a.log.Error("failed to activate version", "name", e.Name, "manifest", e.Manifest.String(), "error", err.Error())
	}
	return ActivateResult{e.Name, e.Manifest, err != nil}
}

// remove deletes a chunk from disk, unless it is being read.
func (a *Agent) remove(e Remove) Event {
	removed, err := a.store.Remove(e.Chunk)
	a.logDiskError(err)
	return RemoveResult{e.Chunk, removed}
}

// verify reads a stored chunk and checks its digest. A chunk that can't be read doesn't count as
// lost, because the disk error may be temporary.
func (a *Agent) verify(e Verify) Event {
	intact, err := a.store.Verify(e.Chunk)
	a.logDiskError(err)
	if err != nil || intact {
		return Tick{}
	}
	return ChunkLost(e)
}
