package distributionrun

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/opencontainers/go-digest"
	"golang.org/x/time/rate"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/registry"
)

// simulatedStore is the read side of the OCI distribution specification from memory, with an
// uplink that all answers share, slots, outages, and answers that are wrong or break off.
type simulatedStore struct {
	*registry.Memory

	uplink             *rate.Limiter
	unavailable        atomic.Bool
	corruptResponses   atomic.Int64 // answers to come that have wrong bytes
	truncatedResponses atomic.Int64 // answers to come that break off
	sentBytes          atomic.Int64 // of blobs

	server *http.Server // nil before serve
	random *rand.Rand
}

// contentStream is the stream of random numbers that contents are drawn from.
const contentStream = 3

// rateLimitBurstBytes are sent at a time over a paced link.
const rateLimitBurstBytes = 64 << 10

func newSimulatedStore(p Parameters) *simulatedStore {
	return &simulatedStore{
		Memory: registry.NewMemory(),
		uplink: rate.NewLimiter(rate.Limit(p.StoreRateMB*mebibyte), rateLimitBurstBytes), random: rand.New(rand.NewPCG(p.Seed, contentStream)),
	}
}

// publish makes a version of random chunks of so many bytes each.
func (s *simulatedStore) publish(chunks int, chunkBytes int64) (*distribution.Manifest, error) {
	return s.publishNext(chunks, chunkBytes, nil)
}

// publishNext makes a version that begins with chunks of another.
func (s *simulatedStore) publishNext(chunks int, chunkBytes int64, kept []distribution.Chunk) (*distribution.Manifest, error) {
	var contents [][]byte
	for _, chunk := range kept {
		contents = append(contents, s.Bytes(chunk.Digest))
	}
	for range chunks - len(kept) {
		contents = append(contents, s.randomContent(chunkBytes))
	}
	return s.Publish(contents)
}

func (s *simulatedStore) randomContent(size int64) []byte {
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(s.random.Uint32())
	}
	content := make([]byte, size)
	_, _ = rand.NewChaCha8(seed).Read(content) // it never fails
	return content
}

// contentDigest is the digest of all bytes of a version in their order.
func (s *simulatedStore) contentDigest(version *distribution.Manifest) digest.Digest {
	hash := digest.SHA256.Digester()
	for _, chunk := range version.Chunks {
		_, _ = hash.Hash().Write(s.Bytes(chunk.Digest)) // it never fails
	}
	return hash.Digest()
}

// Blob opens a chunk, with wrong bytes if some are to be sent.
func (s *simulatedStore) Blob(name string, d digest.Digest) (registry.Blob, error) {
	if content := s.Bytes(d); content != nil && decrementIfPositive(&s.corruptResponses) {
		content = bytes.Clone(content)
		content[len(content)/2] ^= 1
		return registry.NewBlob(content), nil
	}
	return s.Memory.Blob(name, d)
}

// decrementIfPositive counts down; false: nothing is left.
func decrementIfPositive(left *atomic.Int64) bool {
	for n := left.Load(); n > 0; n = left.Load() {
		if left.CompareAndSwap(n, n-1) {
			return true
		}
	}
	return false
}

// retryAfter is what the store tells clients to wait if all slots are taken.
const retryAfter = time.Second

// serve listens until close.
func (s *simulatedStore) serve(ctx context.Context, address string, slots int) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	blobs := &registry.Handler{
		Content: s, Slots: registry.NewSlots(slots), RetryAfter: retryAfter,
		WrapBody: func(w http.ResponseWriter) http.ResponseWriter {
			// Answers end with their connections, so that pacing needs no context of a request.
			paced := registry.RateLimitedWriter{ResponseWriter: w, Context: context.Background(), Limit: s.uplink}
			return &storeWriter{RateLimitedWriter: paced, store: s, truncate: decrementIfPositive(&s.truncatedResponses)}
		},
	}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.unavailable.Load() {
			dropConnection(w)
			return
		}
		blobs.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }() // it ends when close closes the server
	return nil
}

func (s *simulatedStore) close() {
	if s.server != nil {
		_ = s.server.Close() // nothing can be done about it at the end
	}
}

// storeWriter counts what is sent, and breaks off if it is to.
type storeWriter struct {
	registry.RateLimitedWriter
	store    *simulatedStore
	truncate bool
}

// errConnectionDropped ends an answer whose connection was closed on purpose.
var errConnectionDropped = errors.New("the answer breaks off")

// Write writes at the uplink's pace.
func (w *storeWriter) Write(b []byte) (int, error) {
	if w.store.unavailable.Load() {
		dropConnection(w.ResponseWriter)
		return 0, errConnectionDropped
	}
	n, err := w.RateLimitedWriter.Write(b)
	w.store.sentBytes.Add(int64(n))
	if w.truncate {
		dropConnection(w.ResponseWriter)
		return n, errConnectionDropped
	}
	return n, err
}

// dropConnection closes a connection without an answer or in the middle of one.
func dropConnection(w http.ResponseWriter) {
	if connection, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = connection.Close() // nothing else is to happen to it
	}
}
