package simulation

import (
	"math/rand/v2"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// Store simulates the store of weights.
type Store struct {
	networkLink
	world         *World
	Down          bool
	DamagedChunks map[digest.Digest]bool // sent with wrong bytes
	MissingChunks map[digest.Digest]bool // reported as missing
	manifests     map[digest.Digest]*distribution.Manifest
	chunks        map[digest.Digest][]byte
	SentBytes     map[digest.Digest]int64 // by chunk
}

func newStore(w *World) *Store {
	return &Store{
		world:         w,
		networkLink:   networkLink{bytesPerSecond: w.Options.BytesPerSecond},
		DamagedChunks: map[digest.Digest]bool{},
		MissingChunks: map[digest.Digest]bool{},
		manifests:     map[digest.Digest]*distribution.Manifest{},
		chunks:        map[digest.Digest][]byte{},
		SentBytes:     map[digest.Digest]int64{},
	}
}

// TotalSentBytes returns the number of bytes that the store has sent.
func (s *Store) TotalSentBytes() (sum int64) {
	for _, n := range s.SentBytes {
		sum += n
	}
	return sum
}

// Publish creates a version from random chunks. If previous isn't nil, the new version
// starts with the first chunks of the previous one; kept is the number of these chunks.
func (s *Store) Publish(chunks int, chunkBytes int64, previous *distribution.Manifest, kept int) *distribution.Manifest {
	rng := rand.New(rand.NewPCG(s.world.Options.Seed, uint64(len(s.chunks))))
	var list []distribution.Chunk
	var version []byte
	for i := range chunks {
		if previous != nil && i < kept {
			list = append(list, previous.Chunks[i])
			version = append(version, s.chunks[previous.Chunks[i].Digest]...)
			continue
		}
		content := make([]byte, chunkBytes)
		for j := range content {
			content[j] = byte(rng.Uint32())
		}
		d := digest.FromBytes(content)
		s.chunks[d] = content
		list = append(list, distribution.Chunk{Digest: d, Size: chunkBytes})
		version = append(version, content...)
	}
	m, err := distribution.NewManifest(list)
	if err != nil {
		panic(err) // the generated chunks are valid
	}
	s.manifests[m.Digest] = m
	s.world.versions[m.Digest] = version
	return m
}

// uploadContent returns the bytes that the store sends for a chunk, or nil if the chunk is missing.
func (s *Store) uploadContent(d digest.Digest) []byte {
	if s.MissingChunks[d] {
		return nil
	}
	if s.DamagedChunks[d] {
		return corruptedCopy(s.chunks[d])
	}
	return s.chunks[d]
}

// corruptedCopy returns a copy of content in which every byte is wrong.
func corruptedCopy(content []byte) []byte {
	out := make([]byte, len(content))
	for i, b := range content {
		out[i] = ^b
	}
	return out
}
