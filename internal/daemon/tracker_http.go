package daemon

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
	"oakpick/internal/message"
)

// parseTrackerRequest makes the command that a request asks for, or the refusal.
func parseTrackerRequest(r trackerRequest) (func(id uint64) tracker.Command, message.Reply) {
	bad := func(err error) (func(id uint64) tracker.Command, message.Reply) {
		return nil, trackerError(http.StatusBadRequest, err.Error(), 0)
	}
	name, named := strings.CutPrefix(r.path, distribution.PathWeights+"/")
	if named {
		if err := distribution.CheckName(name); err != nil {
			return bad(err)
		}
	}
	switch {
	case r.path == distribution.PathInventory && r.method == http.MethodPost:
		inventory := &distribution.Inventory{}
		if err := distribution.Decode(r.body, inventory); err != nil {
			return bad(err)
		}
		if err := inventory.Check(); err != nil {
			return bad(err)
		}
		return func(id uint64) tracker.Command { return tracker.InventoryCall{ID: id, Inventory: inventory} }, message.Reply{}
	case (named || r.path == distribution.PathWeights) && r.method == http.MethodGet:
		query, err := url.ParseQuery(r.query)
		if err != nil {
			return bad(&distribution.FieldError{Field: "after", Problem: "malformed"})
		}
		after := query.Get("after")
		if named {
			return func(id uint64) tracker.Command { return tracker.StatusCall{ID: id, Name: name, After: after} }, message.Reply{}
		}
		return func(id uint64) tracker.Command { return tracker.NamesCall{ID: id, After: after} }, message.Reply{}
	case named && r.method == http.MethodPut:
		var use distribution.UseRequest
		if err := distribution.Decode(r.body, &use); err != nil {
			return bad(err)
		}
		return func(id uint64) tracker.Command {
			return tracker.UseCall{ID: id, Name: name, Manifest: use.Manifest}
		}, message.Reply{}
	case named || r.path == distribution.PathWeights || r.path == distribution.PathInventory:
		return nil, trackerError(http.StatusMethodNotAllowed, "method: not for this path", 0)
	}
	return nil, trackerError(http.StatusNotFound, "path: no such path", 0)
}

// serve answers a request of an agent or an operator. From so many connections on, each is
// closed with its answer.
func (t *trackerService) serve(ctx *fasthttp.RequestCtx, keepAlive int) {
	reply := t.answer(trackerRequest{
		method: string(ctx.Method()), path: string(ctx.Path()), query: string(ctx.URI().QueryString()),
		// The body belongs to the server's buffers, which the next request reuses.
		body: append([]byte(nil), ctx.PostBody()...),
	})
	ctx.SetStatusCode(reply.Status)
	ctx.SetContentType("application/json")
	if reply.RetryAfterS > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(reply.RetryAfterS))
	}
	if int(t.server.GetOpenConnectionsCount()) > keepAlive {
		ctx.SetConnectionClose()
	}
	ctx.SetBody(reply.Body)
}

// peerHandler answers what other controllers hand on.
func (t *trackerService) peerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, distribution.MaxMessageBytes))
		reply := trackerError(http.StatusBadRequest, "body: too long, or cut short", 0)
		if err == nil {
			reply = t.answer(trackerRequest{method: r.Method, path: r.URL.Path, query: r.URL.RawQuery, body: body, fromPeer: true})
		}
		w.Header().Set("Content-Type", "application/json")
		if reply.RetryAfterS > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfterS))
		}
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body) // a peer that has gone asks again
	})
}
