package daemon

import (
	"net/http"
	"net/url"
	"strings"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
	"oakpick/internal/message"
)

// trackerRequest is a request as it came, for forwarding it to the leader.
type trackerRequest struct {
	method, path, query string
	body                []byte
	fromPeer            bool // it was forwarded once, and isn't again
}

// commandMaker makes the command of a request, under the request's ID.
type commandMaker func(id uint64) tracker.Command

// parseTrackerRequest makes the command that a request asks for, or nil and the refusal.
func parseTrackerRequest(request trackerRequest) (commandMaker, message.Reply) {
	name, named := strings.CutPrefix(request.path, distribution.PathWeights+"/")
	if named {
		if err := distribution.CheckName(name); err != nil {
			return nil, badTrackerRequest(err)
		}
	}
	known := named || request.path == distribution.PathWeights || request.path == distribution.PathInventory
	var newCommand commandMaker
	var err error
	switch {
	case request.path == distribution.PathInventory && request.method == http.MethodPost:
		newCommand, err = parseInventory(request.body)
	case named && request.method == http.MethodGet:
		newCommand, err = parseStatus(name, request.query)
	case request.path == distribution.PathWeights && request.method == http.MethodGet:
		newCommand, err = parseNames(request.query)
	case named && request.method == http.MethodPut:
		newCommand, err = parseUse(name, request.body)
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

func parseInventory(body []byte) (commandMaker, error) {
	inventory := &distribution.Inventory{}
	if err := distribution.Decode(body, inventory); err != nil {
		return nil, err
	}
	if err := inventory.Check(); err != nil {
		return nil, err
	}
	return func(id uint64) tracker.Command { return tracker.InventoryCall{ID: id, Inventory: inventory} }, nil
}

func parseStatus(name, query string) (commandMaker, error) {
	after, err := parseAfter(query)
	if err != nil {
		return nil, err
	}
	return func(id uint64) tracker.Command { return tracker.StatusCall{ID: id, Name: name, After: after} }, nil
}

func parseNames(query string) (commandMaker, error) {
	after, err := parseAfter(query)
	if err != nil {
		return nil, err
	}
	return func(id uint64) tracker.Command { return tracker.NamesCall{ID: id, After: after} }, nil
}

// parseAfter reads behind which entry a page of a list begins; empty: at the first.
func parseAfter(query string) (string, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return "", &distribution.FieldError{Field: "after", Problem: "malformed"}
	}
	return values.Get("after"), nil
}

func parseUse(name string, body []byte) (commandMaker, error) {
	var use distribution.SetManifestRequest
	if err := distribution.Decode(body, &use); err != nil {
		return nil, err
	}
	return func(id uint64) tracker.Command {
		return tracker.SetManifestCall{ID: id, Name: name, Manifest: use.Manifest}
	}, nil
}
