package transport

import (
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// idleTimeoutFactor is the idle timeout of a connection as a multiple of the client's timeout.
const idleTimeoutFactor = 24

// WorkerClient sends direct commands to workers over a bounded number of connections. While all
// connections are in use, Send reports rpc.NotSent instead of waiting. An unresponsive machine
// holds a connection for at most the timeout of a call.
type WorkerClient struct {
	timeout time.Duration
	pool    *connectionPool
}

// NewWorkerClient creates the client. Its timeout is derived from the heartbeat interval.
// maxConnections returns the number of connections that the client may hold at present.
func NewWorkerClient(workers config.Workers, maxConnections func() int) *WorkerClient {
	timeout := config.Seconds(workers.HeartbeatIntervalS * 0.75)
	return &WorkerClient{
		timeout: timeout,
		pool:    newConnectionPool(rpc.NewDialFunc(timeout*2/3), timeout*idleTimeoutFactor, maxConnections),
	}
}

// Send sends commands and waits for the worker's answer.
func (c *WorkerClient) Send(call message.CommandsCall) message.CommandsResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + call.Address + protocol.PathCommands)
	setPostBody(req, protocol.EncodeCommands(call.FencingToken, call.Incarnation, call.Commands))
	result := message.CommandsResult{ID: call.ID, Machine: call.Machine}
	connection := c.pool.acquire(call.Address)
	if connection == nil {
		result.Outcome = rpc.NotSent
		return result
	}
	err := connection.client.DoTimeout(req, res, c.timeout)
	c.pool.release(connection, err == nil)
	if err != nil {
		result.Outcome = rpc.OutcomeOfError(err)
		return result
	}
	result.Outcome, result.Heartbeat = decodeCommandsResponse(res.StatusCode(), res.Body())
	return result
}

// decodeCommandsResponse returns the outcome of commands and the worker's heartbeat. With status
// 409, the outcome is Conflict even if the heartbeat can't be decoded; with status 200, it is then
// Unknown.
func decodeCommandsResponse(status int, body []byte) (rpc.Outcome, *protocol.Heartbeat) {
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return rpc.Unknown, nil
	}
	heartbeat, err := protocol.DecodeHeartbeat(body)
	switch {
	case status == fasthttp.StatusConflict:
		return rpc.Conflict, heartbeat
	case err != nil:
		return rpc.Unknown, nil
	}
	return rpc.OK, heartbeat
}
