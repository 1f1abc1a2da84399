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
	// idleTimeoutFactor is for how many timeouts an idle connection is kept.
	idleTimeoutFactor = 10
	// maxRetryAfterSeconds is the longest pause that a source can ask for.
	maxRetryAfterSeconds = 60
)

// FetchResult is the outcome of a request to a source.
type FetchResult struct {
	Fault      distribution.Fault    // "": the request succeeded
	Chunks     distribution.ChunkSet // that the source claims to hold; nil: it didn't say
	RetryAfter time.Duration         // that the source asks for; 0: none
}

// Client fetches manifests and blobs from stores and agents.
type Client struct {
	blobs         *http.Client  // for blobs
	control       *http.Client  // for everything else
	downloadLimit *rate.Limiter // of blobs' bytes; nil: no limit
	timeout       time.Duration // of everything but a blob's bytes
}

// NewClient returns a client. The timeout bounds every part of a request but a blob's bytes,
// whose rate downloadLimit limits unless it is nil. The bytes of all other requests are passed
// to count, unless that is nil.
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
	raw, result := c.fetchSmall(ctx, http.MethodGet, address, pathBase+name+pathManifests+d.String())
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

// Resolve fetches the manifest that a tag or digest refers to, and verifies it.
func (c *Client) Resolve(ctx context.Context, address, name, reference string) (*distribution.Manifest, error) {
	raw, result := c.fetchSmall(ctx, http.MethodGet, address, pathBase+name+pathManifests+reference)
	if result.Fault != "" {
		return nil, fmt.Errorf("%s: %s", address, result.Fault)
	}
	return distribution.ParseManifest(raw, digest.FromBytes(raw))
}

// Chunks asks an agent which chunks of a manifest it holds.
func (c *Client) Chunks(ctx context.Context, address, name string, manifest digest.Digest) FetchResult {
	_, result := c.fetchSmall(ctx, http.MethodHead, address, pathBase+name+pathManifests+manifest.String())
	return result
}

// fetchSmall makes a request whose answer is at most as long as a manifest.
func (c *Client) fetchSmall(ctx context.Context, method, address, path string) ([]byte, FetchResult) {
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

// parseHeader returns what the status and the headers of an answer say.
func parseHeader(res *http.Response) FetchResult {
	result := FetchResult{Fault: statusFault(res.StatusCode)}
	if text := res.Header.Get(distribution.ChunksHeader); text != "" {
		if set, err := base64.StdEncoding.DecodeString(text); err == nil { // a malformed one says nothing
			result.Chunks = set
		}
	}
	if seconds, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && seconds > 0 {
		result.RetryAfter = time.Duration(min(seconds, maxRetryAfterSeconds)) * time.Second
	}
	return result
}

// statusFault returns the fault that a status of an answer means, or "".
func statusFault(status int) distribution.Fault {
	switch status {
	case http.StatusOK, http.StatusPartialContent:
		return ""
	case http.StatusNotFound:
		return distribution.FaultMissing
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return distribution.FaultBusy
	case http.StatusRequestedRangeNotSatisfiable:
		return distribution.FaultDamaged // the source has fewer bytes than the manifest says
	}
	return distribution.FaultUnreachable
}

// connectionFault distinguishes a source that is slow from one that can't be reached.
func connectionFault(err error) distribution.Fault {
	var netErr net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout() {
		return distribution.FaultSlow
	}
	return distribution.FaultUnreachable
}
