package registry

import (
	"context"
	"io"
	"net/http"

	"golang.org/x/time/rate"
)

// rateLimitedReader reads no faster than the limiter allows.
type rateLimitedReader struct {
	ctx    context.Context
	reader io.Reader
	limit  *rate.Limiter
}

// Read reads at most the limiter's burst, then waits until the limiter admits the bytes read.
func (r *rateLimitedReader) Read(p []byte) (int, error) {
	p = p[:min(len(p), r.limit.Burst())]
	n, err := r.reader.Read(p)
	if n > 0 {
		if waitErr := r.limit.WaitN(r.ctx, n); waitErr != nil {
			return n, waitErr
		}
	}
	return n, err
}

// RateLimitedWriter writes no faster than the limiter allows. A write that waits for the limiter
// fails when the context ends.
type RateLimitedWriter struct {
	http.ResponseWriter
	Context context.Context
	Limit   *rate.Limiter
}

// Write writes p in parts no longer than the limiter's burst.
func (w RateLimitedWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		part := p[:min(len(p), w.Limit.Burst())]
		if err := w.Limit.WaitN(w.Context, len(part)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}
