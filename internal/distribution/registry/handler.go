// Package registry implements the read side of the OCI distribution specification: the handler
// with which stores and agents serve manifests and blobs, and the client that fetches them.
package registry

import (
	"encoding/base64"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/opencontainers/go-digest"
	specs "github.com/opencontainers/image-spec/specs-go/v1"

	"oakpick/internal/distribution"
)

// Paths and headers of the OCI distribution specification.
const (
	pathBase      = "/v2/"
	pathManifests = "/manifests/"
	pathBlobs     = "/blobs/"
	headerDigest  = "Docker-Content-Digest"
)

// Blob is a blob that is open for reading.
type Blob interface {
	io.ReadSeekCloser
}

// Content provides the manifests and blobs that a Handler serves.
type Content interface {
	// Manifest returns the manifest with the given tag or digest, and the manifest's digest.
	Manifest(name, reference string) ([]byte, digest.Digest, error)
	// Blob opens a blob.
	Blob(name string, d digest.Digest) (Blob, error)
	// Chunks returns which chunks of a manifest the content includes. If it returns nil, the
	// response has no chunks header.
	Chunks(manifest digest.Digest) distribution.ChunkSet
}

// Slots is a semaphore that limits the number of concurrent uploads.
type Slots chan struct{}

// NewSlots returns a semaphore with the given number of slots, all of them free.
func NewSlots(slots int) Slots { return make(Slots, slots) }

// tryAcquire takes a slot if one is free, and reports whether it did.
func (s Slots) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

// release frees a slot.
func (s Slots) release() { <-s }

// InUse returns the number of slots that are in use.
func (s Slots) InUse() int { return len(s) }

// Handler serves Content over HTTP.
type Handler struct {
	Content Content
	Slots   Slots
	// RetryAfter is the delay that the Retry-After header requests when no slot is free. It is
	// rounded down to whole seconds, but the header requests at least one second.
	RetryAfter time.Duration
	// WrapBody wraps the response writer of a blob, for example to limit or count its bytes. It
	// may be nil.
	WrapBody func(http.ResponseWriter) http.ResponseWriter
	// OnUpload is called for every valid GET request for a blob. The parameter admitted tells
	// whether an upload slot was free. OnUpload may be nil.
	OnUpload func(admitted bool)
}

// ServeHTTP handles requests for paths below /v2/.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		writeError(w, http.StatusMethodNotAllowed, codeUnsupported, "only the read side is served")
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, pathBase)
	if !ok {
		writeError(w, http.StatusNotFound, codeUnsupported, "no such path")
		return
	}
	if rest == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if name, reference, found := cutLast(rest, pathManifests); found {
		h.serveManifest(w, r, name, reference)
		return
	}
	if name, reference, found := cutLast(rest, pathBlobs); found {
		h.serveBlob(w, r, name, reference)
		return
	}
	writeError(w, http.StatusNotFound, codeUnsupported, "no such path")
}

// cutLast splits s around the last separator. Repository names may contain the separator too, so
// splitting around the first one would be wrong.
func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+len(separator):], true
}

// serveManifest handles a request for a manifest by tag or digest.
func (h *Handler) serveManifest(w http.ResponseWriter, r *http.Request, name, reference string) {
	if err := distribution.CheckName(name); err != nil {
		writeError(w, http.StatusBadRequest, codeNameInvalid, err.Error())
		return
	}
	if err := distribution.CheckReference(reference); err != nil {
		writeError(w, http.StatusBadRequest, codeManifestInvalid, err.Error())
		return
	}
	raw, d, err := h.Content.Manifest(name, reference)
	if err != nil {
		writeContentError(w, err, codeManifestUnknown, "manifest: not here")
		return
	}
	h.setChunksHeader(w, d)
	w.Header().Set("Content-Type", specs.MediaTypeImageManifest)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Header().Set(headerDigest, d.String())
	if r.Method == http.MethodGet {
		_, _ = w.Write(raw) // the client may have disconnected
	}
}

// setChunksHeader sets the header that lists the held chunks of a manifest, unless the content
// returns no chunk set.
func (h *Handler) setChunksHeader(w http.ResponseWriter, manifest digest.Digest) {
	if set := h.Content.Chunks(manifest); set != nil {
		w.Header().Set(distribution.HeaderChunks, base64.StdEncoding.EncodeToString(set))
	}
}

// serveBlob handles a request for a blob. A GET request needs a free upload slot; a HEAD request
// needs none.
func (h *Handler) serveBlob(w http.ResponseWriter, r *http.Request, name, reference string) {
	if err := distribution.CheckName(name); err != nil {
		writeError(w, http.StatusBadRequest, codeNameInvalid, err.Error())
		return
	}
	d := digest.Digest(reference)
	if err := distribution.CheckDigest(d); err != nil {
		writeError(w, http.StatusBadRequest, codeDigestInvalid, "digest: "+err.Error())
		return
	}
	if manifest := digest.Digest(r.Header.Get(distribution.HeaderManifest)); manifest != "" {
		if err := distribution.CheckDigest(manifest); err != nil {
			writeError(w, http.StatusBadRequest, codeDigestInvalid, distribution.HeaderManifest+": "+err.Error())
			return
		}
		h.setChunksHeader(w, manifest)
	}
	if r.Method == http.MethodGet {
		if !h.acquireSlot(w) {
			return
		}
		defer h.Slots.release()
	}
	h.sendBlob(w, r, name, d)
}

// sendBlob sends a blob, or the requested range of it.
func (h *Handler) sendBlob(w http.ResponseWriter, r *http.Request, name string, d digest.Digest) {
	blob, err := h.Content.Blob(name, d)
	if err != nil {
		writeContentError(w, err, codeBlobUnknown, "blob: not here")
		return
	}
	defer blob.Close() //nolint:errcheck // the blob was only read
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(headerDigest, d.String())
	w.Header().Set("Etag", `"`+d.String()+`"`)
	body := w
	if h.WrapBody != nil {
		body = h.WrapBody(w)
	}
	http.ServeContent(body, r, "", time.Time{}, blob)
}

// acquireSlot takes an upload slot and reports whether one was free. If none was, it refuses the
// request with a Retry-After header.
func (h *Handler) acquireSlot(w http.ResponseWriter) bool {
	admitted := h.Slots.tryAcquire()
	if h.OnUpload != nil {
		h.OnUpload(admitted)
	}
	if !admitted {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(h.RetryAfter.Seconds()))))
		writeError(w, http.StatusServiceUnavailable, codeTooManyRequests, "all upload slots are in use")
	}
	return admitted
}
