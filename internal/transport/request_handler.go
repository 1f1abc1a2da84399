package transport

import (
	"time"

	"oakpick/internal/message"
)

// RequestHandler answers requests. Many goroutines call it at the same time.
type RequestHandler interface {
	// Handle answers a request, with Unavailable if there is no answer within timeout. It
	// keeps nothing of raw's body, which belongs to the server.
	Handle(request message.Request, raw RawRequest, timeout time.Duration) message.Reply
	// Healthy tells whether requests can be answered now.
	Healthy() bool
}

// RawRequest is a user's or an operator's request as it came, for forwarding it to the leader.
type RawRequest struct {
	Method, Path string
	Body         []byte
	FromPeer     bool // it was forwarded once, and isn't again
}
