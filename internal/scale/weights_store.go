package scale

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

// weightsStore is the stand-in for the store: the read side of the OCI distribution
// specification from memory, with an uplink that all answers share, slots, outages, and
// answers that are wrong or break off.
type weightsStore struct {
	*registry.Memory

	uplink *rate.Limiter
	out    atomic.Bool
	wrong  atomic.Int64 // answers to come that have wrong bytes
	cut    atomic.Int64 // answers to come that break off
	sent   atomic.Int64 // bytes of blobs

	server *http.Server
	rng    *rand.Rand
}

func newWeightsStore(p WeightsParameters) *weightsStore {
	return &weightsStore{
		Memory: registry.NewMemory(),
		uplink: rate.NewLimiter(rate.Limit(p.StoreRateMB*mebibyte), pacedBytes), rng: rand.New(rand.NewPCG(p.Seed, 3)),
	}
}

// pacedBytes are paced at a time.
const pacedBytes = 64 << 10

// publish makes a version of random chunks, the first of which are those of another.
func (s *weightsStore) publish(chunks int, size int64, before *distribution.Manifest, kept int) (*distribution.Manifest, error) {
	var contents [][]byte
	for i := range chunks {
		if before != nil && i < kept {
			contents = append(contents, s.Bytes(before.Chunks[i].Digest))
			continue
		}
		content := make([]byte, size)
		_, _ = rand.NewChaCha8(s.seed()).Read(content) // it never fails
		contents = append(contents, content)
	}
	return s.Publish(contents)
}

func (s *weightsStore) seed() (seed [32]byte) {
	for i := range seed {
		seed[i] = byte(s.rng.Uint32())
	}
	return seed
}

// sum is the digest of all bytes of a version in their order.
func (s *weightsStore) sum(m *distribution.Manifest) digest.Digest {
	hash := digest.SHA256.Digester()
	for _, c := range m.Chunks {
		_, _ = hash.Hash().Write(s.Bytes(c.Digest)) // it never fails
	}
	return hash.Digest()
}

// Blob opens a chunk, with wrong bytes if some are to be sent.
func (s *weightsStore) Blob(name string, d digest.Digest) (registry.Blob, error) {
	if content := s.Bytes(d); content != nil && takeOne(&s.wrong) {
		content = bytes.Clone(content)
		content[len(content)/2] ^= 1
		return registry.NewBlob(content), nil
	}
	return s.Memory.Blob(name, d)
}

// takeOne takes one of what is left, if there is any.
func takeOne(left *atomic.Int64) bool {
	for n := left.Load(); n > 0; n = left.Load() {
		if left.CompareAndSwap(n, n-1) {
			return true
		}
	}
	return false
}

// serve listens until it is closed.
func (s *weightsStore) serve(address string, slots int) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	blobs := &registry.Handler{
		Content: s, Slots: registry.NewSlots(slots), RetryAfter: time.Second,
		WrapBody: func(w http.ResponseWriter) http.ResponseWriter {
			paced := registry.RateLimitedWriter{ResponseWriter: w, Context: context.Background(), Limit: s.uplink}
			return &storeWriter{RateLimitedWriter: paced, store: s, breaksOff: takeOne(&s.cut)}
		},
	}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.out.Load() {
			breakConnection(w)
			return
		}
		blobs.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }() // it ends with the server
	return nil
}

func (s *weightsStore) close() {
	if s.server != nil {
		_ = s.server.Close() // nothing can be done about it at the end
	}
}

// storeWriter counts what is sent, and breaks off if it is to.
type storeWriter struct {
	registry.RateLimitedWriter
	store     *weightsStore
	breaksOff bool
}

var errBreaksOff = errors.New("the answer breaks off")

func (w *storeWriter) Write(b []byte) (int, error) {
	if w.store.out.Load() {
		breakConnection(w.ResponseWriter)
		return 0, errBreaksOff
	}
	n, err := w.RateLimitedWriter.Write(b)
	w.store.sent.Add(int64(n))
	if w.breaksOff {
		breakConnection(w.ResponseWriter)
		return n, errBreaksOff
	}
	return n, err
}

// breakConnection closes a connection without a word.
func breakConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close() // that is all that is to happen to it
	}
}
