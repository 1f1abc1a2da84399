// Package chunkstore stores chunks of weights on disk by their digest. A chunk counts as stored
// only once all of its bytes are written and match the digest; until then it is a partial chunk.
// A small file for each name, which is replaced atomically, records the name's active version.
package chunkstore

import (
	"bytes"
	"errors"
	"io/fs"
	"path"
	"sync"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/durable"
)

// Directories and files below the root.
const (
	chunksDir    = "chunks"
	partialDir   = "partial"
	manifestsDir = "manifests"
	activeDir    = "active"
	sessionFile  = "session"
)

// ErrDamaged means that a chunk's bytes don't match its digest.
var ErrDamaged = errors.New("bytes don't match the digest")

// ErrNotStored means that a chunk, manifest or active version isn't stored.
var ErrNotStored = errors.New("not stored")

// DiskError is an error of the disk, as opposed to an error of the source of a chunk's bytes.
type DiskError struct{ Err error }

// Error returns the error of the file system.
func (e *DiskError) Error() string { return "disk: " + e.Err.Error() }

// Unwrap returns the error of the file system.
func (e *DiskError) Unwrap() error { return e.Err }

// Store stores chunks below a directory of a file system. It is safe for concurrent use, except
// that each chunk may have only one Write at a time.
type Store struct {
	fs   afero.Fs
	root string

	mu      sync.Mutex
	readers map[digest.Digest]int // open readers of each chunk; a chunk with readers isn't removed
}

// Open opens the store below a directory and creates missing directories.
func Open(files afero.Fs, root string) (*Store, error) {
	s := &Store{fs: files, root: root, readers: map[digest.Digest]int{}}
	for _, dir := range []string{chunksDir, partialDir, manifestsDir, activeDir} {
		if err := files.MkdirAll(path.Join(root, dir), 0o755); err != nil {
			return nil, &DiskError{err}
		}
	}
	return s, nil
}

// path returns the path of a digest's file in one of the directories.
func (s *Store) path(dir string, d digest.Digest) string {
	return path.Join(s.root, dir, d.Encoded())
}

// replaceFile writes a small file atomically.
func (s *Store) replaceFile(name string, content []byte) error {
	if err := durable.Replace(s.fs, name, bytes.NewReader(content)); err != nil {
		return &DiskError{err}
	}
	return nil
}

// Remove deletes a chunk's complete and partial files, unless the chunk is being read.
func (s *Store) Remove(d digest.Digest) (removed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers[d] > 0 {
		return false, nil
	}
	for _, dir := range []string{chunksDir, partialDir} {
		if err := s.fs.Remove(s.path(dir, d)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return false, &DiskError{err}
		}
	}
	return true, nil
}
