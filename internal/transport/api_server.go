// Package transport carries messages: the users' and workers' front, the
// streams between controllers, and the clients of workers, cloud and peers.
package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http2"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// RequestHandler is the one goroutine that owns all state. Do hands it a command and
// waits for the reply, for so long at most.
type RequestHandler interface {
	Handle(request message.Request, raw RawRequest, wait time.Duration) message.Reply
	Healthy() bool
}

// RawRequest is a user's request as it came, for handing it on.
type RawRequest struct {
	Method, Path string
	Body         []byte
	FromPeer     bool
}

// APIServer serves users, workers and health checks.
type APIServer struct {
	handler RequestHandler
	limit   *ConcurrencyLimit
	server  *fasthttp.Server
}

const retryAfterS = 1 // seconds after which a refused request may come again

// userTimeout leaves time for the answer's way within what users wait.
func userTimeout(kind message.UserRequestKind) time.Duration {
	if kind == message.Poll {
		return protocol.PollTimeoutS * time.Second * 3 / 4
	}
	return protocol.SubmitTimeoutS * time.Second * 3 / 4
}

// NewAPIServer makes the front. It holds at most so many connections, and none that
// has been idle for so long: a worker that was silent for its lease has lost it,
// and the connections of machines that were cut off must not take others' places.
func NewAPIServer(owner RequestHandler, limit *ConcurrencyLimit, connections int, idle time.Duration) *APIServer {
	f := &APIServer{handler: owner, limit: limit}
	f.server = &fasthttp.Server{
		Handler: f.handle, Concurrency: connections, MaxRequestBodySize: protocol.MaxBody,
		ReadTimeout: idle, IdleTimeout: idle, WriteTimeout: idle,
		ReadBufferSize: 4096, WriteBufferSize: 4096, ReduceMemoryUsage: true,
		NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true, DisablePreParseMultipartForm: true,
		Logger: DiscardLogger{},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			writeReply(ctx, message.Reply{Status: 400, Body: protocol.EncodeError("malformed request")})
			if errors.Is(err, fasthttp.ErrBodyTooLarge) {
				ctx.SetConnectionClose()
			}
		},
	}
	return f
}

// DiscardLogger keeps the HTTP library from writing to the log.
type DiscardLogger struct{}

// Printf writes nothing.
func (DiscardLogger) Printf(string, ...any) {}

// OpenConnections is how many connections there are.
func (f *APIServer) OpenConnections() int { return int(f.server.GetOpenConnectionsCount()) }

// Serve serves a listener until it is closed.
func (f *APIServer) Serve(l net.Listener) error { return f.server.Serve(l) }

func writeReply(ctx *fasthttp.RequestCtx, r message.Reply) {
	ctx.SetStatusCode(r.Status)
	ctx.SetContentType(protocol.ContentType)
	if r.RetryAfterS > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(r.RetryAfterS))
	}
	if r.CloseConnection {
		ctx.SetConnectionClose()
	}
	ctx.SetBody(r.Body)
}

func (f *APIServer) handle(ctx *fasthttp.RequestCtx) {
	method, path := string(ctx.Method()), string(ctx.Path())
	switch path {
	case protocol.PathHealth:
		if method != http.MethodGet {
			writeReply(ctx, methodNotAllowed)
		} else if f.handler.Healthy() {
			writeReply(ctx, message.Reply{Status: 200, Body: healthyBody})
		} else {
			writeReply(ctx, Unavailable("not ready"))
		}
	case protocol.PathHeartbeat:
		if method != http.MethodPost {
			writeReply(ctx, methodNotAllowed)
			return
		}
		r, err := protocol.DecodeHeartbeat(ctx.PostBody())
		if err != nil {
			writeReply(ctx, message.Reply{Status: 400, Body: protocol.EncodeError(err.Error())})
			return
		}
		writeReply(ctx, f.handler.Handle(message.HeartbeatRequest{Heartbeat: r}, RawRequest{}, protocol.SubmitTimeoutS*time.Second/2))
	default:
		writeReply(ctx, handleUserRequest(f.handler, f.limit, RawRequest{Method: method, Path: path, Body: ctx.PostBody()}))
	}
}

var (
	healthyBody      = protocol.Encode(map[string]bool{"ok": true})
	methodNotAllowed = message.Reply{Status: 405, Body: protocol.EncodeError("wrong method")}
	notFound         = message.Reply{Status: 404, Body: protocol.EncodeError("no such path")}
)

// Unavailable is the refusal of a request that may come again soon.
func Unavailable(why string) message.Reply {
	return message.Reply{Status: 503, Body: protocol.EncodeError(why), RetryAfterS: retryAfterS}
}

// handleUserRequest answers a user's request, whether it came straight or from a peer.
func handleUserRequest(owner RequestHandler, limit *ConcurrencyLimit, raw RawRequest) message.Reply {
	id, cancel, ok := protocol.SplitJobPath(raw.Path)
	if !ok {
		return notFound
	}
	call := message.UserRequest{Job: id}
	want := http.MethodPost
	switch {
	case id == "":
		call.Kind = message.Submit
	case cancel:
		call.Kind = message.Cancel
	default:
		call.Kind, want = message.Poll, http.MethodGet
	}
	if raw.Method != want {
		return methodNotAllowed
	}
	if call.Kind == message.Submit {
		s, err := protocol.DecodeSubmission(raw.Body)
		if err != nil {
			return message.Reply{Status: 400, Body: protocol.EncodeError(err.Error())}
		}
		call.Submission, call.Job = s, s.ID
	}
	// A cancellation is never shed, nor is what a peer has already let in.
	if call.Kind == message.Cancel || raw.FromPeer {
		return owner.Handle(call, raw, userTimeout(call.Kind))
	}
	answer := func() message.Reply { return owner.Handle(call, raw, userTimeout(call.Kind)) }
	if call.Kind == message.Submit {
		return limit.RunWithPriority(answer)
	}
	return limit.Run(answer)
}

// PeerServer serves the other controllers, and what is mounted beside them.
type PeerServer struct {
	handler RequestHandler
	limit   *ConcurrencyLimit
	mounted map[string]http.Handler
}

// NewPeerServer makes it. Each handler serves the paths that begin with its prefix.
func NewPeerServer(owner RequestHandler, limit *ConcurrencyLimit, mounted map[string]http.Handler) *PeerServer {
	return &PeerServer{owner, limit, mounted}
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
	var reply message.Reply
	if r.URL.Path == protocol.PathStepDown {
		var m protocol.StepDown
		if protocol.Decode(body, &m) != nil {
			http.Error(w, "body", http.StatusBadRequest)
			return
		}
		reply = s.handler.Handle(message.StepDownRequest{Term: m.Term, Leader: m.Leader, AsksArchive: m.ReadsArchive}, RawRequest{}, protocol.PollTimeoutS*time.Second)
	} else {
		reply = handleUserRequest(s.handler, s.limit, RawRequest{Method: r.Method, Path: r.URL.Path, Body: body, FromPeer: true})
	}
	w.Header().Set("Content-Type", protocol.ContentType)
	if reply.RetryAfterS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(reply.RetryAfterS))
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body) // a peer that has gone asks again
}

// Serve serves HTTP/2 in clear text, and HTTP/1.1 for operators' tools.
func (s *PeerServer) Serve(ctx context.Context, l net.Listener, connections int, idle time.Duration) error {
	//lint:ignore SA1019 its limits were measured; the standard library's way is still to be
	h2 := &http2.Server{IdleTimeout: idle, MaxConcurrentStreams: uint32(connections)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: s, Protocols: protocols, IdleTimeout: idle, ReadHeaderTimeout: idle, MaxHeaderBytes: 8 << 10}
	//lint:ignore SA1019 as above
	if err := http2.ConfigureServer(server, h2); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(l)
}
