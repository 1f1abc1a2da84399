package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"oakpick/internal/config"
	"oakpick/internal/distribution"
	"oakpick/internal/message"
	"oakpick/internal/transport"
)

const (
	trackerMetricsPath = "/metrics"
	// idleTimeoutInventoryIntervals is the number of inventory intervals of an idle agent after
	// which an idle connection is closed.
	idleTimeoutInventoryIntervals = 3
	// keepAliveShare is the share of the allowed connections above which every connection is
	// closed after its response, so that the agents of a large fleet are served in turns.
	keepAliveShare     = 0.75
	trackerBufferBytes = 4096 // size of each connection's read buffer and write buffer
)

// trackerService serves the weight tracker: to agents and operators on a listener of its own, and
// to peers on the listener for peers.
type trackerService struct {
	loop           *trackerLoop
	listener       net.Listener
	server         *fasthttp.Server
	limit          *transport.ConcurrencyLimit
	keepAliveLimit int // number of open connections above which each is closed after its response
}

// newTrackerService creates the service and opens its listener; start serves it.
func newTrackerService(p *process, clients *clients, settings *config.Distribution) (*trackerService, error) {
	address, err := settings.TrackerAddress(p.config.PeerListen)
	if err != nil {
		return nil, err
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(p.ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("distribution: %w", err)
	}
	loop := newTrackerLoop(p, clients, settings)
	s := &trackerService{
		loop: loop, listener: listener, keepAliveLimit: int(keepAliveShare * float64(settings.Connections)),
		limit: transport.NewConcurrencyLimit(settings.Connections/4, loop.inventoryInterval, func() { loop.metrics.shed.Inc() }),
	}
	s.server = s.newServer(settings)
	return s, nil
}

func (s *trackerService) newServer(settings *config.Distribution) *fasthttp.Server {
	idle := config.Seconds(settings.IdleInventoryIntervalS)
	metricsPage := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.loop.metrics.registry, promhttp.HandlerOpts{}))
	return &fasthttp.Server{
		Concurrency:           settings.Connections,
		MaxRequestBodySize:    distribution.MaxMessageBytes,
		ReadTimeout:           idleTimeoutInventoryIntervals * idle,
		IdleTimeout:           idleTimeoutInventoryIntervals * idle,
		WriteTimeout:          idle,
		ReadBufferSize:        trackerBufferBytes,
		WriteBufferSize:       trackerBufferBytes,
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                transport.DiscardLogger{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == trackerMetricsPath {
				metricsPage(ctx)
				return
			}
			s.serveRequest(ctx)
		},
	}
}

// start starts the goroutines of the service. They end with the process's context.
func (s *trackerService) start() {
	p := s.loop.process
	p.goroutines.Go(func() error { return s.server.Serve(s.listener) })
	p.goroutines.Go(func() error { s.loop.run(); return nil })
	p.goroutines.Go(func() error { <-p.ctx.Done(); return errors.Join(p.ctx.Err(), s.listener.Close()) })
	p.log.Info("serving the weight tracker", "listen", s.listener.Addr().String())
}

// serveRequest answers a request of an agent or an operator.
func (s *trackerService) serveRequest(ctx *fasthttp.RequestCtx) {
	reply := s.answer(trackerRequest{
		method: string(ctx.Method()), path: string(ctx.Path()), query: string(ctx.URI().QueryString()),
		// The body belongs to the server's buffers, which the next request reuses.
		body: append([]byte(nil), ctx.PostBody()...),
	})
	reply.CloseConnection = int(s.server.GetOpenConnectionsCount()) > s.keepAliveLimit
	transport.WriteFastHTTPReply(ctx, jsonContentType, reply)
}

// peerHandler returns the handler for requests that other controllers forward.
func (s *trackerService) peerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, distribution.MaxMessageBytes))
		if err != nil {
			transport.WriteReply(w, jsonContentType, trackerError(http.StatusBadRequest, "body: too long, or cut short", 0))
			return
		}
		reply := s.answer(trackerRequest{method: r.Method, path: r.URL.Path, query: r.URL.RawQuery, body: body, fromPeer: true})
		transport.WriteReply(w, jsonContentType, reply)
	})
}

// answer answers a request that came directly or from a peer.
func (s *trackerService) answer(request trackerRequest) message.Reply {
	newCommand, refusal := parseTrackerRequest(request)
	if newCommand == nil {
		return refusal
	}
	if request.fromPeer { // the peer's concurrency limit has admitted it
		return s.loop.submit(newCommand, request)
	}
	return s.limit.Run(func() message.Reply { return s.loop.submit(newCommand, request) })
}

// trackerUnavailable returns a refusal that the sender may retry after the given time.
func trackerUnavailable(reason string, retryAfter time.Duration) message.Reply {
	return trackerError(http.StatusServiceUnavailable, reason, max(1, retrySeconds(retryAfter)))
}

// trackerError returns a refusal. With a retryAfterS of 0, it has no Retry-After header.
func trackerError(status int, reason string, retryAfterS int) message.Reply {
	body, err := json.Marshal(distribution.ErrorResponse{Error: reason})
	if err != nil {
		body = []byte("{}")
	}
	return message.Reply{Status: status, Body: body, RetryAfterS: retryAfterS}
}

// retrySeconds rounds up to whole seconds, the unit of the Retry-After header.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
