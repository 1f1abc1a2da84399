package transport

import (
	"time"

	"oakpick/internal/message"
)

// RequestHandler answers requests. It must be safe for concurrent use.
type RequestHandler interface {
	// Handle answers a request, with Unavailable if there is no reply within the timeout. It
	// must not retain raw.Body, which belongs to the server.
	Handle(request message.Request, raw RawRequest, timeout time.Duration) message.Reply
	// Healthy reports whether requests can be answered at present.
	Healthy() bool
}

// RawRequest is a user's or an operator's request as received, so that it can be forwarded.
type RawRequest struct {
	Method, Path string
	Body         []byte
	FromPeer     bool // a peer has forwarded it, so it isn't forwarded again
}
