package transport

import (
	"bytes"
	"context"
	"crypto/tls"
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

// PeerClient speaks to the other controllers over HTTP/2 streams, one connection a peer.
type PeerClient struct {
	client  *http.Client
	node    string // our own name
	addrs   map[string]string
	timeout time.Duration
}

// NewPeerClient makes the client.
func NewPeerClient(own string, peers []config.Peer, w config.Workers) *PeerClient {
	wait := config.Seconds(w.HeartbeatIntervalS / 2)
	p := &PeerClient{node: own, addrs: map[string]string{}, timeout: wait}
	for _, x := range peers {
		p.addrs[x.Name] = x.Addr
	}
	dial := func(ctx context.Context, _, addr string, _ *tls.Config) (net.Conn, error) {
		d := net.Dialer{Timeout: wait / 2}
		return d.DialContext(ctx, "tcp4", addr)
	}
	//lint:ignore SA1019 how it pings was measured; the standard library's way is still to be
	streams := &http2.Transport{AllowHTTP: true, DialTLSContext: dial, ReadIdleTimeout: wait, PingTimeout: wait / 2, DisableCompression: true}
	p.client = &http.Client{Transport: streams}
	return p
}

// ForwardedHeader marks what a peer hands on, which is not handed on again.
const ForwardedHeader = "Oakpick-Forwarded"

// Forward hands a user's request to a peer and brings back its answer.
func (p *PeerClient) Forward(ctx context.Context, peer, method, path string, body []byte) (message.Reply, bool) {
	res, raw, err := p.call(ctx, peer, method, path, body)
	if err != nil {
		return message.Reply{}, false
	}
	after, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return message.Reply{Status: res.StatusCode, Body: raw, RetryAfterS: after}, true
}

func (p *PeerClient) call(ctx context.Context, peer, method, path string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.addrs[peer]+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(ForwardedHeader, "1")
	res, err := p.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, protocol.MaxBody))
	return res, raw, err
}

// StepDown asks a peer to let go of older terms.
func (p *PeerClient) StepDown(ctx context.Context, c message.PeerCall) message.PeerResult {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	r := message.PeerResult{PeerCall: c}
	res, raw, err := p.call(ctx, c.Peer, http.MethodPost, protocol.PathStepDown, protocol.Encode(protocol.StepDown{Term: c.Term, Leader: p.node, ReadsArchive: c.AsksArchive}))
	if err != nil || res.StatusCode != http.StatusOK {
		return r
	}
	if protocol.Decode(raw, &r.StepDownResponse) != nil {
		r.StepDownResponse = protocol.StepDownResponse{}
	}
	return r
}
