package testbed

import (
	"net"
	"net/http"
	"sync"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"oakpick/internal/protocol"
	"oakpick/internal/transport"
)

// simulatedServers serve, over real sockets, what controllers connect to: the state service, the
// cloud and the workers' command listeners. All of them hand requests to the simulated world.
type simulatedServers struct {
	loop         *worldLoop
	meter        *Meter
	machineNames sync.Map // string by the address on which the worker listens

	stateRate *rate.Limiter

	servers   []*fasthttp.Server
	listeners []net.Listener
	workers   *multiListener
}

// maxConcurrentRequests is more than all connections of a run.
const maxConcurrentRequests = 1 << 20

func newSimulatedServers(loop *worldLoop, meter *Meter, stateRPS float64) *simulatedServers {
	return &simulatedServers{
		loop: loop, meter: meter, stateRate: rate.NewLimiter(rate.Limit(stateRPS), int(stateRPS)), workers: newMultiListener(),
	}
}

// open listens for the state service, the cloud and the workers.
func (s *simulatedServers) open(addresses Addresses) error {
	for _, server := range []struct {
		address string
		kind    TrafficKind
		handle  fasthttp.RequestHandler
	}{
		{addresses.StateService(), StateTraffic, s.handleState},
		{addresses.Cloud(), CloudTraffic, s.handleCloud},
	} {
		listener, err := net.Listen("tcp4", server.address)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, listener)
		s.serve(listener, server.kind, server.handle)
	}
	s.serve(s.workers, CommandTraffic, s.handleCommands)
	return nil
}

func (s *simulatedServers) serve(listener net.Listener, kind TrafficKind, handle fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler: handle, Logger: transport.DiscardLogger{}, NoDefaultServerHeader: true, NoDefaultDate: true,
		Concurrency: maxConcurrentRequests, ReduceMemoryUsage: true,
	}
	s.servers = append(s.servers, server)
	counted := countingListener{listener, s.meter.counters[kind]}
	go func() { _ = server.Serve(counted) }() // it ends when close closes the listener
}

// close stops listening, and has open connections closed.
func (s *simulatedServers) close() {
	for _, listener := range s.listeners {
		_ = listener.Close() // nothing can be done about it at the end
	}
	_ = s.workers.Close() // it never fails
	for _, server := range s.servers {
		// Not waited for: controllers that were killed may have left connections half closed.
		go func() { _ = server.Shutdown() }()
	}
}

// openWorker opens the command listener of a machine that has booted. The loop calls it.
func (s *simulatedServers) openWorker(machine protocol.Machine) {
	s.machineNames.Store(machine.Addr, machine.Name)
	if err := s.workers.listen(machine.Addr); err != nil {
		s.loop.world.RecordViolation("scale", "%s can't listen: %v", machine.Name, err)
	}
}

// respond answers with a body that is encoded already, or is to be; nil: none.
func respond(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(protocol.ContentType)
	if encoded, ok := body.([]byte); ok {
		ctx.SetBody(encoded)
	} else if body != nil {
		ctx.SetBody(protocol.Encode(body))
	}
}

// respondInvalid refuses a request that can't be read.
func respondInvalid(ctx *fasthttp.RequestCtx) { respond(ctx, http.StatusBadRequest, nil) }

// dropConnection closes a connection without an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
