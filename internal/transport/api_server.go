package transport

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// Buffer sizes of each connection of the API server.
const (
	readBufferBytes  = 4096
	writeBufferBytes = 4096
)

// heartbeatTimeout bounds the time until a heartbeat is answered.
const heartbeatTimeout = protocol.SubmitTimeoutS * time.Second / 2

// APIServer serves users, workers and health checks.
type APIServer struct {
	handler RequestHandler
	limit   *ConcurrencyLimit
	server  *fasthttp.Server
}

// NewAPIServer creates a server for at most maxConnections connections. It closes a connection
// that is idle for longer than idleTimeout: a worker that was silent for the duration of its lease
// has lost the lease, and connections of unreachable machines must not keep others out.
func NewAPIServer(handler RequestHandler, limit *ConcurrencyLimit, maxConnections int, idleTimeout time.Duration) *APIServer {
	s := &APIServer{handler: handler, limit: limit}
	s.server = &fasthttp.Server{
		Handler:                      s.serveRequest,
		ErrorHandler:                 refuseUnreadable,
		Concurrency:                  maxConnections,
		MaxRequestBodySize:           protocol.MaxBody,
		ReadTimeout:                  idleTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 idleTimeout,
		ReadBufferSize:               readBufferBytes,
		WriteBufferSize:              writeBufferBytes,
		ReduceMemoryUsage:            true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		Logger:                       DiscardLogger{},
	}
	return s
}

// Serve serves a listener until it is closed.
func (s *APIServer) Serve(listener net.Listener) error { return s.server.Serve(listener) }

// OpenConnections returns the number of open connections.
func (s *APIServer) OpenConnections() int { return int(s.server.GetOpenConnectionsCount()) }

// serveRequest answers a request in the connection's goroutine.
func (s *APIServer) serveRequest(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	var reply message.Reply
	switch path {
	case protocol.PathHealth:
		reply = s.health(method)
	case protocol.PathHeartbeat:
		reply = s.heartbeat(method, ctx.PostBody())
	default:
		reply = handleUserRequest(s.handler, s.limit, RawRequest{Method: method, Path: path, Body: ctx.PostBody()})
	}
	WriteFastHTTPReply(ctx, protocol.ContentType, reply)
}

func (s *APIServer) health(method string) message.Reply {
	if method != http.MethodGet {
		return methodNotAllowed
	}
	if !s.handler.Healthy() {
		return Unavailable("not ready")
	}
	return healthyReply
}

// heartbeat answers a worker's heartbeat. Heartbeats bypass the concurrency limit, since their number
// is bounded by that of the workers.
func (s *APIServer) heartbeat(method string, body []byte) message.Reply {
	if method != http.MethodPost {
		return methodNotAllowed
	}
	heartbeat, err := protocol.DecodeHeartbeat(body)
	if err != nil {
		return badRequest(err.Error())
	}
	return s.handler.Handle(message.HeartbeatRequest{Heartbeat: heartbeat}, RawRequest{}, heartbeatTimeout)
}

// refuseUnreadable answers a request that the HTTP library failed to read.
func refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	reply := badRequest("malformed request")
	reply.CloseConnection = errors.Is(err, fasthttp.ErrBodyTooLarge) // the rest of the body is unread
	WriteFastHTTPReply(ctx, protocol.ContentType, reply)
}

// DiscardLogger discards the log messages of the HTTP library.
type DiscardLogger struct{}

// Printf discards a message.
func (DiscardLogger) Printf(string, ...any) {}
