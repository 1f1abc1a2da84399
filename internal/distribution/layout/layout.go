// Package layout stores versions of weights in a directory as an OCI image layout. It splits files
// into chunks, verifies stored chunks, and provides the content that a registry.Handler serves.
package layout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"

	"github.com/opencontainers/go-digest"
	"github.com/opencontainers/image-spec/specs-go"
	image "github.com/opencontainers/image-spec/specs-go/v1"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/registry"
	"oakpick/internal/durable"
)

const (
	blobsDir      = "blobs"
	maxIndexBytes = 16 << 20 // limit for reading the index
)

// Layout is an OCI image layout in a directory.
type Layout struct {
	fs   afero.Fs
	root string
}

// Open opens an existing layout.
func Open(files afero.Fs, root string) (*Layout, error) {
	l := &Layout{files, root}
	text, err := afero.ReadFile(files, path.Join(root, image.ImageLayoutFile))
	if err != nil {
		return nil, fmt.Errorf("%s is not an OCI image layout: %w", root, err)
	}
	var version image.ImageLayout
	if json.Unmarshal(text, &version) != nil || version.Version != image.ImageLayoutVersion {
		return nil, fmt.Errorf("%s: %s: unsupported version %q, want %s", root, image.ImageLayoutFile, version.Version, image.ImageLayoutVersion)
	}
	return l, nil
}

// Create opens a layout, which it creates if there is none.
func Create(files afero.Fs, root string) (*Layout, error) {
	l, err := Open(files, root)
	if !errors.Is(err, fs.ErrNotExist) {
		return l, err
	}
	l = &Layout{files, root}
	if err := files.MkdirAll(path.Join(root, blobsDir, digest.SHA256.String()), 0o755); err != nil {
		return nil, err
	}
	index := image.Index{Versioned: specs.Versioned{SchemaVersion: 2}, MediaType: image.MediaTypeImageIndex}
	// The file that marks a directory as a layout is written last, after the layout is complete.
	return l, errors.Join(l.writeIndex(index), l.writeJSON(image.ImageLayoutFile, image.ImageLayout{Version: image.ImageLayoutVersion}))
}

// blobPath returns the path of a blob.
func (l *Layout) blobPath(d digest.Digest) string {
	return path.Join(l.root, blobsDir, d.Algorithm().String(), d.Encoded())
}

// Pack splits the content of source into chunks of chunkBytes, the last one possibly shorter, and
// makes a tag refer to the new version. A chunk that the layout already contains takes no further
// space. The tag changes last and atomically, so that a failed Pack leaves it unchanged.
func (l *Layout) Pack(source io.Reader, chunkBytes int64, tag string) (*distribution.Manifest, error) {
	if chunkBytes <= 0 {
		return nil, &distribution.FieldError{Field: "chunk size", Problem: fmt.Sprintf("%d is out of range", chunkBytes)}
	}
	if err := distribution.CheckReference(tag); err != nil || distribution.CheckDigest(digest.Digest(tag)) == nil {
		return nil, &distribution.FieldError{Field: "tag", Problem: fmt.Sprintf("%.80q is not a tag", tag)}
	}
	chunks, err := l.packChunks(source, chunkBytes)
	if err != nil {
		return nil, err
	}
	m, err := distribution.NewManifest(chunks)
	if err != nil {
		return nil, err
	}
	emptyConfig := image.DescriptorEmptyJSON // the configuration that every manifest refers to
	for d, content := range map[digest.Digest][]byte{m.Digest: m.Raw, emptyConfig.Digest: emptyConfig.Data} {
		if err := durable.Replace(l.fs, l.blobPath(d), bytes.NewReader(content)); err != nil {
			return nil, err
		}
	}
	return m, l.setTag(m, tag)
}

// packChunks splits the content of source into chunks and writes them as blobs.
func (l *Layout) packChunks(source io.Reader, chunkBytes int64) (chunks []distribution.Chunk, err error) {
	for {
		chunk, err := l.packChunk(io.LimitReader(source, chunkBytes))
		if err != nil {
			return nil, err
		}
		if chunk.Size == 0 {
			return chunks, nil
		}
		chunks = append(chunks, chunk)
	}
}

// packChunk writes the content of source as a blob. If the content is empty, it writes no blob and
// returns a chunk of size 0.
func (l *Layout) packChunk(source io.Reader) (distribution.Chunk, error) {
	name := path.Join(l.root, blobsDir, "chunk"+durable.TemporarySuffix)
	digester := digest.SHA256.Digester()
	size, err := durable.Write(l.fs, name, io.TeeReader(source, digester.Hash()))
	if err != nil || size == 0 {
		return distribution.Chunk{}, errors.Join(err, l.fs.Remove(name))
	}
	chunk := distribution.Chunk{Digest: digester.Digest(), Size: size}
	return chunk, durable.Rename(l.fs, name, l.blobPath(chunk.Digest))
}

// writeJSON replaces a JSON file atomically.
func (l *Layout) writeJSON(name string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return durable.Replace(l.fs, path.Join(l.root, name), bytes.NewReader(text))
}

func (l *Layout) writeIndex(index image.Index) error { return l.writeJSON(image.ImageIndexFile, index) }

// readIndex reads the index, which lists the manifests with their tags.
func (l *Layout) readIndex() (image.Index, error) {
	var index image.Index
	file, err := l.fs.Open(path.Join(l.root, image.ImageIndexFile))
	if err != nil {
		return index, err
	}
	defer file.Close() //nolint:errcheck // it was only read
	text, err := io.ReadAll(io.LimitReader(file, maxIndexBytes))
	if err != nil {
		return index, err
	}
	if err := json.Unmarshal(text, &index); err != nil {
		return index, fmt.Errorf("%s: %w", image.ImageIndexFile, err)
	}
	return index, nil
}

// setTag makes a tag refer to a manifest.
func (l *Layout) setTag(m *distribution.Manifest, tag string) error {
	index, err := l.readIndex()
	if err != nil {
		return err
	}
	var kept []image.Descriptor
	for _, descriptor := range index.Manifests {
		if descriptor.Annotations[image.AnnotationRefName] != tag {
			kept = append(kept, descriptor)
		}
	}
	kept = append(kept, image.Descriptor{
		MediaType:   image.MediaTypeImageManifest,
		Digest:      m.Digest,
		Size:        int64(len(m.Raw)),
		Annotations: map[string]string{image.AnnotationRefName: tag},
	})
	index.Manifests = kept
	return l.writeIndex(index)
}

// Tags returns the digest of each tag's manifest.
func (l *Layout) Tags() (map[string]digest.Digest, error) {
	index, err := l.readIndex()
	tags := map[string]digest.Digest{}
	for _, descriptor := range index.Manifests {
		if tag := descriptor.Annotations[image.AnnotationRefName]; tag != "" {
			tags[tag] = descriptor.Digest
		}
	}
	return tags, err
}

// Check reads and verifies the chunks of every manifest in the index. Its error names all manifests
// and chunks that are missing or damaged.
func (l *Layout) Check() error {
	index, err := l.readIndex()
	if err != nil {
		return err
	}
	var problems []error
	checked := map[digest.Digest]bool{} // by chunk digest
	for _, descriptor := range index.Manifests {
		m, err := l.readManifest(descriptor.Digest)
		if err != nil {
			problems = append(problems, fmt.Errorf("manifest %s: %w", descriptor.Digest, err))
			continue
		}
		for _, chunk := range m.Chunks {
			if !checked[chunk.Digest] {
				checked[chunk.Digest] = true
				problems = append(problems, l.checkChunk(chunk))
			}
		}
	}
	return errors.Join(problems...)
}

// readManifest reads and validates a manifest.
func (l *Layout) readManifest(d digest.Digest) (*distribution.Manifest, error) {
	raw, _, err := l.Manifest("", d.String())
	if err != nil {
		return nil, err
	}
	return distribution.ParseManifest(raw, d)
}

// checkChunk reads a chunk and verifies its digest.
func (l *Layout) checkChunk(c distribution.Chunk) error {
	blob, err := l.Blob("", c.Digest)
	if err != nil {
		return fmt.Errorf("chunk %s: %w", c.Digest, err)
	}
	defer blob.Close() //nolint:errcheck // it was only read
	got, err := digest.SHA256.FromReader(blob)
	if err != nil || got != c.Digest {
		return errors.Join(err, fmt.Errorf("chunk %s: content has digest %s", c.Digest, got))
	}
	return nil
}

// Manifest returns the manifest with a tag or digest, and its digest.
func (l *Layout) Manifest(_, reference string) ([]byte, digest.Digest, error) {
	d := digest.Digest(reference)
	if distribution.CheckDigest(d) != nil {
		tags, err := l.Tags()
		if err != nil {
			return nil, "", err
		}
		if d = tags[reference]; distribution.CheckDigest(d) != nil {
			return nil, "", registry.ErrNotFound
		}
	}
	blob, err := l.Blob("", d)
	if err != nil {
		return nil, "", err
	}
	defer blob.Close() //nolint:errcheck // it was only read
	raw, err := io.ReadAll(io.LimitReader(blob, distribution.MaxManifestBytes+1))
	if err == nil && len(raw) > distribution.MaxManifestBytes {
		return nil, "", registry.ErrNotFound // too large for a manifest, so the digest is that of a chunk
	}
	return raw, d, err
}

// Blob opens a blob. It returns registry.ErrNotFound if there is none with the digest.
func (l *Layout) Blob(_ string, d digest.Digest) (registry.Blob, error) {
	if distribution.CheckDigest(d) != nil {
		return nil, registry.ErrNotFound
	}
	file, err := l.fs.Open(l.blobPath(d))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, registry.ErrNotFound
	}
	return file, err
}

// Chunks returns nil: agents request chunks from a store without asking first which it has.
func (*Layout) Chunks(digest.Digest) distribution.ChunkSet { return nil }
