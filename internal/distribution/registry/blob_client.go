package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// BlobRequest describes the bytes of a chunk to fetch, starting at an offset.
type BlobRequest struct {
	Address      string
	Name         string
	Manifest     digest.Digest
	Chunk        distribution.Chunk
	Offset       int64
	StallTimeout time.Duration // maximum time without receiving a byte
	Timeout      time.Duration // for the whole request
}

// Blob fetches the bytes of a chunk, starting at the offset, and passes a reader for them to sink.
// The fault in the result covers failures of the source only; sink handles its own errors.
func (c *Client) Blob(ctx context.Context, r BlobRequest, sink func(io.Reader)) FetchResult {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	req, err := newBlobRequest(ctx, r)
	if err != nil {
		return FetchResult{Fault: distribution.FaultUnreachable}
	}
	body := newStallReader(r.StallTimeout, cancel)
	defer body.timer.Stop()
	res, err := c.blobs.Do(req)
	if err != nil {
		return FetchResult{Fault: body.fault(ctx, err)}
	}
	defer res.Body.Close()
	result := parseHeader(res)
	if result.Fault != "" {
		return result
	}
	if !coversRequest(res, r) {
		result.Fault = distribution.FaultDamaged
		return result
	}
	body.Reader = c.rateLimited(ctx, res.Body)
	sink(body)
	if body.err != nil && !errors.Is(body.err, io.EOF) {
		result.Fault = body.fault(ctx, body.err)
	}
	return result
}

// newBlobRequest builds the HTTP request for the bytes of a chunk.
func newBlobRequest(ctx context.Context, r BlobRequest) (*http.Request, error) {
	url := "http://" + r.Address + pathBase + r.Name + pathBlobs + r.Chunk.Digest.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("blob %s: %w", r.Chunk.Digest, err)
	}
	req.Header.Set(distribution.HeaderManifest, r.Manifest.String())
	if r.Offset > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", r.Offset))
	}
	return req, nil
}

// coversRequest reports whether a response's headers announce exactly the requested bytes.
func coversRequest(res *http.Response, r BlobRequest) bool {
	if r.Offset == 0 && res.StatusCode == http.StatusOK {
		return res.ContentLength == r.Chunk.Size
	}
	want := fmt.Sprintf("bytes %d-%d/%d", r.Offset, r.Chunk.Size-1, r.Chunk.Size)
	return res.StatusCode == http.StatusPartialContent && strings.EqualFold(res.Header.Get("Content-Range"), want)
}

// rateLimited wraps a reader so that it keeps to the client's download limit.
func (c *Client) rateLimited(ctx context.Context, reader io.Reader) io.Reader {
	if c.downloadLimit == nil {
		return reader
	}
	return &rateLimitedReader{ctx, reader, c.downloadLimit}
}

// stallReader reads a response body. It cancels the request if no byte arrives within the timeout.
type stallReader struct {
	io.Reader
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelFunc
	expired atomic.Bool
	err     error // returned by the last Read
}

// newStallReader starts the timer. The caller sets Reader once the response headers have arrived.
func newStallReader(timeout time.Duration, cancel context.CancelFunc) *stallReader {
	s := &stallReader{timeout: timeout, cancel: cancel}
	s.timer = time.AfterFunc(timeout, s.expire)
	return s
}

// expire cancels the request and records that the stall timeout is the cause.
func (s *stallReader) expire() {
	s.expired.Store(true)
	s.cancel()
}

// Read reads from the response, and restarts the timer if it received any bytes.
func (s *stallReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n > 0 {
		s.timer.Reset(s.timeout)
	}
	s.err = err
	return n, err
}

// fault returns FaultSlow if the stall timer or the deadline of the request has expired.
// Otherwise it maps the connection error err to a fault.
func (s *stallReader) fault(ctx context.Context, err error) distribution.Fault {
	if s.expired.Load() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return distribution.FaultSlow
	}
	return connectionFault(err)
}
