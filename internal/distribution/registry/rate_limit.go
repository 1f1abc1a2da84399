package registry

import (
	"context"
	"io"
	"net/http"

	"golang.org/x/time/rate"
)

// rateLimitedReader reads no faster than a limiter allows.
type rateLimitedReader struct {
	ctx    context.Context
	reader io.Reader
	limit  *rate.Limiter
}

// Read reads up to a burst of the limiter, and waits for what it has read.
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

// RateLimitedWriter writes no faster than a limiter allows. Waiting ends with the context.
type RateLimitedWriter struct {
	http.ResponseWriter
	Context context.Context
	Limit   *rate.Limiter
}

// Write writes in parts of at most a burst of the limiter.
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
