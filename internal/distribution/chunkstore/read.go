package chunkstore

import (
	"errors"
	"io/fs"
	"sync"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
)

// ChunkFile is a stored chunk that is open for reading. The chunk isn't removed while it is open.
type ChunkFile struct {
	afero.File
	Size    int64
	release func()
}

// Close closes the file and allows the chunk to be removed.
func (f *ChunkFile) Close() error {
	f.release()
	return f.File.Close()
}

// OpenChunk opens a stored chunk.
func (s *Store) OpenChunk(d digest.Digest) (*ChunkFile, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openChunkLocked(d)
}

// openChunkLocked opens a stored chunk. The caller holds the lock.
func (s *Store) openChunkLocked(d digest.Digest) (*ChunkFile, error) {
	if err := distribution.CheckDigest(d); err != nil {
		return nil, ErrNotStored
	}
	file, err := s.fs.Open(s.path(chunksDir, d))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, ErrNotStored
	}
	if err != nil {
		return nil, &DiskError{err}
	}
	info, err := file.Stat()
	if err != nil {
		return nil, errors.Join(&DiskError{err}, file.Close())
	}
	s.readers[d]++
	var once sync.Once
	release := func() { once.Do(func() { s.releaseReader(d) }) }
	return &ChunkFile{file, info.Size(), release}, nil
}

// releaseReader decrements the number of readers of a chunk.
func (s *Store) releaseReader(d digest.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers[d]--; s.readers[d] == 0 {
		delete(s.readers, d)
	}
}

// Verify reads a chunk and reports whether it is stored and matches its digest. It removes a
// damaged chunk.
func (s *Store) Verify(d digest.Digest) (intact bool, err error) {
	file, err := s.OpenChunk(d)
	if errors.Is(err, ErrNotStored) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	got, err := d.Algorithm().FromReader(file)
	if err := errors.Join(err, file.Close()); err != nil {
		return false, &DiskError{err}
	}
	if got == d {
		return true, nil
	}
	if err := s.fs.Remove(s.path(chunksDir, d)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return false, &DiskError{err}
	}
	return false, nil
}
