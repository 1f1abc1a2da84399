package scale

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
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
	mu        sync.Mutex
	manifests map[digest.Digest]*distribution.Manifest
	blobs     map[digest.Digest][]byte

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
		manifests: map[digest.Digest]*distribution.Manifest{}, blobs: map[digest.Digest][]byte{},
		uplink: rate.NewLimiter(rate.Limit(p.StoreRateMB*mebibyte), pacedBytes), rng: rand.New(rand.NewPCG(p.Seed, 3)),
	}
}

// pacedBytes are paced at a time.
const pacedBytes = 64 << 10

// publish makes a version of random chunks, the first of which are those of another.
func (s *weightsStore) publish(chunks int, size int64, before *distribution.Manifest, kept int) (*distribution.Manifest, error) {
	var list []distribution.Chunk
	for i := range chunks {
		if before != nil && i < kept {
			list = append(list, before.Chunks[i])
			continue
		}
		content := make([]byte, size)
		source := rand.NewChaCha8(s.seed())
		_, _ = source.Read(content) // it never fails
		d := digest.FromBytes(content)
		s.mu.Lock()
		s.blobs[d] = content
		s.mu.Unlock()
		list = append(list, distribution.Chunk{Digest: d, Size: size})
	}
	m, err := distribution.NewManifest(list)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifests[m.Digest] = m
	return m, nil
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
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range m.Chunks {
		_, _ = hash.Hash().Write(s.blobs[c.Digest]) // it never fails
	}
	return hash.Digest()
}

func (s *weightsStore) Manifest(_, reference string) ([]byte, digest.Digest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.manifests[digest.Digest(reference)]
	if m == nil {
		return nil, "", registry.ErrUnknown
	}
	return m.Raw, m.Digest, nil
}

type blobReader struct{ *bytes.Reader }

func (blobReader) Close() error { return nil }

func (s *weightsStore) Blob(_ string, d digest.Digest) (registry.Blob, error) {
	s.mu.Lock()
	content := s.blobs[d]
	s.mu.Unlock()
	if content == nil {
		return nil, registry.ErrUnknown
	}
	if takeOne(&s.wrong) {
		content = bytes.Clone(content)
		content[len(content)/2] ^= 1
	}
	return blobReader{bytes.NewReader(content)}, nil
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

func (s *weightsStore) Chunks(digest.Digest) distribution.ChunkSet { return nil }

// serve listens until it is closed.
func (s *weightsStore) serve(address string, slots int) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	blobs := &registry.Handler{
		Content: s, Slots: registry.NewSlots(slots), RetryAfter: time.Second,
		Body: func(w http.ResponseWriter) http.ResponseWriter {
			paced := registry.PacedWriter{ResponseWriter: w, Context: context.Background(), Limit: s.uplink}
			return &storeWriter{PacedWriter: paced, store: s, breaksOff: takeOne(&s.cut)}
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
	registry.PacedWriter
	store     *weightsStore
	breaksOff bool
}

var errBreaksOff = errors.New("the answer breaks off")

func (w *storeWriter) Write(b []byte) (int, error) {
	if w.store.out.Load() {
		breakConnection(w.ResponseWriter)
		return 0, errBreaksOff
	}
	n, err := w.PacedWriter.Write(b)
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
