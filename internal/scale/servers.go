package scale

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
	"oakpick/internal/transport"
)

// servers are the hollow components that controllers connect to: state service, cloud and
// the workers' own listeners. All of them hand requests to the world's owner.
type servers struct {
	loop  *loop
	meter *meter
	hosts sync.Map // host name by the address that a worker listens on

	stateRate *rate.Limiter

	servers   []*fasthttp.Server
	listeners []net.Listener
	workers   *fanIn
}

// silence is for how long a connection is held that gets no answer. Whoever asked has given
// up long before.
const silence = 30 * time.Second

func newServers(l *loop, m *meter, stateRPS float64) *servers {
	return &servers{loop: l, meter: m, stateRate: rate.NewLimiter(rate.Limit(stateRPS), int(stateRPS)), workers: newFanIn()}
}

// open listens for the state service, the cloud and the workers.
func (s *servers) open(a addresses) error {
	for _, one := range []struct {
		addr   string
		kind   kind
		handle fasthttp.RequestHandler
	}{{a.state(), kindState, s.state}, {a.cloud(), kindCloud, s.cloud}} {
		l, err := net.Listen("tcp4", one.addr)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, l)
		s.serve(countedListener{l, s.meter.traffic[one.kind]}, one.handle)
	}
	s.serve(countedListener{s.workers, s.meter.traffic[kindOrders]}, s.orders)
	return nil
}

func (s *servers) serve(l net.Listener, handle fasthttp.RequestHandler) {
	server := &fasthttp.Server{Handler: handle, Logger: transport.DiscardLogger{}, NoDefaultServerHeader: true, NoDefaultDate: true, Concurrency: 1 << 20, ReduceMemoryUsage: true}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }() // it ends with the listener
}

// close stops listening, and closes what is open.
func (s *servers) close() {
	for _, l := range s.listeners {
		_ = l.Close() // nothing can be done about it at the end
	}
	_ = s.workers.Close()
	for _, server := range s.servers {
		go func() { _ = server.Shutdown() }()
	}
}

// boot opens the listener of a machine that has come up.
func (s *servers) boot(m protocol.Machine) {
	s.hosts.Store(m.Addr, m.Name)
	if err := s.workers.listen(m.Addr); err != nil {
		s.loop.world.Violation("scale", "%s can't listen: %v", m.Name, err)
	}
}

// asked hands a request to the world's owner and waits for its answer; false: there is none.
func asked[R any](l *loop, serve func(answer func(R))) (R, bool) {
	answer := make(chan R, 1)
	l.do(func() { serve(func(r R) { answer <- r }) })
	timer := time.NewTimer(silence)
	defer timer.Stop()
	select {
	case r := <-answer:
		return r, true
	case <-timer.C:
	case <-l.over:
	}
	var none R
	return none, false
}

// unanswered closes a connection without a word.
func unanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func respond(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(protocol.ContentType)
	if raw, ok := body.([]byte); ok {
		ctx.SetBody(raw)
	} else if body != nil {
		ctx.SetBody(protocol.Encode(body))
	}
}

// orders executes direct commands.
func (s *servers) orders(ctx *fasthttp.RequestCtx) {
	s.meter.traffic[kindOrders].messages.Add(1)
	host, ok := s.hosts.Load(ctx.LocalAddr().String())
	if !ok || string(ctx.Path()) != protocol.PathCommands {
		respond(ctx, http.StatusNotFound, nil)
		return
	}
	o, err := protocol.DecodeCommands(ctx.PostBody())
	if err != nil || !o.Complete {
		respond(ctx, http.StatusBadRequest, nil)
		return
	}
	call := message.CommandsCall{Machine: host.(string), FencingToken: o.FencingToken, Incarnation: o.Incarnation, Commands: o.Commands}
	r, ok := asked(s.loop, func(answer func(message.CommandsResult)) { s.loop.world.ServeCommands(call, answer) })
	if !ok {
		unanswered(ctx)
		return
	}
	status := http.StatusOK
	if r.Outcome == rpc.Conflict {
		status = http.StatusConflict
	}
	respond(ctx, status, protocol.EncodeHeartbeat(r.Heartbeat))
}

// cloud serves the cloud's interface.
func (s *servers) cloud(ctx *fasthttp.RequestCtx) {
	s.meter.traffic[kindCloud].messages.Add(1)
	call, ok := cloudCall(ctx)
	if !ok {
		respond(ctx, http.StatusBadRequest, nil)
		return
	}
	r, ok := asked(s.loop, func(answer func(message.CloudResult)) { s.loop.world.ServeCloud(call, answer) })
	switch {
	case !ok:
		unanswered(ctx)
	case r.Outcome == rpc.Invalid:
		respond(ctx, http.StatusBadRequest, nil)
	case r.Outcome == rpc.NotFound:
		respond(ctx, http.StatusServiceUnavailable, protocol.EncodeNoCapacity())
	case r.Outcome != rpc.OK:
		respond(ctx, http.StatusServiceUnavailable, protocol.EncodeError("trouble"))
	case call.Op == message.CloudListTypes:
		respond(ctx, http.StatusOK, protocol.MachineTypes{Types: r.Types})
	case call.Op == message.CloudListMachines:
		respond(ctx, http.StatusOK, pageOf(r.List, call.StartAfter, ctx.QueryArgs().GetUintOrZero("limit")))
	default:
		respond(ctx, http.StatusOK, protocol.MachineNames{Names: r.Machines})
	}
}

func cloudCall(ctx *fasthttp.RequestCtx) (message.CloudCall, bool) {
	switch path := string(ctx.Path()); {
	case path == protocol.PathMachineTypes:
		return message.CloudCall{Op: message.CloudListTypes}, true
	case path == protocol.PathScaleOut && ctx.IsGet():
		return message.CloudCall{Op: message.CloudListMachines, StartAfter: string(ctx.QueryArgs().Peek("after"))}, true
	case path == protocol.PathScaleOut:
		c := message.CloudCall{Op: message.CloudScaleOut}
		return c, protocol.Decode(ctx.PostBody(), &c.Provisioning) == nil
	case path == protocol.PathScaleIn:
		var hosts protocol.MachineNames
		err := protocol.Decode(ctx.PostBody(), &hosts)
		return message.CloudCall{Op: message.CloudScaleIn, Machines: hosts.Names}, err == nil
	}
	return message.CloudCall{}, false
}

// pageOf is the part of the machine list behind a name, as long as the limit allows.
func pageOf(list protocol.MachineList, after string, limit int) protocol.MachineList {
	slices.SortFunc(list.Machines, func(a, b protocol.Machine) int { return strings.Compare(a.Name, b.Name) })
	from := slices.IndexFunc(list.Machines, func(m protocol.Machine) bool { return m.Name > after })
	if from < 0 {
		return protocol.MachineList{}
	}
	if limit <= 0 || limit > protocol.MaxMachinesListed {
		limit = protocol.MaxMachinesListed
	}
	rest := list.Machines[from:]
	return protocol.MachineList{Machines: rest[:min(limit, len(rest))], More: len(rest) > limit}
}

// state serves the state service's interface, without watches, which no controller uses.
func (s *servers) state(ctx *fasthttp.RequestCtx) {
	s.meter.traffic[kindState].messages.Add(1)
	if !s.stateRate.Allow() {
		s.meter.answered("state 429 for the rate")
		respond(ctx, http.StatusTooManyRequests, nil)
		return
	}
	call, ok := stateCall(ctx)
	if !ok {
		respond(ctx, http.StatusBadRequest, nil)
		return
	}
	r, ok := asked(s.loop, func(answer func(storage.StateResult)) { s.loop.world.ServeState(call, answer) })
	if !ok {
		unanswered(ctx)
		return
	}
	respondState(ctx, call, r)
}

func stateCall(ctx *fasthttp.RequestCtx) (storage.StateCall, bool) {
	path := string(ctx.Path())
	if key, ok := strings.CutPrefix(path, protocol.PathKV+"/"); ok {
		return storage.StateCall{Op: storage.StateGet, Key: key}, true
	}
	switch path {
	case protocol.PathKV:
		args := ctx.QueryArgs()
		return storage.StateCall{
			Op: storage.StateList, Key: string(args.Peek("starts")), StartAfter: string(args.Peek("after")), Limit: args.GetUintOrZero("limit"),
		}, true
	case protocol.PathTxn:
		txn, err := protocol.DecodeTxn(ctx.PostBody())
		return storage.StateCall{Op: storage.StateTxn, Txn: txn}, err == nil
	case protocol.PathLeases:
		var g protocol.LeaseRequest
		err := protocol.Decode(ctx.PostBody(), &g)
		return storage.StateCall{Op: storage.StateGrantLease, TTL: time.Duration(g.TTLms) * time.Millisecond}, err == nil
	}
	lease, renew, ok := protocol.SplitLeasePath(path)
	if renew {
		return storage.StateCall{Op: storage.StateRenewLease, Lease: lease}, ok
	}
	return storage.StateCall{Op: storage.StateRevokeLease, Lease: lease}, ok && ctx.IsDelete()
}

func respondState(ctx *fasthttp.RequestCtx, call storage.StateCall, r storage.StateResult) {
	switch r.Outcome {
	case rpc.OK:
	case rpc.Conflict:
		respond(ctx, http.StatusConflict, protocol.TxnResponse{Revision: r.Revision})
		return
	case rpc.NotFound:
		respond(ctx, http.StatusNotFound, nil)
		return
	case rpc.Invalid:
		respond(ctx, http.StatusBadRequest, protocol.EncodeError("refused"))
		return
	default:
		respond(ctx, http.StatusServiceUnavailable, nil)
		return
	}
	switch call.Op {
	case storage.StateGet:
		respond(ctx, http.StatusOK, r.Entry)
	case storage.StateList:
		respond(ctx, http.StatusOK, r.List)
	case storage.StateTxn:
		respond(ctx, http.StatusOK, protocol.TxnResponse{Revision: r.Revision})
	case storage.StateGrantLease:
		respond(ctx, http.StatusOK, protocol.LeaseGrant{Lease: r.Revision})
	default:
		respond(ctx, http.StatusOK, map[string]string{})
	}
}
