package transport

import (
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// idleTimeouts is for how many of its timeouts the worker client keeps an idle connection.
const idleTimeouts = 24

// WorkerClient sends direct commands to workers, over a bounded number of connections.
// When all are in use, commands aren't sent: machines that hang can't keep them from the
// others for longer than a call takes.
type WorkerClient struct {
	timeout time.Duration
	pool    *connectionPool
}

// NewWorkerClient makes the client, whose timeout follows from the heartbeat interval.
// maxConnections tells how many connections it may hold now.
func NewWorkerClient(workers config.Workers, maxConnections func() int) *WorkerClient {
	timeout := config.Seconds(workers.HeartbeatIntervalS * 0.75)
	return &WorkerClient{
		timeout: timeout,
		pool:    newConnectionPool(rpc.NewDialFunc(timeout*2/3), timeout*idleTimeouts, maxConnections),
	}
}

// Send sends commands and waits for the worker's answer.
func (c *WorkerClient) Send(call message.CommandsCall) message.CommandsResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + call.Addr + protocol.PathCommands)
	setPostBody(req, protocol.EncodeCommands(call.FencingToken, call.Incarnation, call.Commands))
	result := message.CommandsResult{ID: call.ID, Machine: call.Machine}
	connection := c.pool.acquire(call.Addr)
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

// decodeCommandsResponse reads a worker's answer: whether it has executed the commands, and its
// heartbeat. A conflict counts without one; an execution that can't be read doesn't.
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
