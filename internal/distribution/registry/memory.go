package registry

import (
	"bytes"
	"sync"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// MemoryContent holds manifests and blobs in memory. Simulated stores serve it as their Content.
// It is safe for concurrent use.
type MemoryContent struct {
	mu        sync.Mutex
	manifests map[string]*distribution.Manifest // by digest and by tag
	blobs     map[digest.Digest][]byte
}

// NewMemoryContent returns an empty MemoryContent.
func NewMemoryContent() *MemoryContent {
	return &MemoryContent{manifests: map[string]*distribution.Manifest{}, blobs: map[digest.Digest][]byte{}}
}

// Publish adds the chunks and their manifest, and points the tags to that manifest.
func (m *MemoryContent) Publish(chunks [][]byte, tags ...string) (*distribution.Manifest, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []distribution.Chunk
	for _, content := range chunks {
		d := digest.FromBytes(content)
		m.blobs[d] = content
		list = append(list, distribution.Chunk{Digest: d, Size: int64(len(content))})
	}
	manifest, err := distribution.NewManifest(list)
	if err != nil {
		return nil, err
	}
	for _, reference := range append(tags, manifest.Digest.String()) {
		m.manifests[reference] = manifest
	}
	return manifest, nil
}

// Bytes returns the content of a blob, or nil if the blob is unknown.
func (m *MemoryContent) Bytes(d digest.Digest) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blobs[d]
}

// Manifest returns the manifest with the given tag or digest, and the manifest's digest.
func (m *MemoryContent) Manifest(_, reference string) ([]byte, digest.Digest, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	manifest := m.manifests[reference]
	if manifest == nil {
		return nil, "", ErrNotFound
	}
	return manifest.Raw, manifest.Digest, nil
}

// Blob opens a blob.
func (m *MemoryContent) Blob(_ string, d digest.Digest) (Blob, error) {
	content := m.Bytes(d)
	if content == nil {
		return nil, ErrNotFound
	}
	return NewBlob(content), nil
}

// Chunks returns nil, so that no chunks header is sent: content in memory is always complete.
func (*MemoryContent) Chunks(digest.Digest) distribution.ChunkSet { return nil }

// memoryBlob is a Blob that reads from a byte slice.
type memoryBlob struct{ *bytes.Reader }

// Close does nothing.
func (memoryBlob) Close() error { return nil }

// NewBlob returns a Blob that reads from content.
func NewBlob(content []byte) Blob { return memoryBlob{bytes.NewReader(content)} }
