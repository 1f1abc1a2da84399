package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/http2"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

const (
	// stepDownTimeout bounds the time until a peer's request to step down is answered.
	stepDownTimeout = protocol.PollTimeoutS * time.Second
	maxHeaderBytes  = 8 << 10
)

// PeerServer serves the other controllers, and the handlers mounted on the same listener.
type PeerServer struct {
	handler RequestHandler
	limit   *ConcurrencyLimit
	mounted map[string]http.Handler
}

// NewPeerServer creates the server. Each mounted handler serves the paths that begin with its key.
func NewPeerServer(handler RequestHandler, limit *ConcurrencyLimit, mounted map[string]http.Handler) *PeerServer {
	return &PeerServer{handler, limit, mounted}
}

// ServeHTTP answers a request of a peer, or of an operator.
func (s *PeerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for prefix, handler := range s.mounted {
		if strings.HasPrefix(r.URL.Path, prefix) {
			handler.ServeHTTP(w, r)
			return
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
	if err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	if r.URL.Path == protocol.PathStepDown {
		s.stepDown(w, body)
		return
	}
	reply := handleUserRequest(s.handler, s.limit, RawRequest{Method: r.Method, Path: r.URL.Path, Body: body, FromPeer: true})
	WriteReply(w, protocol.ContentType, reply)
}

// stepDown answers a new leader's request to step down from older terms.
func (s *PeerServer) stepDown(w http.ResponseWriter, body []byte) {
	var decoded protocol.StepDownRequest
	if protocol.Decode(body, &decoded) != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	request := message.StepDownRequest{Term: decoded.Term, Leader: decoded.Leader, QueriesArchiveSupport: decoded.QueriesArchiveSupport, QueriesMachineTypes: decoded.QueriesMachineTypes}
	WriteReply(w, protocol.ContentType, s.handler.Handle(request, RawRequest{}, stepDownTimeout))
}

// Serve serves HTTP/2 without TLS, and HTTP/1.1 for operators' tools, until the context ends. It
// always returns an error. maxStreams applies to each connection; a connection that is idle for
// longer than idleTimeout is closed.
func (s *PeerServer) Serve(ctx context.Context, listener net.Listener, maxStreams int, idleTimeout time.Duration) error {
	//nolint:staticcheck // SA1019: net/http's own HTTP/2 server can replace it once its limits have been measured
	http2Server := &http2.Server{IdleTimeout: idleTimeout, MaxConcurrentStreams: uint32(maxStreams)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: s, Protocols: protocols, IdleTimeout: idleTimeout, ReadHeaderTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	//nolint:staticcheck // SA1019: as above
	if err := http2.ConfigureServer(server, http2Server); err != nil {
		return fmt.Errorf("setting up HTTP/2: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // Serve returns even if Close fails
	defer stop()
	return server.Serve(listener)
}
