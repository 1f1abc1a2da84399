package chunkstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/url"
	"path"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
)

// PutManifest stores a manifest.
func (s *Store) PutManifest(m *distribution.Manifest) error {
	return s.replaceFile(s.path(manifestsDir, m.Digest), m.Raw)
}

// Manifest reads a stored manifest. A damaged manifest counts as not stored.
func (s *Store) Manifest(d digest.Digest) (*distribution.Manifest, error) {
	if err := distribution.CheckDigest(d); err != nil {
		return nil, ErrNotStored
	}
	raw, err := afero.ReadFile(s.fs, s.path(manifestsDir, d))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotStored
	}
	if err != nil {
		return nil, &DiskError{err}
	}
	m, err := distribution.ParseManifest(raw, d)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotStored, err)
	}
	return m, nil
}

// activePath returns the path of the file that records the active version of a name.
func (s *Store) activePath(name string) string {
	return path.Join(s.root, activeDir, url.PathEscape(name)+".json")
}

// Activate atomically makes a version the active version of a name. All chunks of the version must
// be stored.
func (s *Store) Activate(name string, version distribution.ActiveVersion) error {
	m, err := s.Manifest(version.Manifest)
	if err != nil {
		return err
	}
	for _, chunk := range m.Chunks {
		info, err := s.fs.Stat(s.path(chunksDir, chunk.Digest))
		if err != nil || info.Size() != chunk.Size {
			return fmt.Errorf("chunk %s: %w", chunk.Digest, ErrNotStored)
		}
	}
	data, err := json.Marshal(version)
	if err != nil {
		return err
	}
	return s.replaceFile(s.activePath(name), data)
}

// Active returns the version that a name is served from.
func (s *Store) Active(name string) (distribution.ActiveVersion, error) {
	data, err := afero.ReadFile(s.fs, s.activePath(name))
	if errors.Is(err, fs.ErrNotExist) {
		return distribution.ActiveVersion{}, ErrNotStored
	}
	if err != nil {
		return distribution.ActiveVersion{}, &DiskError{err}
	}
	var version distribution.ActiveVersion
	if json.Unmarshal(data, &version) != nil || distribution.CheckDigest(version.Manifest) != nil {
		return distribution.ActiveVersion{}, ErrNotStored // the file is damaged
	}
	return version, nil
}

// VersionReader reads the bytes of a version. The version's chunks aren't removed before Close.
type VersionReader struct {
	distribution.ActiveVersion
	Size    int64
	chunks  []*ChunkFile
	current int
}

// OpenActive opens the active version of a name for reading.
func (s *Store) OpenActive(name string) (*VersionReader, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, err := s.Active(name)
	if err != nil {
		return nil, err
	}
	m, err := s.Manifest(version.Manifest)
	if err != nil {
		return nil, err
	}
	r := &VersionReader{ActiveVersion: version, Size: m.Size}
	for _, chunk := range m.Chunks {
		file, err := s.openChunkLocked(chunk.Digest)
		if err != nil {
			r.closeUnlocked(s)
			return nil, fmt.Errorf("chunk %s: %w", chunk.Digest, err)
		}
		r.chunks = append(r.chunks, file)
	}
	return r, nil
}

// closeUnlocked closes the chunks opened so far. The caller holds the store's lock, which is
// released during the close because closing a chunk acquires it.
func (r *VersionReader) closeUnlocked(s *Store) {
	s.mu.Unlock()
	_ = r.Close() // nothing was read, and the caller returns the error that caused the close
	s.mu.Lock()
}

// Read reads from the chunks in order.
func (r *VersionReader) Read(p []byte) (int, error) {
	for r.current < len(r.chunks) {
		n, err := r.chunks[r.current].Read(p)
		if n > 0 || !errors.Is(err, io.EOF) {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return n, err
		}
		r.current++
	}
	return 0, io.EOF
}

// Close closes the chunks and allows them to be removed.
func (r *VersionReader) Close() error {
	var errs []error
	for _, chunk := range r.chunks {
		errs = append(errs, chunk.Close())
	}
	return errors.Join(errs...)
}
