package agent

import (
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

// PathActive is where the bytes of the version that a name is served from are read.
const PathActive = "/v1/active/"

// Headers of such an answer.
const (
	HeaderManifest = distribution.ManifestHeader
	HeaderRevision = "Oakpick-Revision"
)

// handler serves peers, the model server beside the agent, and metrics.
func (a *Agent) handler() http.Handler {
	uploads := limiter(a.settings.UploadBytes)
	blobs := &registry.Handler{
		Content: content{a}, Slots: a.slots, RetryAfter: a.core.settings.ReportInterval, Uploaded: a.metrics.uploaded,
		Body: func(w http.ResponseWriter) http.ResponseWriter {
			w = countingWriter{w, a.metrics}
			if uploads == nil {
				return w
			}
			return registry.PacedWriter{ResponseWriter: w, Context: a.ctx, Limit: uploads}
		},
	}
	mux := http.NewServeMux()
	mux.Handle("/v2/", blobs)
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathActive, a.serveActive)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// serveActive gives all bytes of the active version of a name: of one version, whatever is
// activated meanwhile.
func (a *Agent) serveActive(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, PathActive)
	if err := distribution.CheckName(name); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := a.store.OpenActive(name)
	if errors.Is(err, chunkstore.ErrUnknown) {
		http.Error(w, "name: nothing is active", http.StatusNotFound)
		return
	}
	if err != nil {
		a.disk(err)
		http.Error(w, "it can't be read", http.StatusInternalServerError)
		return
	}
	defer version.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(version.Size, 10))
	w.Header().Set(HeaderManifest, version.Manifest.String())
	w.Header().Set(HeaderRevision, strconv.FormatInt(version.Revision, 10))
	if r.Method == http.MethodHead {
		return
	}
	_, _ = io.Copy(w, version) // a reader that gets fewer bytes than announced asks again
}

// content is what peers may fetch.
type content struct{ agent *Agent }

func (c content) Manifest(_, reference string) ([]byte, digest.Digest, error) {
	m, err := c.agent.store.Manifest(digest.Digest(reference)) // by digest only: tags are the store's
	if err != nil {
		return nil, "", unknown(err)
	}
	return m.Raw, m.Digest, nil
}

func (c content) Blob(_ string, d digest.Digest) (registry.Blob, error) {
	file, err := c.agent.store.OpenChunk(d)
	if err != nil {
		return nil, unknown(err)
	}
	return file, nil
}

func unknown(err error) error {
	if errors.Is(err, chunkstore.ErrUnknown) {
		return registry.ErrUnknown
	}
	return err
}

func (c content) Chunks(manifest digest.Digest) distribution.ChunkSet {
	c.agent.mu.Lock()
	defer c.agent.mu.Unlock()
	return c.agent.held[manifest]
}

// countingWriter counts the bytes of uploads.
type countingWriter struct {
	http.ResponseWriter
	metrics *metrics
}

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.metrics.uploadedBytes.Add(float64(n))
	return n, err
}
