package registry

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Error codes of the OCI distribution specification.
const (
	codeBlobUnknown     = "BLOB_UNKNOWN"
	codeDigestInvalid   = "DIGEST_INVALID"
	codeManifestInvalid = "MANIFEST_INVALID"
	codeManifestUnknown = "MANIFEST_UNKNOWN"
	codeNameInvalid     = "NAME_INVALID"
	codeTooManyRequests = "TOOMANYREQUESTS"
	codeUnavailable     = "UNAVAILABLE" // not defined by the specification
	codeUnsupported     = "UNSUPPORTED"
)

// ErrNotFound means that the content has no such manifest or blob.
var ErrNotFound = errors.New("not found")

// errorEntry is one error in the body of an error response.
type errorEntry struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// writeError sends an error response in the format of the OCI distribution specification.
func writeError(w http.ResponseWriter, status int, code, message string) {
	body, err := json.Marshal(map[string][]errorEntry{"errors": {{code, message}}})
	if err != nil {
		http.Error(w, message, status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client may have disconnected
}

// writeContentError sends status 404 for ErrNotFound, and status 500 for any other error.
func writeContentError(w http.ResponseWriter, err error, notFoundCode, notFoundMessage string) {
	if errors.Is(err, ErrNotFound) {
		writeError(w, http.StatusNotFound, notFoundCode, notFoundMessage)
		return
	}
	writeError(w, http.StatusInternalServerError, codeUnavailable, "it can't be read")
}
