package simulation

import (
	"math/rand/v2"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/storage"
)

type storageResult = storage.StateResult

// Store is the stand-in for the store of weights.
type Store struct {
	endpoint
	world         *World
	Down          bool
	DamagedChunks map[digest.Digest]bool // chunks of which it sends wrong bytes
	MissingChunks map[digest.Digest]bool // chunks that it doesn't have
	manifests     map[digest.Digest]*distribution.Manifest
	chunks        map[digest.Digest][]byte
	SentBytes     map[digest.Digest]int64 // bytes by chunk
}

func newStore(w *World) *Store {
	return &Store{
		world: w, endpoint: endpoint{bytesPerSecond: w.Options.BytesPerSecond}, DamagedChunks: map[digest.Digest]bool{}, MissingChunks: map[digest.Digest]bool{},
		manifests: map[digest.Digest]*distribution.Manifest{}, chunks: map[digest.Digest][]byte{}, SentBytes: map[digest.Digest]int64{},
	}
}

// SentBytes is how much it has sent.
func (s *Store) TotalSentBytes() (sum int64) {
	for _, n := range s.SentBytes {
		sum += n
	}
	return sum
}

// Publish makes a version of random chunks of such a size. Of the version before, if one is
// named, the first so many are kept.
func (s *Store) Publish(chunks int, size int64, before *distribution.Manifest, kept int) *distribution.Manifest {
	rng := rand.New(rand.NewPCG(s.world.Options.Seed, uint64(len(s.chunks))))
	var list []distribution.Chunk
	var whole []byte
	for i := range chunks {
		if before != nil && i < kept {
			list = append(list, before.Chunks[i])
			whole = append(whole, s.chunks[before.Chunks[i].Digest]...)
			continue
		}
		content := make([]byte, size)
		for j := range content {
			content[j] = byte(rng.Uint32())
		}
		d := digest.FromBytes(content)
		s.chunks[d] = content
		list = append(list, distribution.Chunk{Digest: d, Size: size})
		whole = append(whole, content...)
	}
	m, err := distribution.NewManifest(list)
	if err != nil {
		panic(err) // the chunks here are sound
	}
	s.manifests[m.Digest] = m
	s.world.versions[m.Digest] = whole
	return m
}

// bytes is what it would send of a chunk.
func (s *Store) uploadContent(d digest.Digest) []byte {
	if s.MissingChunks[d] {
		return nil
	}
	if s.DamagedChunks[d] {
		return corrupted(s.chunks[d])
	}
	return s.chunks[d]
}

// inverted are bytes that are all wrong.
func corrupted(content []byte) []byte {
	out := make([]byte, len(content))
	for i, b := range content {
		out[i] = ^b
	}
	return out
}
