// Package distribution holds what trackers, agents and stores of weights share: manifests, sets
// of chunks, and the messages between agents and the tracker with their validation.
package distribution

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/opencontainers/go-digest"
	specs "github.com/opencontainers/image-spec/specs-go/v1"
)

const (
	// MaxManifestBytes is the largest manifest that is read, as registries commonly allow.
	MaxManifestBytes = 4 << 20
	// MaxVersionBytes bounds the size of all chunks of a manifest together.
	MaxVersionBytes = 1 << 50

	schemaVersion = 2
	artifactType  = "application/vnd.oakpick.weights"
	chunkType     = "application/octet-stream"
)

// FieldError names a field of a message and what is wrong with it.
type FieldError struct {
	Field   string
	Problem string
}

// Error returns the field and what is wrong with it.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldError returns a FieldError with a formatted problem.
func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Chunk is a part of a version's bytes.
type Chunk struct {
	Digest digest.Digest
	Size   int64
}

// Manifest lists the chunks of a version in order.
type Manifest struct {
	Digest digest.Digest
	Raw    []byte // as it was fetched; its digest is Digest
	Chunks []Chunk
	Size   int64 // of all chunks together
}

// ParseManifest reads an OCI image manifest and checks that it has the wanted digest.
func ParseManifest(raw []byte, want digest.Digest) (*Manifest, error) {
	if len(raw) > MaxManifestBytes {
		return nil, fieldError("manifest", "more than %d bytes", MaxManifestBytes)
	}
	if err := CheckDigest(want); err != nil {
		return nil, fieldError("digest", "%v", err)
	}
	if got := want.Algorithm().FromBytes(raw); got != want {
		return nil, fieldError("manifest", "has the digest %s, not %s", got, want)
	}
	decoded, err := decodeManifest(raw)
	if err != nil {
		return nil, err
	}
	m := &Manifest{Digest: want, Raw: raw, Chunks: make([]Chunk, 0, len(decoded.Layers))}
	sizes := make(map[digest.Digest]int64, len(decoded.Layers))
	for i, layer := range decoded.Layers {
		if err := CheckDigest(layer.Digest); err != nil {
			return nil, fieldError(fmt.Sprintf("layers[%d].digest", i), "%v", err)
		}
		if layer.Size <= 0 || layer.Size > MaxVersionBytes-m.Size {
			return nil, fieldError(fmt.Sprintf("layers[%d].size", i), "%d is out of range", layer.Size)
		}
		if size, known := sizes[layer.Digest]; known && size != layer.Size {
			return nil, fieldError(fmt.Sprintf("layers[%d].size", i), "%d here and %d before, with the same digest", layer.Size, size)
		}
		sizes[layer.Digest] = layer.Size
		m.Chunks = append(m.Chunks, Chunk{layer.Digest, layer.Size})
		m.Size += layer.Size
	}
	return m, nil
}

// decodeManifest reads an OCI image manifest and checks everything but its layers.
func decodeManifest(raw []byte) (*specs.Manifest, error) {
	var m specs.Manifest
	if err := json.Unmarshal(raw, &m); err != nil {
		return nil, fieldError("manifest", "not a JSON manifest: %v", err)
	}
	if m.SchemaVersion != schemaVersion {
		return nil, fieldError("schemaVersion", "%d, not %d", m.SchemaVersion, schemaVersion)
	}
	if m.MediaType != "" && m.MediaType != specs.MediaTypeImageManifest {
		return nil, fieldError("mediaType", "%q, not %q", m.MediaType, specs.MediaTypeImageManifest)
	}
	if len(m.Layers) == 0 {
		return nil, fieldError("layers", "there are none")
	}
	return &m, nil
}

// ActiveVersion is the version that a name is served from.
type ActiveVersion struct {
	Manifest digest.Digest `json:"manifest"`
	Revision int64         `json:"revision"` // of the name's record that led to it
}

// NewManifest returns the manifest of some chunks.
func NewManifest(chunks []Chunk) (*Manifest, error) {
	empty := specs.DescriptorEmptyJSON
	m := specs.Manifest{MediaType: specs.MediaTypeImageManifest, ArtifactType: artifactType, Config: empty}
	m.SchemaVersion = schemaVersion
	for _, chunk := range chunks {
		m.Layers = append(m.Layers, specs.Descriptor{MediaType: chunkType, Digest: chunk.Digest, Size: chunk.Size})
	}
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return ParseManifest(raw, digest.FromBytes(raw))
}

// CheckDigest accepts SHA-256 digests only, which every agent can verify.
func CheckDigest(d digest.Digest) error {
	if err := d.Validate(); err != nil {
		return err
	}
	if d.Algorithm() != digest.SHA256 {
		return fmt.Errorf("%s digests are not taken", d.Algorithm())
	}
	return nil
}

// ChunkSet is a set of positions in a manifest, one bit each.
type ChunkSet []byte

// NewChunkSet returns an empty set for a number of chunks.
func NewChunkSet(chunks int) ChunkSet { return make(ChunkSet, (chunks+bitsPerByte-1)/bitsPerByte) }

const bitsPerByte = 8

// Has reports whether a position is in the set.
func (s ChunkSet) Has(i int) bool {
	return i/bitsPerByte < len(s) && s[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Add adds a position to the set, which must be large enough.
func (s ChunkSet) Add(i int) { s[i/bitsPerByte] |= 1 << (i % bitsPerByte) }

// Remove removes a position from the set.
func (s ChunkSet) Remove(i int) {
	if i/bitsPerByte < len(s) {
		s[i/bitsPerByte] &^= 1 << (i % bitsPerByte)
	}
}

// Resized returns a copy of a set, which may come from another process, that has the size for a
// number of chunks: positions beyond them are left out, and missing ones are not in the set.
func (s ChunkSet) Resized(chunks int) ChunkSet {
	resized := NewChunkSet(chunks)
	copy(resized, s)
	if rest := chunks % bitsPerByte; rest != 0 {
		resized[len(resized)-1] &= math.MaxUint8 >> (bitsPerByte - rest)
	}
	return resized
}
