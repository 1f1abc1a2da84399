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
var ErrUnknown = errors.New("not there")

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

func (s Slots) take() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s Slots) free() { <-s }

// InUse is how many are taken.
func (s Slots) InUse() int { return len(s) }

// Handler serves content.
type Handler struct {
	Content Content
	Slots   Slots
	// RetryAfter is told to those who find no slot.
	RetryAfter time.Duration
	// Body wraps the writer of a blob's bytes, to pace or count them; nil: none.
	Body func(http.ResponseWriter) http.ResponseWriter
	// Uploaded is told of every upload that ends; nil: nobody.
	Uploaded func(admitted bool)
}

// specError is an error as the specification has it.
type specError struct {
	status  int
	code    string
	message string
}

func (h *Handler) fail(w http.ResponseWriter, e specError) {
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
		h.fail(w, specError{http.StatusMethodNotAllowed, "UNSUPPORTED", "only the read side is served"})
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, pathBase)
	if !ok {
		h.fail(w, specError{http.StatusNotFound, "UNSUPPORTED", "no such path"})
		return
	}
	if rest == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if i := strings.LastIndex(rest, pathManifests); i >= 0 {
		h.manifest(w, r, rest[:i], rest[i+len(pathManifests):])
		return
	}
	if i := strings.LastIndex(rest, pathBlobs); i >= 0 {
		h.blob(w, r, rest[:i], rest[i+len(pathBlobs):])
		return
	}
	h.fail(w, specError{http.StatusNotFound, "UNSUPPORTED", "no such path"})
}

func (h *Handler) manifest(w http.ResponseWriter, r *http.Request, name, reference string) {
	if err := distribution.CheckName(name); err != nil {
		h.fail(w, specError{http.StatusBadRequest, "NAME_INVALID", err.Error()})
		return
	}
	if err := distribution.CheckReference(reference); err != nil {
		h.fail(w, specError{http.StatusBadRequest, "MANIFEST_INVALID", err.Error()})
		return
	}
	raw, d, err := h.Content.Manifest(name, reference)
	if err != nil {
		h.unavailable(w, err, specError{http.StatusNotFound, "MANIFEST_UNKNOWN", "manifest: not here"})
		return
	}
	h.tellChunks(w, d)
	w.Header().Set("Content-Type", specs.MediaTypeImageManifest)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.Header().Set(headerDigest, d.String())
	if r.Method == http.MethodGet {
		_, _ = w.Write(raw) // the asker may have gone
	}
}

// unavailable answers what is unknown as such, and everything else as a failure of ours.
func (h *Handler) unavailable(w http.ResponseWriter, err error, unknown specError) {
	if errors.Is(err, ErrUnknown) {
		h.fail(w, unknown)
		return
	}
	h.fail(w, specError{http.StatusInternalServerError, "UNAVAILABLE", "it can't be read"})
}

func (h *Handler) tellChunks(w http.ResponseWriter, manifest digest.Digest) {
	if set := h.Content.Chunks(manifest); set != nil {
		w.Header().Set(distribution.ChunksHeader, encodeChunks(set))
	}
}

func (h *Handler) blob(w http.ResponseWriter, r *http.Request, name, reference string) {
	if err := distribution.CheckName(name); err != nil {
		h.fail(w, specError{http.StatusBadRequest, "NAME_INVALID", err.Error()})
		return
	}
	d := digest.Digest(reference)
	if err := distribution.CheckDigest(d); err != nil {
		h.fail(w, specError{http.StatusBadRequest, "DIGEST_INVALID", "digest: " + err.Error()})
		return
	}
	if manifest := digest.Digest(r.Header.Get(distribution.ManifestHeader)); manifest != "" {
		if err := distribution.CheckDigest(manifest); err != nil {
			h.fail(w, specError{http.StatusBadRequest, "DIGEST_INVALID", distribution.ManifestHeader + ": " + err.Error()})
			return
		}
		h.tellChunks(w, manifest)
	}
	if r.Method == http.MethodGet && !h.admit(w) {
		return
	} else if r.Method == http.MethodGet {
		defer h.Slots.free()
	}
	blob, err := h.Content.Blob(name, d)
	if err != nil {
		h.unavailable(w, err, specError{http.StatusNotFound, "BLOB_UNKNOWN", "blob: not here"})
		return
	}
	defer blob.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(headerDigest, d.String())
	w.Header().Set("Etag", `"`+d.String()+`"`)
	body := w
	if h.Body != nil {
		body = h.Body(w)
	}
	http.ServeContent(body, r, "", time.Time{}, blob)
}

// admit takes a slot, or refuses the request and says when to come back.
func (h *Handler) admit(w http.ResponseWriter) bool {
	admitted := h.Slots.take()
	if h.Uploaded != nil {
		h.Uploaded(admitted)
	}
	if !admitted {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(h.RetryAfter.Seconds()))))
		h.fail(w, specError{http.StatusServiceUnavailable, "TOOMANYREQUESTS", "all upload slots are in use"})
	}
	return admitted
}
