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

// ForwardedHeader marks what a peer forwards, which is not forwarded again.
const ForwardedHeader = "Oakpick-Forwarded"

// PeerClient sends requests to the other controllers over HTTP/2 streams, one connection a peer.
type PeerClient struct {
	client  *http.Client
	node    string            // our own name
	addrs   map[string]string // by peer
	timeout time.Duration     // of a request to step down
}

// NewPeerClient makes the client of a node, whose timeouts follow from the heartbeat interval.
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
	//nolint:staticcheck // SA1019: how it pings was measured; the standard library's way is still to be
	streams := &http2.Transport{AllowHTTP: true, DialTLSContext: dial, ReadIdleTimeout: timeout, PingTimeout: timeout / 2, DisableCompression: true}
	return &PeerClient{client: &http.Client{Transport: streams}, node: node, addrs: addrs, timeout: timeout}
}

// Forward sends a user's request on to a peer and brings back its answer. An error says that the
// peer gave none before the context ended; it may have got the request all the same.
func (c *PeerClient) Forward(ctx context.Context, peer, method, path string, body []byte) (message.Reply, error) {
	response, err := c.call(ctx, peer, method, path, body)
	if err != nil {
		return message.Reply{}, err
	}
	return message.Reply{Status: response.status, Body: response.body, RetryAfterS: response.retryAfterS}, nil
}

// StepDown asks a peer to step down from older terms. Without an answer the result's response
// is zero: nothing is known of the peer.
func (c *PeerClient) StepDown(ctx context.Context, call message.PeerCall) message.PeerResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result := message.PeerResult{PeerCall: call}
	body := protocol.Encode(protocol.StepDownRequest{Term: call.Term, Leader: c.node, ReadsArchive: call.QueriesArchiveSupport})
	response, err := c.call(ctx, call.Peer, http.MethodPost, protocol.PathStepDown, body)
	if err != nil || response.status != http.StatusOK {
		return result
	}
	if protocol.Decode(response.body, &result.StepDownResponse) != nil {
		result.StepDownResponse = protocol.StepDownResponse{}
	}
	return result
}

// peerResponse is a peer's answer, read to its end.
type peerResponse struct {
	status      int
	retryAfterS int // 0: no such header
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
	defer func() { _ = response.Body.Close() }() // what was read is all that counts
	content, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxBody))
	if err != nil {
		return peerResponse{}, fmt.Errorf("answer of peer %q: %w", peer, err)
	}
	retryAfterS, _ := strconv.Atoi(response.Header.Get(headerRetryAfter)) // absent or malformed: 0
	return peerResponse{status: response.StatusCode, retryAfterS: retryAfterS, body: content}, nil
}
