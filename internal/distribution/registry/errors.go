package registry

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Error codes of the specification.
const (
	codeBlobUnknown     = "BLOB_UNKNOWN"
	codeDigestInvalid   = "DIGEST_INVALID"
	codeManifestInvalid = "MANIFEST_INVALID"
	codeManifestUnknown = "MANIFEST_UNKNOWN"
	codeNameInvalid     = "NAME_INVALID"
	codeTooManyRequests = "TOOMANYREQUESTS"
	codeUnavailable     = "UNAVAILABLE" // not of the specification
	codeUnsupported     = "UNSUPPORTED"
)

// ErrNotFound means that a manifest or blob isn't there.
var ErrNotFound = errors.New("not there")

// errorEntry is an error in an answer.
type errorEntry struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// writeError answers with an error in the format of the specification.
func writeError(w http.ResponseWriter, status int, code, message string) {
	body, err := json.Marshal(map[string][]errorEntry{"errors": {{code, message}}})
	if err != nil {
		http.Error(w, message, status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client may be gone
}

// writeContentError answers that something isn't here, or a server error if it can't be read.
func writeContentError(w http.ResponseWriter, err error, notFoundCode, notFoundMessage string) {
	if errors.Is(err, ErrNotFound) {
		writeError(w, http.StatusNotFound, notFoundCode, notFoundMessage)
		return
	}
	writeError(w, http.StatusInternalServerError, codeUnavailable, "it can't be read")
}
