// Package operator is the command line's client of the tracker's administration API. It lists names,
// shows the status of their distribution, and changes the manifest that a name refers to.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
)

// Client sends each request to one controller after another until one fulfils or refuses it.
type Client struct {
	Controllers []string // addresses of the controllers' trackers
	HTTP        http.Client
}

// maxResponseBytes limits the size of a response body. The largest is a page of a status, which
// includes the agents' wait reasons.
const maxResponseBytes = 16 << 20

// call sends a request to one controller after another until one fulfils the request or refuses it
// with an error that isn't retryable. It decodes the response body into response.
func (c *Client) call(ctx context.Context, method, path string, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var errs []error
	for _, controller := range c.Controllers {
		retryable, err := c.send(ctx, controller, method, path, data, response)
		if err == nil || !retryable {
			return err
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// send sends a request to one controller. If it fails, retryable reports whether another
// controller may succeed.
func (c *Client) send(ctx context.Context, controller, method, path string, body []byte, response any) (retryable bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+controller+path, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.HTTP.Do(req)
	if err != nil {
		return true, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return true, fmt.Errorf("%s: %w", controller, err)
	}
	if res.StatusCode != http.StatusOK {
		refused := newRefusedError(controller, res.StatusCode, data)
		return refused.retryable(), refused
	}
	return false, json.Unmarshal(data, response)
}

// RefusedError means that a controller responded with an error status.
type RefusedError struct {
	Controller string
	Status     int
	Reason     string
}

// newRefusedError returns the error for a response with an error status. Only a tracker's response
// has the reason in its body.
func newRefusedError(controller string, status int, body []byte) *RefusedError {
	var response distribution.ErrorResponse
	if json.Unmarshal(body, &response) != nil {
		response.Error = "the response is not from a distribution tracker"
	}
	return &RefusedError{Controller: controller, Status: status, Reason: response.Error}
}

// Error returns the controller, the status and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %d: %s", e.Controller, e.Status, e.Reason)
}

// retryable reports whether the request may succeed at another controller.
func (e *RefusedError) retryable() bool { return e.Status >= http.StatusInternalServerError }

// SetManifest makes a name refer to a manifest and returns the record once it is durable.
func (c *Client) SetManifest(ctx context.Context, name string, manifest digest.Digest) (distribution.NameRecord, error) {
	var record distribution.NameRecord
	err := c.call(ctx, http.MethodPut, distribution.PathWeights+"/"+name, distribution.SetManifestRequest{Manifest: manifest}, &record)
	return record, err
}

// Names returns all names. It fetches them page by page.
func (c *Client) Names(ctx context.Context) ([]distribution.NameRecord, error) {
	var all []distribution.NameRecord
	for after := ""; ; {
		var page tracker.NamesPage
		if err := c.call(ctx, http.MethodGet, pagePath(distribution.PathWeights, after), nil, &page); err != nil {
			return all, err
		}
		all = append(all, page.Names...)
		if !page.More || len(page.Names) == 0 {
			return all, nil
		}
		after = page.Names[len(page.Names)-1].Name
	}
}

// pagePath returns the path of the page that follows an entry, or of the first page if after is
// empty.
func pagePath(path, after string) string {
	if after == "" {
		return path
	}
	return path + "?after=" + url.QueryEscape(after)
}

// Status returns the distribution status of a name with all of its agents. It fetches them page by
// page.
func (c *Client) Status(ctx context.Context, name string) (tracker.Status, error) {
	var all tracker.Status
	for after := ""; ; {
		var page tracker.Status
		if err := c.call(ctx, http.MethodGet, pagePath(distribution.PathWeights+"/"+name, after), nil, &page); err != nil {
			return all, err
		}
		earlier := all.Members
		all = page
		all.Members = slices.Concat(earlier, page.Members)
		if !page.More || len(page.Members) == 0 {
			return all, nil
		}
		after = page.Members[len(page.Members)-1].Agent
	}
}
