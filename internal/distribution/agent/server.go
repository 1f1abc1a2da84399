package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/opencontainers/go-digest"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
	"oakpick/internal/distribution/registry"
)

// PathActive is the path prefix below which the active version of a name is read.
const PathActive = "/v1/active/"

// Headers of an answer below PathActive.
const (
	HeaderManifest = distribution.ManifestHeader
	HeaderRevision = "Oakpick-Revision"
)

// handler serves peers, the model server beside the agent, and metrics. Uploads that wait for
// their rate limit end with the context.
func (a *Agent) handler(ctx context.Context) http.Handler {
	uploads := newLimiter(a.settings.UploadBytes)
	blobs := &registry.Handler{
		Content:    peerContent{a},
		Slots:      a.slots,
		RetryAfter: a.core.settings.ReportInterval,
		OnUpload:   a.metrics.countUpload,
		WrapBody: func(w http.ResponseWriter) http.ResponseWriter {
			w = countingWriter{w, a.metrics}
			if uploads == nil {
				return w
			}
			return registry.RateLimitedWriter{ResponseWriter: w, Context: ctx, Limit: uploads}
		},
	}
	mux := http.NewServeMux()
	mux.Handle("/v2/", blobs)
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathActive, a.serveActive)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// serveActive sends all bytes of the version that is active now, also if another one is
// activated meanwhile.
func (a *Agent) serveActive(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, PathActive)
	if err := distribution.CheckName(name); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := a.store.OpenActive(name)
	if errors.Is(err, chunkstore.ErrNotStored) {
		http.Error(w, "name: nothing is active", http.StatusNotFound)
		return
	}
	if err != nil {
		a.logDiskError(err)
		http.Error(w, "it can't be read", http.StatusInternalServerError)
		return
	}
	defer version.Close() //nolint:errcheck // it was only read
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(version.Size, 10))
	w.Header().Set(HeaderManifest, version.Manifest.String())
	w.Header().Set(HeaderRevision, strconv.FormatInt(version.Revision, 10))
	if r.Method == http.MethodHead {
		return
	}
	_, _ = io.Copy(w, version) // a reader that gets fewer bytes than announced asks again
}

// peerContent is what peers may fetch: the stored manifests and chunks.
type peerContent struct{ agent *Agent }

// Manifest returns a stored manifest by digest.
func (c peerContent) Manifest(_, reference string) ([]byte, digest.Digest, error) {
	m, err := c.agent.store.Manifest(digest.Digest(reference)) // by digest only: tags are the store's
	if err != nil {
		return nil, "", translateNotStored(err)
	}
	return m.Raw, m.Digest, nil
}

// Blob opens a stored chunk.
func (c peerContent) Blob(_ string, d digest.Digest) (registry.Blob, error) {
	file, err := c.agent.store.OpenChunk(d)
	if err != nil {
		return nil, translateNotStored(err)
	}
	return file, nil
}

// translateNotStored turns the chunk store's error for what isn't stored into the registry's.
func translateNotStored(err error) error {
	if errors.Is(err, chunkstore.ErrNotStored) {
		return registry.ErrNotFound
	}
	return err
}

// Chunks returns which chunks of a manifest are stored.
func (c peerContent) Chunks(manifest digest.Digest) distribution.ChunkSet {
	c.agent.mu.Lock()
	defer c.agent.mu.Unlock()
	return c.agent.chunkSets[manifest]
}

// countingWriter counts the bytes of uploads.
type countingWriter struct {
	http.ResponseWriter
	metrics *metrics
}

// Write writes and counts.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.metrics.uploadedBytes.Add(float64(n))
	return n, err
}
