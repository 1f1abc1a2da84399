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

// simulatedServers serves, over real sockets, the components that controllers connect to: the state
// service, the cloud and the workers' command listeners. It forwards all requests to the simulated
// world.
type simulatedServers struct {
	loop         *worldLoop
	meter        *Meter
	machineNames sync.Map // machine names by the listen address of the worker

	stateRate *rate.Limiter

	servers   []*fasthttp.Server
	listeners []net.Listener
	workers   *multiListener
}

// maxConcurrentRequests is larger than the number of connections of a run.
const maxConcurrentRequests = 1 << 20

func newSimulatedServers(loop *worldLoop, meter *Meter, stateRPS float64) *simulatedServers {
	return &simulatedServers{
		loop: loop, meter: meter, stateRate: rate.NewLimiter(rate.Limit(stateRPS), int(stateRPS)), workers: newMultiListener(),
	}
}

// open starts the servers of the state service, the cloud and the workers.
// openWorkerListener adds the workers' addresses later.
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
	go func() { _ = server.Serve(counted) }() // returns when close closes the listener
}

// close closes all listeners and starts the shutdown of the servers, which closes open connections.
func (s *simulatedServers) close() {
	for _, listener := range s.listeners {
		_ = listener.Close() // an error at the end of a run is ignored
	}
	_ = s.workers.Close() // always nil
	for _, server := range s.servers {
		// Shutdown is not waited for: killed controllers may have left connections half closed.
		go func() { _ = server.Shutdown() }()
	}
}

// openWorkerListener opens the command listener of a machine that has booted. The loop calls it.
func (s *simulatedServers) openWorkerListener(machine protocol.Machine) {
	s.machineNames.Store(machine.Addr, machine.Name)
	if err := s.workers.listen(machine.Addr); err != nil {
		s.loop.world.RecordViolation("scale", "%s can't listen: %v", machine.Name, err)
	}
}

// respond sends a response. A body of type []byte is sent as it is, any other body is encoded, and
// nil stands for no body.
func respond(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(protocol.ContentType)
	if encoded, ok := body.([]byte); ok {
		ctx.SetBody(encoded)
	} else if body != nil {
		ctx.SetBody(protocol.Encode(body))
	}
}

// respondInvalid rejects a request that can't be decoded.
func respondInvalid(ctx *fasthttp.RequestCtx) { respond(ctx, http.StatusBadRequest, nil) }

// dropConnection closes a connection without a response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
