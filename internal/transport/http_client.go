package transport

import (
	"github.com/valyala/fasthttp"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// newHostClient creates a client that sends every request at most once.
func newHostClient(addr string, dial fasthttp.DialFunc, maxConnections, maxResponseBytes int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: addr, Dial: dial, MaxConns: maxConnections, MaxResponseBodySize: maxResponseBytes,
		MaxIdemponentCallAttempts: 1, RetryIfErr: rpc.NeverRetry, NoDefaultUserAgentHeader: true,
	}
}

// setPostBody turns a request into a POST request with the given body.
func setPostBody(req *fasthttp.Request, body []byte) {
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(protocol.ContentType)
	req.SetBody(body)
}
