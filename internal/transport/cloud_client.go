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

// maxCloudResponseBytes limits the size of the cloud's responses, which can hold long lists.
const maxCloudResponseBytes = 1 << 20

// CloudClient sends requests to the cloud.
type CloudClient struct {
	client  *fasthttp.HostClient
	timeout time.Duration
}

// NewCloudClient creates a client for the cloud at addr. Its timeout is derived from the heartbeat
// interval.
func NewCloudClient(addr string, workers config.Workers) *CloudClient {
	timeout := config.Seconds(workers.HeartbeatIntervalS * 1.5)
	client := newHostClient(addr, rpc.NewDialFunc(timeout/2), config.CloudConnections, maxCloudResponseBytes)
	return &CloudClient{client: client, timeout: timeout}
}

// Do makes a call and waits for its outcome.
func (c *CloudClient) Do(call message.CloudCall) message.CloudResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	c.writeRequest(req, call)
	result := message.CloudResult{ID: call.ID}
	if err := c.client.DoTimeout(req, res, c.timeout); err != nil {
		result.Outcome = rpc.OutcomeOfError(err)
		return result
	}
	result.Outcome = cloudOutcome(res.StatusCode(), res.Body())
	if result.Outcome == rpc.OK && decodeCloudResponse(&result, call.Op, res.Body()) != nil {
		result.Outcome = rpc.Unknown // the result can't be decoded
	}
	return result
}

// writeRequest fills in the HTTP request for a call.
func (c *CloudClient) writeRequest(req *fasthttp.Request, call message.CloudCall) {
	uri := "http://" + c.client.Addr
	switch call.Op {
	case message.CloudListTypes:
		uri += protocol.PathMachineTypes
	case message.CloudListMachines:
		uri += protocol.PathMachines + "?" + listQuery(call.StartAfter)
	case message.CloudScaleOut:
		uri += protocol.PathMachines
		setPostBody(req, protocol.Encode(call.Provisioning))
	case message.CloudScaleIn:
		uri += protocol.PathScaleIn
		setPostBody(req, protocol.Encode(protocol.MachineNames{Names: call.Machines}))
	}
	req.SetRequestURI(uri)
}

// listQuery returns the query for the page of machines that follow startAfter, or for the first
// page if startAfter is empty.
func listQuery(startAfter string) string {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	if startAfter != "" {
		args.Set("after", startAfter)
	}
	args.Set("limit", strconv.Itoa(protocol.MaxMachinesPerPage))
	return args.String()
}

// cloudOutcome returns the outcome of a call by the status and the body of its response.
func cloudOutcome(status int, body []byte) rpc.Outcome {
	switch status {
	case fasthttp.StatusOK:
		return rpc.OK
	case fasthttp.StatusBadRequest:
		return rpc.Invalid
	case fasthttp.StatusServiceUnavailable:
		if protocol.IsNoCapacity(body) {
			return rpc.NotFound
		}
		return rpc.Refused
	case fasthttp.StatusTooManyRequests:
		return rpc.Refused
	}
	return rpc.Unknown
}

// decodeCloudResponse decodes the body of a response into the result of the call.
func decodeCloudResponse(result *message.CloudResult, op message.CloudOp, body []byte) error {
	switch op {
	case message.CloudListTypes:
		var response protocol.MachineTypes
		err := protocol.Decode(body, &response)
		result.Types = response.Types
		return err
	case message.CloudListMachines:
		return protocol.Decode(body, &result.List)
	case message.CloudScaleOut:
		var response protocol.MachineNames
		err := protocol.Decode(body, &response)
		result.Machines = response.Names
		return err
	}
	return nil // a scale-in has no result besides its status
}
