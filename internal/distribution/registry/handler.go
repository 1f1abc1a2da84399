// Package registry is the read side of the OCI distribution specification: the handler by
// which stores and agents serve manifests and blobs, and the client that fetches them.
package registry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/opencontainers/go-digest"
	specs "github.com/opencontainers/image-spec/specs-go/v1"

	"oakpick/internal/distribution"
)

// Headers and paths of the specification.
const (
	pathBase      = "/v2/"
	pathManifests = "/manifests/"
	pathBlobs     = "/blobs/"
	headerDigest  = "Docker-Content-Digest"
)

// ErrUnknown says that a manifest or blob isn't there.
var ErrNotFound = errors.New("not there")

// Blob is a blob that is being read.
type Blob interface {
	io.ReadSeekCloser
}

// Content is what a handler serves.
type Content interface {
	// Manifest gives a manifest by tag or digest.
	Manifest(name, reference string) ([]byte, digest.Digest, error)
	// Blob opens a blob. It may be asked for by takers of a manifest; Chunks says of which.
	Blob(name string, d digest.Digest) (Blob, error)
	// Chunks tells which chunks of a manifest are held; nil: nothing is told.
	Chunks(manifest digest.Digest) distribution.ChunkSet
}

// Slots admits so many uploads at a time, whatever is asked.
type Slots chan struct{}

// NewSlots makes so many.
func NewSlots(slots int) Slots { return make(Slots, slots) }

func (s Slots) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s Slots) release() { <-s }

// InUse is how many are taken.
func (s Slots) InUse() int { return len(s) }

// Handler serves content.
type Handler struct {
	Content Content
	Slots   Slots
	// RetryAfter is told to those who find no slot.
	RetryAfter time.Duration
	// Body wraps the writer of a blob's bytes, to pace or count them; nil: none.
	WrapBody func(http.ResponseWriter) http.ResponseWriter
	// Uploaded is told of every upload that ends; nil: nobody.
	OnUpload func(admitted bool)
}

// specError is an error as the specification has it.
type errorAnswer struct {
	status  int
	code    string
	message string
}

func (h *Handler) writeError(w http.ResponseWriter, e errorAnswer) {
	type entry struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	body, err := json.Marshal(map[string][]entry{"errors": {{e.code, e.message}}})
	if err != nil {
		http.Error(w, e.message, e.status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.status)
	_, _ = w.Write(body) // the asker may have gone
}

// ServeHTTP answers a request below /v2/.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		h.writeError(w, errorAnswer{http.StatusMethodNotAllowed, "UNSUPPORTED", "only the read side is served"})
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, pathBase)
	if !ok {
		h.writeError(w, errorAnswer{http.StatusNotFound, "UNSUPPORTED", "no such path"})
		return
	}
	if rest == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if i := strings.LastIndex(rest, pathManifests); i >= 0 {
		h.serveManifest(w, r, rest[:i], rest[i+len(pathManifests):])
		return
	}
	if i := strings.LastIndex(rest, pathBlobs); i >= 0 {
		h.serveBlob(w, r, rest[:i], rest[i+len(pathBlobs):])
		return
	}
	h.writeError(w, errorAnswer{http.StatusNotFound, "UNSUPPORTED", "no such path"})
}

func (h *Handler) serveManifest(w http.ResponseWriter, r *http.Request, name, reference string) {
	if err := distribution.CheckName(name); err != nil {
		h.writeError(w, errorAnswer{http.StatusBadRequest, "NAME_INVALID", err.Error()})
		return
	}
	if err := distribution.CheckReference(reference); err != nil {
		h.writeError(w, errorAnswer{http.StatusBadRequest, "MANIFEST_INVALID", err.Error()})
		return
	}
	raw, d, err := h.Content.Manifest(name, reference)
	if err != nil {
		h.writeContentError(w, err, errorAnswer{http.StatusNotFound, "MANIFEST_UNKNOWN", "manifest: not here"})
		return
	}
	h.setChunksHeader(w, d)
	w.Header().Set("Content-Type", specs.MediaTypeImageManifest)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Header().Set(headerDigest, d.String())
	if r.Method == http.MethodGet {
		_, _ = w.Write(raw) // the asker may have gone
	}
}

// unavailable answers what is unknown as such, and everything else as a failure of ours.
func (h *Handler) writeContentError(w http.ResponseWriter, err error, unknown errorAnswer) {
	if errors.Is(err, ErrNotFound) {
		h.writeError(w, unknown)
		return
	}
	h.writeError(w, errorAnswer{http.StatusInternalServerError, "UNAVAILABLE", "it can't be read"})
}

func (h *Handler) setChunksHeader(w http.ResponseWriter, manifest digest.Digest) {
	if set := h.Content.Chunks(manifest); set != nil {
		w.Header().Set(distribution.ChunksHeader, encodeChunkSet(set))
	}
}

func (h *Handler) serveBlob(w http.ResponseWriter, r *http.Request, name, reference string) {
	if err := distribution.CheckName(name); err != nil {
		h.writeError(w, errorAnswer{http.StatusBadRequest, "NAME_INVALID", err.Error()})
		return
	}
	d := digest.Digest(reference)
	if err := distribution.CheckDigest(d); err != nil {
		h.writeError(w, errorAnswer{http.StatusBadRequest, "DIGEST_INVALID", "digest: " + err.Error()})
		return
	}
	if manifest := digest.Digest(r.Header.Get(distribution.ManifestHeader)); manifest != "" {
		if err := distribution.CheckDigest(manifest); err != nil {
			h.writeError(w, errorAnswer{http.StatusBadRequest, "DIGEST_INVALID", distribution.ManifestHeader + ": " + err.Error()})
			return
		}
		h.setChunksHeader(w, manifest)
	}
	if r.Method == http.MethodGet && !h.acquireSlot(w) {
		return
	} else if r.Method == http.MethodGet {
		defer h.Slots.release()
	}
	blob, err := h.Content.Blob(name, d)
	if err != nil {
		h.writeContentError(w, err, errorAnswer{http.StatusNotFound, "BLOB_UNKNOWN", "blob: not here"})
		return
	}
	defer blob.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(headerDigest, d.String())
	w.Header().Set("Etag", `"`+d.String()+`"`)
	body := w
	if h.WrapBody != nil {
		body = h.WrapBody(w)
	}
	http.ServeContent(body, r, "", time.Time{}, blob)
}

// admit takes a slot, or refuses the request and says when to come back.
func (h *Handler) acquireSlot(w http.ResponseWriter) bool {
	admitted := h.Slots.tryAcquire()
	if h.OnUpload != nil {
		h.OnUpload(admitted)
	}
	if !admitted {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(h.RetryAfter.Seconds()))))
		h.writeError(w, errorAnswer{http.StatusServiceUnavailable, "TOOMANYREQUESTS", "all upload slots are in use"})
	}
	return admitted
}
