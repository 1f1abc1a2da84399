package transport

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/net/http2"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// ForwardedHeader marks requests that come from a peer, which are not forwarded again.
const ForwardedHeader = "Oakpick-Forwarded"

// PeerClient sends requests to the other controllers over HTTP/2, with one connection per peer.
type PeerClient struct {
	client  *http.Client
	node    string            // name of this node
	addrs   map[string]string // by name of the peer
	timeout time.Duration     // of a request to step down
}

// NewPeerClient creates the client of a node. Its timeouts are derived from the heartbeat interval.
func NewPeerClient(node string, peers []config.Peer, workers config.Workers) *PeerClient {
	timeout := config.Seconds(workers.HeartbeatIntervalS / 2)
	addrs := make(map[string]string, len(peers))
	for _, peer := range peers {
		addrs[peer.Name] = peer.Addr
	}
	dial := func(ctx context.Context, _, addr string, _ *tls.Config) (net.Conn, error) {
		dialer := net.Dialer{Timeout: timeout / 2}
		return dialer.DialContext(ctx, "tcp4", addr)
	}
	//nolint:staticcheck // SA1019: net/http's own HTTP/2 client can replace it once its pings have been measured
	http2Transport := &http2.Transport{AllowHTTP: true, DialTLSContext: dial, ReadIdleTimeout: timeout, PingTimeout: timeout / 2, DisableCompression: true}
	return &PeerClient{client: &http.Client{Transport: http2Transport}, node: node, addrs: addrs, timeout: timeout}
}

// Forward forwards a request to a peer and returns the reply. An error means that no reply was
// received before the context ended; the peer may have received the request nevertheless.
func (c *PeerClient) Forward(ctx context.Context, peer, method, path string, body []byte) (message.Reply, error) {
	response, err := c.call(ctx, peer, method, path, body)
	if err != nil {
		return message.Reply{}, err
	}
	return message.Reply{Status: response.status, Body: response.body, RetryAfterS: response.retryAfterS}, nil
}

// StepDown asks a peer to step down from older terms. If there is no valid response, the
// StepDownResponse of the result is zero, and nothing is known about the peer.
func (c *PeerClient) StepDown(ctx context.Context, call message.PeerCall) message.PeerResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result := message.PeerResult{PeerCall: call}
	body := protocol.Encode(protocol.StepDownRequest{
		Term: call.Term, Leader: c.node, QueriesArchiveSupport: call.QueriesArchiveSupport, QueriesMachineTypes: call.QueriesMachineTypes,
	})
	response, err := c.call(ctx, call.Peer, http.MethodPost, protocol.PathStepDown, body)
	if err != nil || response.status != http.StatusOK {
		return result
	}
	if protocol.Decode(response.body, &result.StepDownResponse) != nil {
		result.StepDownResponse = protocol.StepDownResponse{}
	}
	return result
}

// peerResponse is a peer's response, whose body has been read.
type peerResponse struct {
	status      int
	retryAfterS int // 0 if there is no valid Retry-After header
	body        []byte
}

func (c *PeerClient) call(ctx context.Context, peer, method, path string, body []byte) (peerResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.addrs[peer]+path, bytes.NewReader(body))
	if err != nil {
		return peerResponse{}, fmt.Errorf("request to peer %q: %w", peer, err)
	}
	request.Header.Set(ForwardedHeader, "1")
	response, err := c.client.Do(request)
	if err != nil {
		return peerResponse{}, fmt.Errorf("peer %q: %w", peer, err)
	}
	defer func() { _ = response.Body.Close() }() // an error of reading is returned below
	content, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxBody))
	if err != nil {
		return peerResponse{}, fmt.Errorf("response of peer %q: %w", peer, err)
	}
	retryAfterS, _ := strconv.Atoi(response.Header.Get(retryAfterHeader)) // 0 if absent or malformed
	return peerResponse{status: response.StatusCode, retryAfterS: retryAfterS, body: content}, nil
}
