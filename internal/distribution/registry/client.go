package registry

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/opencontainers/go-digest"
	specs "github.com/opencontainers/image-spec/specs-go/v1"
	"golang.org/x/time/rate"

	"oakpick/internal/distribution"
)

const (
	// idleTimeoutFactor is the timeout of idle connections as a multiple of the client's timeout.
	idleTimeoutFactor = 10
	// maxRetryAfterSeconds caps the delay that a source can request with Retry-After.
	maxRetryAfterSeconds = 60
)

// FetchResult is the outcome of a request to a source.
type FetchResult struct {
	Fault      distribution.Fault    // empty if the request succeeded
	Chunks     distribution.ChunkSet // claimed by the source; nil if it sent no chunk set
	RetryAfter time.Duration         // requested by the source; 0 if it requested no delay
}

// Client fetches manifests and blobs from stores and agents.
type Client struct {
	blobs         *http.Client  // for blobs
	control       *http.Client  // for all other requests, called control requests
	downloadLimit *rate.Limiter // for the bytes of blobs; nil means no limit
	timeout       time.Duration // for a whole control request
}

// NewClient returns a client. The timeout bounds dialing, the wait for response headers, and each
// control request as a whole, but not the transfer of a blob's bytes. downloadLimit limits the
// rate of that transfer unless it is nil. If count isn't nil, it is called with the number of
// bytes of each read and write on the connections for control requests.
func NewClient(timeout time.Duration, downloadLimit *rate.Limiter, count func(bytes int)) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	dialControl := DialFunc(dialer.DialContext)
	if count != nil {
		dialControl = CountingDial(dialControl, count)
	}
	return &Client{
		blobs:         &http.Client{Transport: newTransport(dialer.DialContext, timeout)},
		control:       &http.Client{Transport: newTransport(dialControl, timeout)},
		downloadLimit: downloadLimit,
		timeout:       timeout,
	}
}

func newTransport(dial DialFunc, timeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		ResponseHeaderTimeout:  timeout,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleTimeoutFactor * timeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: distribution.MaxManifestBytes,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.blobs.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Manifest fetches a manifest by digest and verifies it.
func (c *Client) Manifest(ctx context.Context, address, name string, d digest.Digest) (*distribution.Manifest, FetchResult) {
	raw, result := c.sendControlRequest(ctx, http.MethodGet, address, pathBase+name+pathManifests+d.String())
	if result.Fault != "" {
		return nil, result
	}
	m, err := distribution.ParseManifest(raw, d)
	if err != nil {
		result.Fault = distribution.FaultDamaged
		return nil, result
	}
	return m, result
}

// Resolve fetches and parses the manifest that a tag or digest refers to. The digest of the
// returned manifest is computed from the received bytes.
func (c *Client) Resolve(ctx context.Context, address, name, reference string) (*distribution.Manifest, error) {
	raw, result := c.sendControlRequest(ctx, http.MethodGet, address, pathBase+name+pathManifests+reference)
	if result.Fault != "" {
		return nil, fmt.Errorf("%s: %s", address, result.Fault)
	}
	return distribution.ParseManifest(raw, digest.FromBytes(raw))
}

// Chunks asks an agent which chunks of a manifest it holds.
func (c *Client) Chunks(ctx context.Context, address, name string, manifest digest.Digest) FetchResult {
	_, result := c.sendControlRequest(ctx, http.MethodHead, address, pathBase+name+pathManifests+manifest.String())
	return result
}

// sendControlRequest sends a request and returns the body and the result. It reads at most one
// byte more than the manifest limit, so that the caller can detect a body that is too long.
func (c *Client) sendControlRequest(ctx context.Context, method, address, path string) ([]byte, FetchResult) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, FetchResult{Fault: distribution.FaultUnreachable}
	}
	req.Header.Set("Accept", specs.MediaTypeImageManifest)
	res, err := c.control.Do(req)
	if err != nil {
		return nil, FetchResult{Fault: connectionFault(err)}
	}
	defer res.Body.Close()
	result := parseHeader(res)
	raw, err := io.ReadAll(io.LimitReader(res.Body, distribution.MaxManifestBytes+1))
	if err != nil && result.Fault == "" {
		result.Fault = connectionFault(err)
	}
	return raw, result
}

// parseHeader returns the fault, chunk set and retry delay that a response's status and headers
// give.
func parseHeader(res *http.Response) FetchResult {
	result := FetchResult{Fault: statusFault(res.StatusCode)}
	if text := res.Header.Get(distribution.HeaderChunks); text != "" {
		if set, err := base64.StdEncoding.DecodeString(text); err == nil { // a malformed chunk set is ignored
			result.Chunks = set
		}
	}
	if seconds, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && seconds > 0 {
		result.RetryAfter = time.Duration(min(seconds, maxRetryAfterSeconds)) * time.Second
	}
	return result
}

// statusFault maps the status of a response to a fault. It returns "" for success.
func statusFault(status int) distribution.Fault {
	switch status {
	case http.StatusOK, http.StatusPartialContent:
		return ""
	case http.StatusNotFound:
		return distribution.FaultMissing
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return distribution.FaultBusy
	case http.StatusRequestedRangeNotSatisfiable:
		return distribution.FaultDamaged // the source's blob is shorter than the manifest says
	}
	return distribution.FaultUnreachable
}

// connectionFault returns FaultSlow for a timeout and FaultUnreachable for any other error.
func connectionFault(err error) distribution.Fault {
	var netErr net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout() {
		return distribution.FaultSlow
	}
	return distribution.FaultUnreachable
}
