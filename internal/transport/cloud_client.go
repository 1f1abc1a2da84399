package transport

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// CloudClient speaks to the cloud.
type CloudClient struct {
	client  *fasthttp.HostClient
	timeout time.Duration
}

// NewCloudClient makes the client.
func NewCloudClient(addr string, w config.Workers) *CloudClient {
	wait := config.Seconds(w.HeartbeatIntervalS * 1.5)
	return &CloudClient{timeout: wait, client: &fasthttp.HostClient{
		Addr: addr, Dial: rpc.Dial(wait / 2), MaxConns: config.CloudConnections, MaxIdemponentCallAttempts: 1, RetryIfErr: rpc.NeverRetry,
		MaxResponseBodySize: 1 << 20, NoDefaultUserAgentHeader: true,
	}}
}

// Do makes a call and waits for its outcome.
func (c *CloudClient) Do(call message.CloudCall) message.CloudResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	c.writeRequest(req, call)
	r := message.CloudResult{ID: call.ID}
	if err := c.client.DoTimeout(req, res, c.timeout); err != nil {
		r.Outcome = rpc.OutcomeOfError(err)
		return r
	}
	r.Outcome = cloudOutcome(res.StatusCode(), res.Body())
	if r.Outcome == rpc.OK && decodeCloudResponse(&r, call.Op, res.Body()) != nil {
		r.Outcome = rpc.Unknown // an answer that can't be read tells nothing
	}
	return r
}

// writeRequest makes the request of a call.
func (c *CloudClient) writeRequest(req *fasthttp.Request, call message.CloudCall) {
	uri := "http://" + c.client.Addr
	switch call.Op {
	case message.CloudListTypes:
		uri += protocol.PathMachineTypes
	case message.CloudListMachines:
		uri += protocol.PathScaleOut + "?" + listQuery(call.StartAfter)
	case message.CloudScaleOut:
		uri += protocol.PathScaleOut
		setPostBody(req, protocol.Encode(call.Provisioning))
	case message.CloudScaleIn:
		uri += protocol.PathScaleIn
		setPostBody(req, protocol.Encode(protocol.MachineNames{Names: call.Machines}))
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

func setPostBody(req *fasthttp.Request, body []byte) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(protocol.ContentType)
	req.SetBody(body)
}

// cloudOutcome tells what an answer's status means.
func cloudOutcome(status int, body []byte) rpc.Outcome {
	switch status {
	case fasthttp.StatusOK:
		return rpc.OK
	case fasthttp.StatusBadRequest:
		return rpc.Invalid
	case fasthttp.StatusServiceUnavailable:
		if protocol.NoCapacity(body) {
			return rpc.NotFound
		}
		return rpc.Refused
	case fasthttp.StatusTooManyRequests:
		return rpc.Refused
	}
	return rpc.Unknown
}

// decodeCloudResponse reads what a call has brought.
func decodeCloudResponse(r *message.CloudResult, op message.CloudOp, body []byte) error {
	switch op {
	case message.CloudListTypes:
		var a protocol.MachineTypes
		err := protocol.Decode(body, &a)
		r.Types = a.Types
		return err
	case message.CloudListMachines:
		return protocol.Decode(body, &r.List)
	case message.CloudScaleOut:
		var a protocol.MachineNames
		err := protocol.Decode(body, &a)
		r.Machines = a.Names
		return err
	}
	return nil
}
