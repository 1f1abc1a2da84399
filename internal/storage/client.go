package storage

import (
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/config"
	"oakpick/internal/rpc"
)

// maxResponseBytes limits the size of a response body from the state service.
const maxResponseBytes = 1 << 20

// Client sends requests to the state service. Lease renewals and revocations use their own
// connections, so that they never queue behind other requests. A Client is safe for
// concurrent use.
type Client struct {
	requests, renewals      *fasthttp.HostClient
	timeout, renewalTimeout time.Duration
}

// NewClient returns a client for the state service at addr. Lease renewals and revocations
// time out after renewalTimeout, other requests after timeout.
func NewClient(addr string, timeout, renewalTimeout time.Duration) *Client {
	newHostClient := func(connections int, dialTimeout time.Duration) *fasthttp.HostClient {
		return &fasthttp.HostClient{
			Addr:                      addr,
			Dial:                      rpc.NewDialFunc(dialTimeout),
			MaxConns:                  connections,
			MaxConnWaitTimeout:        dialTimeout,
			MaxIdleConnDuration:       10 * timeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                rpc.NeverRetry,
			MaxResponseBodySize:       maxResponseBytes,
			NoDefaultUserAgentHeader:  true,
		}
	}
	return &Client{
		requests:       newHostClient(config.StateConnections+config.ArchiveReadConnections, timeout/2),
		renewals:       newHostClient(config.StateRenewalConnections, renewalTimeout/2),
		timeout:        timeout,
		renewalTimeout: renewalTimeout,
	}
}

// Do sends a request and waits for its result. If the response can't be decoded, the
// outcome is rpc.Unknown.
func (c *Client) Do(call StateCall) StateResult {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	client, timeout := c.requests, c.timeout
	if call.Op == StateRenewLease || call.Op == StateRevokeLease {
		client, timeout = c.renewals, c.renewalTimeout
	}
	request.SetRequestURI("http://" + client.Addr + call.path())
	call.encode(request)
	result := StateResult{ID: call.ID}
	if err := client.DoTimeout(request, response, timeout); err != nil {
		result.Outcome = rpc.OutcomeOfError(err)
		return result
	}
	result.Outcome = rpc.OutcomeOfStatus(response.StatusCode())
	if result.Outcome == rpc.OK {
		if err := result.decode(call.Op, response.Body()); err != nil {
			result.Outcome = rpc.Unknown
		}
	}
	return result
}
