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

func encodeChunks(set distribution.ChunkSet) string {
	return base64.StdEncoding.EncodeToString(set)
}

// Fetched is what came with an answer.
type Fetched struct {
	Fault      distribution.Fault    // none: all is well
	Chunks     distribution.ChunkSet // what the source says that it holds; nil: nothing
	RetryAfter time.Duration
}

// Client fetches from stores and agents.
type Client struct {
	http     *http.Client  // for the bytes of blobs
	control  *http.Client  // for everything else
	download *rate.Limiter // bytes; nil: no limit
	wait     time.Duration // for everything but the bytes of a blob
}

// NewClient makes a client. wait bounds every part of a request but a blob's bytes, which
// are paced by download unless that is nil. The bytes of all other requests are told to
// count, unless that is nil.
func NewClient(wait time.Duration, download *rate.Limiter, count func(bytes int)) *Client {
	dialer := &net.Dialer{Timeout: wait}
	control := Dial(dialer.DialContext)
	if count != nil {
		control = CountedDial(control, count)
	}
	return &Client{
		http:    &http.Client{Transport: transport(dialer.DialContext, wait)},
		control: &http.Client{Transport: transport(control, wait)}, download: download, wait: wait,
	}
}

func transport(dial Dial, wait time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: dial, ResponseHeaderTimeout: wait, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * wait,
		DisableCompression: true, MaxResponseHeaderBytes: distribution.MaxManifestBytes,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Manifest fetches a manifest by digest and verifies it.
func (c *Client) Manifest(ctx context.Context, address, name string, d digest.Digest) (*distribution.Manifest, Fetched) {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	raw, fetched := c.small(ctx, http.MethodGet, address, pathBase+name+pathManifests+d.String())
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
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	raw, fetched := c.small(ctx, http.MethodGet, address, pathBase+name+pathManifests+reference)
	if fetched.Fault != "" {
		return nil, fmt.Errorf("%s: %s", address, fetched.Fault)
	}
	return distribution.ParseManifest(raw, digest.FromBytes(raw))
}

// Chunks asks an agent which chunks of a manifest it holds.
func (c *Client) Chunks(ctx context.Context, address, name string, manifest digest.Digest) Fetched {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	_, fetched := c.small(ctx, http.MethodHead, address, pathBase+name+pathManifests+manifest.String())
	return fetched
}

// small makes a request whose answer is a manifest at most.
func (c *Client) small(ctx context.Context, method, address, path string) ([]byte, Fetched) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, Fetched{Fault: distribution.FaultUnreachable}
	}
	req.Header.Set("Accept", specs.MediaTypeImageManifest)
	res, err := c.control.Do(req)
	if err != nil {
		return nil, Fetched{Fault: unreachable(err)}
	}
	defer res.Body.Close()
	fetched := read(res)
	raw, err := io.ReadAll(io.LimitReader(res.Body, distribution.MaxManifestBytes+1))
	if err != nil && fetched.Fault == "" {
		fetched.Fault = unreachable(err)
	}
	return raw, fetched
}

// read gives what an answer's head says.
func read(res *http.Response) Fetched {
	f := Fetched{}
	if text := res.Header.Get(distribution.ChunksHeader); text != "" {
		if set, err := base64.StdEncoding.DecodeString(text); err == nil {
			f.Chunks = set
		}
	}
	if seconds, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && seconds > 0 {
		f.RetryAfter = time.Duration(min(seconds, retryAfterMost)) * time.Second
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
const retryAfterMost = 60

// unreachable tells a source that is slow from one that can't be reached.
func unreachable(err error) distribution.Fault {
	var network net.Error
	if errors.Is(err, context.DeadlineExceeded) || errors.As(err, &network) && network.Timeout() {
		return distribution.FaultSlow
	}
	return distribution.FaultUnreachable
}

// BlobRequest names the bytes of a chunk that are wanted.
type BlobRequest struct {
	Address  string
	Name     string
	Manifest digest.Digest
	Chunk    distribution.Chunk
	Offset   int64
	Stall    time.Duration // the longest time without a byte
	Within   time.Duration // for all of it
}

// Blob fetches the bytes of a chunk from an offset on and hands them to the sink. The fault
// is the source's; what the sink says it says itself.
func (c *Client) Blob(ctx context.Context, r BlobRequest, sink func(io.Reader)) Fetched {
	ctx, cancel := context.WithTimeout(ctx, r.Within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Address+pathBase+r.Name+pathBlobs+r.Chunk.Digest.String(), nil)
	if err != nil {
		return Fetched{Fault: distribution.FaultUnreachable}
	}
	req.Header.Set(distribution.ManifestHeader, r.Manifest.String())
	if r.Offset > 0 {
		req.Header.Set("Range", fmt.Sprintf("bytes=%d-", r.Offset))
	}
	body := &stallReader{stall: r.Stall, cancel: cancel}
	body.timer = time.AfterFunc(r.Stall, body.stalled)
	defer body.timer.Stop()
	res, err := c.http.Do(req)
	if err != nil {
		return Fetched{Fault: body.fault(ctx, err)}
	}
	defer res.Body.Close()
	fetched := read(res)
	if fetched.Fault != "" {
		return fetched
	}
	if !covers(res, r) {
		fetched.Fault = distribution.FaultDamaged
		return fetched
	}
	body.Reader = c.paced(ctx, res.Body)
	sink(body)
	if body.err != nil && !errors.Is(body.err, io.EOF) {
		fetched.Fault = body.fault(ctx, body.err)
	}
	return fetched
}

// covers tells whether an answer has the bytes that were asked for, by its own head.
func covers(res *http.Response, r BlobRequest) bool {
	if r.Offset == 0 && res.StatusCode == http.StatusOK {
		return res.ContentLength == r.Chunk.Size
	}
	want := fmt.Sprintf("bytes %d-%d/%d", r.Offset, r.Chunk.Size-1, r.Chunk.Size)
	return res.StatusCode == http.StatusPartialContent && strings.EqualFold(res.Header.Get("Content-Range"), want)
}

func (c *Client) paced(ctx context.Context, r io.Reader) io.Reader {
	if c.download == nil {
		return r
	}
	return &pacedReader{ctx, r, c.download}
}

// stallReader gives a fetch up when no byte has come for a while.
type stallReader struct {
	io.Reader
	stall   time.Duration
	timer   *time.Timer
	cancel  context.CancelFunc
	expired atomic.Bool
	err     error
}

func (s *stallReader) stalled() {
	s.expired.Store(true)
	s.cancel()
}

func (s *stallReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if n > 0 {
		s.timer.Reset(s.stall)
	}
	s.err = err
	return n, err
}

func (s *stallReader) fault(ctx context.Context, err error) distribution.Fault {
	if s.expired.Load() || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return distribution.FaultSlow
	}
	return unreachable(err)
}

// pacedReader reads no faster than a limiter allows.
type pacedReader struct {
	ctx   context.Context
	r     io.Reader
	limit *rate.Limiter
}

func (p *pacedReader) Read(b []byte) (int, error) {
	b = b[:min(len(b), p.limit.Burst())]
	n, err := p.r.Read(b)
	if n > 0 {
		if waitErr := p.limit.WaitN(p.ctx, n); waitErr != nil {
			return n, waitErr
		}
	}
	return n, err
}

// PacedWriter writes no faster than a limiter allows.
type PacedWriter struct {
	http.ResponseWriter
	Context context.Context
	Limit   *rate.Limiter
}

func (p PacedWriter) Write(b []byte) (written int, err error) {
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
