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

// BlobRequest asks for the bytes of a chunk from an offset on.
type BlobRequest struct {
	Address      string
	Name         string
	Manifest     digest.Digest
	Chunk        distribution.Chunk
	Offset       int64
	StallTimeout time.Duration // without a byte
	Timeout      time.Duration // of the whole request
}

// Blob fetches the bytes of a chunk from an offset on and hands them to the sink. The fault in
// the result is the source's; the sink keeps its own errors.
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
	body.Reader = c.limited(ctx, res.Body)
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
	req.Header.Set(distribution.ManifestHeader, r.Manifest.String())
	if r.Offset > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", r.Offset))
	}
	return req, nil
}

// coversRequest reports whether the headers of an answer announce the bytes that were asked for.
func coversRequest(res *http.Response, r BlobRequest) bool {
	if r.Offset == 0 && res.StatusCode == http.StatusOK {
		return res.ContentLength == r.Chunk.Size
	}
	want := fmt.Sprintf("bytes %d-%d/%d", r.Offset, r.Chunk.Size-1, r.Chunk.Size)
	return res.StatusCode == http.StatusPartialContent && strings.EqualFold(res.Header.Get("Content-Range"), want)
}

// limited returns a reader that keeps to the client's download limit.
func (c *Client) limited(ctx context.Context, reader io.Reader) io.Reader {
	if c.downloadLimit == nil {
		return reader
	}
	return &rateLimitedReader{ctx, reader, c.downloadLimit}
}

// stallReader cancels a request when no byte has come for a while.
type stallReader struct {
	io.Reader
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelFunc
	expired atomic.Bool
	err     error // of the last Read
}

// newStallReader starts the timer. The reader is set when the answer's headers have come.
func newStallReader(timeout time.Duration, cancel context.CancelFunc) *stallReader {
	s := &stallReader{timeout: timeout, cancel: cancel}
	s.timer = time.AfterFunc(timeout, s.expire)
	return s
}

// expire cancels the request, and remembers that this is why it fails.
func (s *stallReader) expire() {
	s.expired.Store(true)
	s.cancel()
}

// Read reads and restarts the timer.
func (s *stallReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n > 0 {
		s.timer.Reset(s.timeout)
	}
	s.err = err
	return n, err
}

// fault returns the fault that an error of the request means.
func (s *stallReader) fault(ctx context.Context, err error) distribution.Fault {
	if s.expired.Load() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return distribution.FaultSlow
	}
	return connectionFault(err)
}
