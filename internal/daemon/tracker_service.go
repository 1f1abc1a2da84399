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
	// idleInventoryIntervals is for how many inventory intervals of an idle agent its idle
	// connection is kept.
	idleInventoryIntervals = 3
	// keepAliveShare is the part of the connections from which on each is closed with its
	// answer, so that a fleet of any size is served in turns.
	keepAliveShare     = 0.75
	trackerBufferBytes = 4096 // of each connection, for reading and for writing
)

// trackerService serves the tracker of weights: to agents and operators on a listener of its
// own, and to peers beside what they are served else.
type trackerService struct {
	loop      *trackerLoop
	listener  net.Listener
	server    *fasthttp.Server
	limit     *transport.ConcurrencyLimit
	keepAlive int // connections, from which on each is closed with its answer
}

// newTrackerService opens the listener; start serves it.
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
		loop: loop, listener: listener, keepAlive: int(keepAliveShare * float64(settings.Connections)),
		limit: transport.NewConcurrencyLimit(settings.Connections/4, loop.timeout, func() { loop.metrics.shed.Inc() }),
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
		ReadTimeout:           idleInventoryIntervals * idle,
		IdleTimeout:           idleInventoryIntervals * idle,
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

// start serves until the process's context ends.
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
	reply.CloseConnection = int(s.server.GetOpenConnectionsCount()) > s.keepAlive
	transport.WriteFastHTTPReply(ctx, jsonContentType, reply)
}

// peerHandler answers what other controllers forward.
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

// answer answers a request, whether it came directly or from a peer.
func (s *trackerService) answer(request trackerRequest) message.Reply {
	newCommand, refusal := parseTrackerRequest(request)
	if newCommand == nil {
		return refusal
	}
	if request.fromPeer { // which has admitted it
		return s.loop.submit(newCommand, request)
	}
	return s.limit.Run(func() message.Reply { return s.loop.submit(newCommand, request) })
}

// trackerUnavailable refuses a request that may come again after a time.
func trackerUnavailable(reason string, retryAfter time.Duration) message.Reply {
	return trackerError(http.StatusServiceUnavailable, reason, max(1, retrySeconds(retryAfter)))
}

// trackerError refuses a request; retryAfterS is in seconds, 0: no such header.
func trackerError(status int, reason string, retryAfterS int) message.Reply {
	body, err := json.Marshal(distribution.ErrorResponse{Error: reason})
	if err != nil {
		body = []byte("{}")
	}
	return message.Reply{Status: status, Body: body, RetryAfterS: retryAfterS}
}

// retrySeconds rounds up to the whole seconds that a header can tell.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
