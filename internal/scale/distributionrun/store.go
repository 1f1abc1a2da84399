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

// simulatedStore serves the read side of the OCI distribution specification from memory. All
// responses share one uplink, and the number of concurrent uploads is limited by slots. The store
// can simulate outages, corrupt responses and truncated responses.
type simulatedStore struct {
	*registry.MemoryContent

	uplink             *rate.Limiter
	unavailable        atomic.Bool
	corruptResponses   atomic.Int64 // number of blob responses still to be corrupted
	truncatedResponses atomic.Int64 // number of blob responses still to be truncated
	sentBytes          atomic.Int64 // sent in bodies of blob responses

	server *http.Server // nil before serve
	random *rand.Rand
}

// contentStream selects the random number stream of the chunks' content.
const contentStream = 3

// rateLimitBurstBytes is the largest number of bytes sent at once over a rate-limited link.
const rateLimitBurstBytes = 64 << 10

func newSimulatedStore(p Parameters) *simulatedStore {
	return &simulatedStore{
		MemoryContent: registry.NewMemoryContent(),
		uplink:        rate.NewLimiter(rate.Limit(p.StoreRateMB*mebibyte), rateLimitBurstBytes), random: rand.New(rand.NewPCG(p.Seed, contentStream)),
	}
}

// publish publishes a version of random chunks of the given size.
func (s *simulatedStore) publish(chunks int, chunkBytes int64) (*distribution.Manifest, error) {
	return s.publishWithSharedChunks(chunks, chunkBytes, nil)
}

// publishWithSharedChunks publishes a version that begins with chunks of another version, followed by
// random chunks.
func (s *simulatedStore) publishWithSharedChunks(chunks int, chunkBytes int64, kept []distribution.Chunk) (*distribution.Manifest, error) {
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
	_, _ = rand.NewChaCha8(seed).Read(content) // never fails
	return content
}

// contentDigest returns the digest of a version's content: all its chunks in order.
func (s *simulatedStore) contentDigest(version *distribution.Manifest) digest.Digest {
	hash := digest.SHA256.Digester()
	for _, chunk := range version.Chunks {
		_, _ = hash.Hash().Write(s.Bytes(chunk.Digest)) // never fails
	}
	return hash.Digest()
}

// Blob returns the content of a chunk, with one bit flipped if a response is to be corrupted.
func (s *simulatedStore) Blob(name string, d digest.Digest) (registry.Blob, error) {
	if content := s.Bytes(d); content != nil && decrementIfPositive(&s.corruptResponses) {
		content = bytes.Clone(content)
		content[len(content)/2] ^= 1
		return registry.NewBlob(content), nil
	}
	return s.MemoryContent.Blob(name, d)
}

// decrementIfPositive decrements a counter. It returns false if the counter was not positive.
func decrementIfPositive(left *atomic.Int64) bool {
	for n := left.Load(); n > 0; n = left.Load() {
		if left.CompareAndSwap(n, n-1) {
			return true
		}
	}
	return false
}

// retryAfter is the delay after which clients may retry if all slots of the store are taken.
const retryAfter = time.Second

// serve starts the store's server at an address. close stops the server.
func (s *simulatedStore) serve(ctx context.Context, address string, slots int) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	blobs := &registry.Handler{
		Content: s, Slots: registry.NewSlots(slots), RetryAfter: retryAfter,
		WrapBody: func(w http.ResponseWriter) http.ResponseWriter {
			// Closing a connection ends its responses, so the rate limiter doesn't need the request's context.
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
	go func() { _ = s.server.Serve(listener) }() // returns when close closes the server
	return nil
}

func (s *simulatedStore) close() {
	if s.server != nil {
		_ = s.server.Close() // an error at the end of a run is ignored
	}
}

// storeWriter counts the sent bytes and truncates a response if requested.
type storeWriter struct {
	registry.RateLimitedWriter
	store    *simulatedStore
	truncate bool
}

// errConnectionDropped is returned by Write after it has closed the connection on purpose.
var errConnectionDropped = errors.New("connection dropped on purpose")

// Write writes at the uplink's rate. It drops the connection during an outage, and after the first
// write of a response that is to be truncated.
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

// dropConnection closes a connection before or during a response.
func dropConnection(w http.ResponseWriter) {
	if connection, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = connection.Close() // the connection isn't used any more
	}
}
