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

// PathActive is the path prefix for reading the active version of a name.
const PathActive = "/v1/active/"

// Headers of responses below PathActive.
const (
	HeaderManifest = distribution.HeaderManifest
	HeaderRevision = "Oakpick-Revision"
)

// handler returns the HTTP handler for peers, for the model server on the same machine, and for
// metrics. Uploads that wait for the rate limiter are aborted when the context ends.
func (a *Agent) handler(ctx context.Context) http.Handler {
	uploads := newLimiter(a.settings.UploadBytesPerSecond)
	blobs := &registry.Handler{
		Content:    peerContent{a},
		Slots:      a.uploadSlots,
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

// serveActive sends the content of the version that is active when the request arrives, even if
// another version is activated during the response.
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
	defer version.Close() //nolint:errcheck // opened for reading only
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(version.Size, 10))
	w.Header().Set(HeaderManifest, version.Manifest.String())
	w.Header().Set(HeaderRevision, strconv.FormatInt(version.Revision, 10))
	if r.Method == http.MethodHead {
		return
	}
	_, _ = io.Copy(w, version) // a client that receives fewer bytes than Content-Length retries
}

// peerContent provides the stored manifests and chunks to peers.
type peerContent struct{ agent *Agent }

// Manifest returns a stored manifest by digest.
func (c peerContent) Manifest(_, reference string) ([]byte, digest.Digest, error) {
	m, err := c.agent.store.Manifest(digest.Digest(reference)) // only the store resolves tags
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

// translateNotStored turns chunkstore.ErrNotStored into registry.ErrNotFound.
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

// countingWriter is a ResponseWriter that counts uploaded bytes.
type countingWriter struct {
	http.ResponseWriter
	metrics *metrics
}

// Write writes to the response and counts the bytes.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.metrics.uploadedBytes.Add(float64(n))
	return n, err
}
