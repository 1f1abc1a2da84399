// Package distribution defines the types that trackers, agents and stores of weights share:
// manifests, sets of chunks, and the messages between agents and the tracker with their validation.
//
// A version of weights is a sequence of bytes, split into chunks that an OCI image manifest lists.
// A name of weights refers to one manifest at a time. Agents fetch the chunks from each other and
// from the store, an OCI registry.
package distribution

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/opencontainers/go-digest"
	specs "github.com/opencontainers/image-spec/specs-go/v1"
)

const (
	// MaxManifestBytes is the largest manifest that is accepted. Registries commonly have the same
	// limit.
	MaxManifestBytes = 4 << 20
	// MaxVersionBytes is the largest total size of a manifest's chunks.
	MaxVersionBytes = 1 << 50

	schemaVersion = 2
	artifactType  = "application/vnd.oakpick.weights"
	chunkType     = "application/octet-stream"
)

// FieldError names an invalid field of a message and describes the problem.
type FieldError struct {
	Field   string
	Problem string
}

// Error returns the field and the problem, separated by a colon.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// fieldError returns a FieldError with a formatted problem.
func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Chunk identifies a contiguous part of a version's bytes.
type Chunk struct {
	Digest digest.Digest
	Size   int64
}

// Manifest lists the chunks of a version of weights, in the order of the version's bytes.
type Manifest struct {
	Digest digest.Digest
	Raw    []byte // the encoded manifest; its digest is Digest
	Chunks []Chunk
	Size   int64 // total of all chunks; a chunk that is listed twice counts twice
}

// ParseManifest decodes an OCI image manifest. It checks that the manifest has the digest want,
// that each layer has a valid digest and size, and that layers with equal digests have equal
// sizes.
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

// decodeManifest decodes an OCI image manifest and validates everything but the digests and sizes
// of its layers.
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

// ActiveVersion is the version of a name that an agent serves.
type ActiveVersion struct {
	Manifest digest.Digest `json:"manifest"`
	Revision int64         `json:"revision"` // of the name record that selected the manifest
}

// NewManifest returns an OCI image manifest with the given chunks as its layers.
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

// CheckDigest returns an error unless d is a valid SHA-256 digest, the only kind that every agent
// can verify.
func CheckDigest(d digest.Digest) error {
	if err := d.Validate(); err != nil {
		return err
	}
	if d.Algorithm() != digest.SHA256 {
		return fmt.Errorf("%s digests are not taken", d.Algorithm())
	}
	return nil
}

// ChunkSet is a set of chunk positions in a manifest, stored as a bitmap.
type ChunkSet []byte

// NewChunkSet returns an empty set with room for the given number of chunks.
func NewChunkSet(chunks int) ChunkSet { return make(ChunkSet, (chunks+bitsPerByte-1)/bitsPerByte) }

const bitsPerByte = 8

// Has reports whether a position is in the set.
func (s ChunkSet) Has(i int) bool {
	return i/bitsPerByte < len(s) && s[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Add adds a position, which must be within the size of the set.
func (s ChunkSet) Add(i int) { s[i/bitsPerByte] |= 1 << (i % bitsPerByte) }

// Remove removes a position. A position beyond the size of the set is ignored.
func (s ChunkSet) Remove(i int) {
	if i/bitsPerByte < len(s) {
		s[i/bitsPerByte] &^= 1 << (i % bitsPerByte)
	}
}

// Resized returns a copy of the set, truncated or extended to the given number of chunks. Sets from
// other processes may have any size.
func (s ChunkSet) Resized(chunks int) ChunkSet {
	resized := NewChunkSet(chunks)
	copy(resized, s)
	if rest := chunks % bitsPerByte; rest != 0 {
		resized[len(resized)-1] &= math.MaxUint8 >> (bitsPerByte - rest)
	}
	return resized
}
