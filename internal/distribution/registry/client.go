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
	"strings"
	"sync/atomic"
	"time"

	"github.com/opencontainers/go-digest"
	specs "github.com/opencontainers/image-spec/specs-go/v1"
	"golang.org/x/time/rate"

	"oakpick/internal/distribution"
)

func encodeChunkSet(set distribution.ChunkSet) string {
	return base64.StdEncoding.EncodeToString(set)
}

// Fetched is what came with an answer.
type FetchResult struct {
	Fault      distribution.Fault    // none: all is well
	Chunks     distribution.ChunkSet // what the source says that it holds; nil: nothing
	RetryAfter time.Duration
}

// Client fetches from stores and agents.
type Client struct {
	blobs         *http.Client  // for the bytes of blobs
	control       *http.Client  // for everything else
	downloadLimit *rate.Limiter // bytes; nil: no limit
	timeout       time.Duration // for everything but the bytes of a blob
}

// NewClient makes a client. wait bounds every part of a request but a blob's bytes, which
// are paced by download unless that is nil. The bytes of all other requests are told to
// count, unless that is nil.
func NewClient(wait time.Duration, download *rate.Limiter, count func(bytes int)) *Client {
	dialer := &net.Dialer{Timeout: wait}
	control := Dial(dialer.DialContext)
	if count != nil {
		control = CountingDial(control, count)
	}
	return &Client{
		blobs:   &http.Client{Transport: newTransport(dialer.DialContext, wait)},
		control: &http.Client{Transport: newTransport(control, wait)}, downloadLimit: download, timeout: wait,
	}
}

func newTransport(dial Dial, wait time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: dial, ResponseHeaderTimeout: wait, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * wait,
		DisableCompression: true, MaxResponseHeaderBytes: distribution.MaxManifestBytes,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.blobs.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Manifest fetches a manifest by digest and verifies it.
func (c *Client) Manifest(ctx context.Context, address, name string, d digest.Digest) (*distribution.Manifest, FetchResult) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, fetched := c.fetchSmall(ctx, http.MethodGet, address, pathBase+name+pathManifests+d.String())
	if fetched.Fault != "" {
		return nil, fetched
	}
	m, err := distribution.ParseManifest(raw, d)
	if err != nil {
		fetched.Fault = distribution.FaultDamaged
		return nil, fetched
	}
	return m, fetched
}

// Resolve asks which manifest a tag has, and verifies it.
func (c *Client) Resolve(ctx context.Context, address, name, reference string) (*distribution.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, fetched := c.fetchSmall(ctx, http.MethodGet, address, pathBase+name+pathManifests+reference)
	if fetched.Fault != "" {
		return nil, fmt.Errorf("%s: %s", address, fetched.Fault)
	}
	return distribution.ParseManifest(raw, digest.FromBytes(raw))
}

// Chunks asks an agent which chunks of a manifest it holds.
func (c *Client) Chunks(ctx context.Context, address, name string, manifest digest.Digest) FetchResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, fetched := c.fetchSmall(ctx, http.MethodHead, address, pathBase+name+pathManifests+manifest.String())
	return fetched
}

// small makes a request whose answer is a manifest at most.
func (c *Client) fetchSmall(ctx context.Context, method, address, path string) ([]byte, FetchResult) {
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
	fetched := parseHeader(res)
	raw, err := io.ReadAll(io.LimitReader(res.Body, distribution.MaxManifestBytes+1))
	if err != nil && fetched.Fault == "" {
		fetched.Fault = connectionFault(err)
	}
	return raw, fetched
}

// read gives what an answer's head says.
func parseHeader(res *http.Response) FetchResult {
	f := FetchResult{}
	if text := res.Header.Get(distribution.ChunksHeader); text != "" {
		if set, err := base64.StdEncoding.DecodeString(text); err == nil {
			f.Chunks = set
		}
	}
	if seconds, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && seconds > 0 {
		f.RetryAfter = time.Duration(min(seconds, maxRetryAfterSeconds)) * time.Second
	}
	switch {
	case res.StatusCode == http.StatusOK || res.StatusCode == http.StatusPartialContent:
	case res.StatusCode == http.StatusNotFound:
		f.Fault = distribution.FaultMissing
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		f.Fault = distribution.FaultBusy
	case res.StatusCode == http.StatusRequestedRangeNotSatisfiable:
		f.Fault = distribution.FaultDamaged // it has fewer bytes than the manifest says
	default:
		f.Fault = distribution.FaultUnreachable
	}
	return f
}

// retryAfterMost is the longest pause that a source can ask for, in seconds.
const maxRetryAfterSeconds = 60

// unreachable tells a source that is slow from one that can't be reached.
func connectionFault(err error) distribution.Fault {
	var network net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &network) && network.Timeout() {
		return distribution.FaultSlow
	}
	return distribution.FaultUnreachable
}

// BlobRequest names the bytes of a chunk that are wanted.
type BlobRequest struct {
	Address      string
	Name         string
	Manifest     digest.Digest
	Chunk        distribution.Chunk
	Offset       int64
	StallTimeout time.Duration // the longest time without a byte
	Timeout      time.Duration // for all of it
}

// Blob fetches the bytes of a chunk from an offset on and hands them to the sink. The fault
// is the source's; what the sink says it says itself.
func (c *Client) Blob(ctx context.Context, r BlobRequest, sink func(io.Reader)) FetchResult {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address+pathBase+r.Name+pathBlobs+r.Chunk.Digest.String(), nil)
	if err != nil {
		return FetchResult{Fault: distribution.FaultUnreachable}
	}
	req.Header.Set(distribution.ManifestHeader, r.Manifest.String())
	if r.Offset > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", r.Offset))
	}
	body := &stallReader{timeout: r.StallTimeout, cancel: cancel}
	body.timer = time.AfterFunc(r.StallTimeout, body.expire)
	defer body.timer.Stop()
	res, err := c.blobs.Do(req)
	if err != nil {
		return FetchResult{Fault: body.fault(ctx, err)}
	}
	defer res.Body.Close()
	fetched := parseHeader(res)
	if fetched.Fault != "" {
		return fetched
	}
	if !coversRequest(res, r) {
		fetched.Fault = distribution.FaultDamaged
		return fetched
	}
	body.Reader = c.limited(ctx, res.Body)
	sink(body)
	if body.err != nil && !errors.Is(body.err, io.EOF) {
		fetched.Fault = body.fault(ctx, body.err)
	}
	return fetched
}

// covers tells whether an answer has the bytes that were asked for, by its own head.
func coversRequest(res *http.Response, r BlobRequest) bool {
	if r.Offset == 0 && res.StatusCode == http.StatusOK {
		return res.ContentLength == r.Chunk.Size
	}
	want := fmt.Sprintf("bytes %d-%d/%d", r.Offset, r.Chunk.Size-1, r.Chunk.Size)
	return res.StatusCode == http.StatusPartialContent && strings.EqualFold(res.Header.Get("Content-Range"), want)
}

func (c *Client) limited(ctx context.Context, r io.Reader) io.Reader {
	if c.downloadLimit == nil {
		return r
	}
	return &rateLimitedReader{ctx, r, c.downloadLimit}
}

// stallReader gives a fetch up when no byte has come for a while.
type stallReader struct {
	io.Reader
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelFunc
	expired atomic.Bool
	err     error
}

func (s *stallReader) expire() {
	s.expired.Store(true)
	s.cancel()
}

func (s *stallReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n > 0 {
		s.timer.Reset(s.timeout)
	}
	s.err = err
	return n, err
}

func (s *stallReader) fault(ctx context.Context, err error) distribution.Fault {
	if s.expired.Load() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return distribution.FaultSlow
	}
	return connectionFault(err)
}

// pacedReader reads no faster than a limiter allows.
type rateLimitedReader struct {
	ctx    context.Context
	reader io.Reader
	limit  *rate.Limiter
}

func (p *rateLimitedReader) Read(b []byte) (int, error) {
	b = b[:min(len(b), p.limit.Burst())]
	n, err := p.reader.Read(b)
	if n > 0 {
		if waitErr := p.limit.WaitN(p.ctx, n); waitErr != nil {
			return n, waitErr
		}
	}
	return n, err
}

// PacedWriter writes no faster than a limiter allows.
type RateLimitedWriter struct {
	http.ResponseWriter
	Context context.Context
	Limit   *rate.Limiter
}

func (p RateLimitedWriter) Write(b []byte) (written int, err error) {
	for len(b) > 0 {
		part := b[:min(len(b), p.Limit.Burst())]
		if err := p.Limit.WaitN(p.Context, len(part)); err != nil {
			return written, err
		}
		n, err := p.ResponseWriter.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}
