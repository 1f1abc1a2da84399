package daemon

import (
	"net/http"
	"net/url"
	"strings"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
	"oakpick/internal/message"
)

// trackerRequest is a request as received, so that it can be forwarded to the leader.
type trackerRequest struct {
	method, path, query string
	body                []byte
	fromPeer            bool // a peer has forwarded it, so it isn't forwarded again
}

// commandFunc creates the command of a request with the given ID.
type commandFunc func(id uint64) tracker.Command

// parseTrackerRequest returns the function that creates the command of a request. If the request
// is invalid, it returns nil and a refusal.
func parseTrackerRequest(request trackerRequest) (commandFunc, message.Reply) {
	name, named := strings.CutPrefix(request.path, distribution.PathWeights+"/")
	if named {
		if err := distribution.CheckName(name); err != nil {
			return nil, badTrackerRequest(err)
		}
	}
	known := named || request.path == distribution.PathWeights || request.path == distribution.PathInventory
	var newCommand commandFunc
	var err error
	switch {
	case request.path == distribution.PathInventory && request.method == http.MethodPost:
		newCommand, err = parseInventory(request.body)
	case named && request.method == http.MethodGet:
		newCommand, err = parseStatus(name, request.query)
	case request.path == distribution.PathWeights && request.method == http.MethodGet:
		newCommand, err = parseNames(request.query)
	case named && request.method == http.MethodPut:
		newCommand, err = parseSetManifest(name, request.body)
	case known:
		return nil, trackerError(http.StatusMethodNotAllowed, "method: not for this path", 0)
	default:
		return nil, trackerError(http.StatusNotFound, "path: no such path", 0)
	}
	if err != nil {
		return nil, badTrackerRequest(err)
	}
	return newCommand, message.Reply{}
}

func badTrackerRequest(err error) message.Reply {
	return trackerError(http.StatusBadRequest, err.Error(), 0)
}

func parseInventory(body []byte) (commandFunc, error) {
	inventory := &distribution.Inventory{}
	if err := distribution.Decode(body, inventory); err != nil {
		return nil, err
	}
	if err := inventory.Check(); err != nil {
		return nil, err
	}
	return func(id uint64) tracker.Command { return tracker.InventoryCall{ID: id, Inventory: inventory} }, nil
}

func parseStatus(name, query string) (commandFunc, error) {
	after, err := parseAfter(query)
	if err != nil {
		return nil, err
	}
	return func(id uint64) tracker.Command { return tracker.StatusCall{ID: id, Name: name, After: after} }, nil
}

func parseNames(query string) (commandFunc, error) {
	after, err := parseAfter(query)
	if err != nil {
		return nil, err
	}
	return func(id uint64) tracker.Command { return tracker.NamesCall{ID: id, After: after} }, nil
}

// parseAfter returns the entry after which the requested page of a list begins. It is empty for
// the first page.
func parseAfter(query string) (string, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return "", &distribution.FieldError{Field: "after", Problem: "malformed"}
	}
	return values.Get("after"), nil
}

func parseSetManifest(name string, body []byte) (commandFunc, error) {
	var use distribution.SetManifestRequest
	if err := distribution.Decode(body, &use); err != nil {
		return nil, err
	}
	return func(id uint64) tracker.Command {
		return tracker.SetManifestCall{ID: id, Name: name, Manifest: use.Manifest}
	}, nil
}
