package transport

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/config"
	"oakpick/internal/coordination"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// Cloud speaks to the cloud.
type Cloud struct {
	client *fasthttp.HostClient
	wait   time.Duration
}

// NewCloud makes the client.
func NewCloud(addr string, w config.Workers) *Cloud {
	wait := config.Seconds(w.HeartbeatIntervalS * 1.5)
	return &Cloud{wait: wait, client: &fasthttp.HostClient{
		Addr: addr, Dial: storage.Dial(wait / 2), MaxConns: config.CloudConnections, MaxIdemponentCallAttempts: 1, RetryIfErr: storage.NoRetry,
		MaxResponseBodySize: 1 << 20, NoDefaultUserAgentHeader: true,
	}}
}

// Do makes a call and waits for its outcome.
func (c *Cloud) Do(call coordination.CloudCall) coordination.CloudResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	c.write(req, call)
	r := coordination.CloudResult{ID: call.ID}
	if err := c.client.DoTimeout(req, res, c.wait); err != nil {
		r.Outcome = storage.Failure(err)
		return r
	}
	r.Outcome = cloudOutcome(res.StatusCode(), res.Body())
	if r.Outcome == coordination.OK && readCloud(&r, call.Op, res.Body()) != nil {
		r.Outcome = coordination.Unknown // an answer that can't be read tells nothing
	}
	return r
}

// write makes the request of a call.
func (c *Cloud) write(req *fasthttp.Request, call coordination.CloudCall) {
	uri := "http://" + c.client.Addr
	switch call.Op {
	case coordination.CloudListTypes:
		uri += protocol.PathMachineTypes
	case coordination.CloudListMachines:
		uri += protocol.PathScaleOut + "?" + listQuery(call.StartAfter)
	case coordination.CloudScaleOut:
		uri += protocol.PathScaleOut
		writeBody(req, protocol.Encode(call.Provisioning))
	case coordination.CloudScaleIn:
		uri += protocol.PathScaleIn
		writeBody(req, protocol.Encode(protocol.MachineNames{Names: call.Machines}))
	}
	req.SetRequestURI(uri)
}

// listQuery asks for the page of machines behind one.
func listQuery(after string) string {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	if after != "" {
		args.Set("after", after)
	}
	args.Set("limit", strconv.Itoa(protocol.MaxMachinesListed))
	return args.String()
}

func writeBody(req *fasthttp.Request, body []byte) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(protocol.ContentType)
	req.SetBody(body)
}

// cloudOutcome tells what an answer's status means.
func cloudOutcome(status int, body []byte) coordination.Outcome {
	switch status {
	case fasthttp.StatusOK:
		return coordination.OK
	case fasthttp.StatusBadRequest:
		return coordination.Invalid
	case fasthttp.StatusServiceUnavailable:
		if protocol.NoCapacity(body) {
			return coordination.NotFound
		}
		return coordination.Refused
	case fasthttp.StatusTooManyRequests:
		return coordination.Refused
	}
	return coordination.Unknown
}

// readCloud reads what a call has brought.
func readCloud(r *coordination.CloudResult, op coordination.CloudOp, body []byte) error {
	switch op {
	case coordination.CloudListTypes:
		var a protocol.MachineTypes
		err := protocol.Decode(body, &a)
		r.Types = a.Types
		return err
	case coordination.CloudListMachines:
		return protocol.Decode(body, &r.List)
	case coordination.CloudScaleOut:
		var a protocol.MachineNames
		err := protocol.Decode(body, &a)
		r.Machines = a.Names
		return err
	}
	return nil
}
