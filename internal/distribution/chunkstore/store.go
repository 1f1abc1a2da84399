// Package chunkstore keeps chunks of weights on disk by their digest. A chunk counts as stored
// only once all of its bytes were written and have its digest; what is stored of others is
// kept in part. Which version a name is served from is one small file, replaced in one step.
package chunkstore

import (
	"bytes"
	"errors"
	"hash"
	"io"
	"io/fs"
	"os"
	"path"
	"sync"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
	"oakpick/internal/durable"
)

// Directories below the root.
const (
	chunksDir    = "chunks"
	partialDir   = "partial"
	manifestsDir = "manifests"
	activeDir    = "active"
	sessionFile  = "session"
)

// ErrDamaged says that a chunk's bytes don't have its digest.
var ErrDamaged = errors.New("the bytes don't have the digest")

// ErrUnknown says that something isn't stored.
var ErrNotStored = errors.New("not stored")

// DiskError says that the disk, and not the source of the bytes, is at fault.
type DiskError struct{ Err error }

func (e *DiskError) Error() string { return "disk: " + e.Err.Error() }
func (e *DiskError) Unwrap() error { return e.Err }

// Store keeps chunks below a directory of a file system.
type Store struct {
	fs   afero.Fs
	root string

	mu      sync.Mutex
	readers map[digest.Digest]int // readers of each chunk
}

// Open makes the directories that are missing.
func Open(files afero.Fs, root string) (*Store, error) {
	s := &Store{fs: files, root: root, readers: map[digest.Digest]int{}}
	for _, dir := range []string{chunksDir, partialDir, manifestsDir, activeDir} {
		if err := files.MkdirAll(path.Join(root, dir), 0o755); err != nil {
			return nil, &DiskError{err}
		}
	}
	return s, nil
}

func (s *Store) path(dir string, d digest.Digest) string {
	return path.Join(s.root, dir, d.Encoded())
}

// Write stores a chunk's bytes from an offset on, as far as the source gives them. It tells
// how many the source gave, and how many are kept if the chunk isn't whole. The error is
// ErrDamaged, a DiskError, or the source's.
func (s *Store) Write(chunk distribution.Chunk, offset int64, source io.Reader) (received, kept int64, err error) {
	name := s.path(partialDir, chunk.Digest)
	file, err := s.fs.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return 0, 0, &DiskError{err}
	}
	defer file.Close()
	sum := chunk.Digest.Algorithm().Hash()
	if offset, err = resumePartial(file, offset, sum); err != nil {
		return 0, 0, &DiskError{err}
	}
	received, err = io.Copy(io.MultiWriter(diskWriter{file}, sum), io.LimitReader(source, chunk.Size-offset))
	kept = offset + received
	if err == nil && kept < chunk.Size {
		err = io.ErrUnexpectedEOF
	}
	var disk *DiskError
	if errors.As(err, &disk) {
		// What was written last may be cut short; its digest would tell, but late.
		_ = file.Truncate(offset)
		return received, offset, err
	}
	if err != nil {
		return received, kept, err
	}
	if digest.NewDigest(chunk.Digest.Algorithm(), sum) != chunk.Digest {
		if err := s.fs.Remove(name); err != nil {
			return received, 0, &DiskError{err}
		}
		return received, 0, ErrDamaged
	}
	if err := errors.Join(file.Sync(), durable.Rename(s.fs, name, s.path(chunksDir, chunk.Digest))); err != nil {
		return received, kept, &DiskError{err}
	}
	return received, 0, nil
}

// resume goes on behind the bytes that are kept, as far as they are there, and has them in
// the sum.
func resumePartial(file afero.File, offset int64, sum hash.Hash) (int64, error) {
	info, err := file.Stat()
	if err != nil {
		return 0, err
	}
	offset = min(offset, info.Size())
	if err := file.Truncate(offset); err != nil {
		return 0, err
	}
	if _, err := io.Copy(sum, io.NewSectionReader(file, 0, offset)); err != nil {
		return 0, err
	}
	_, err = file.Seek(offset, io.SeekStart)
	return offset, err
}

// diskWriter marks errors of writing as the disk's.
type diskWriter struct{ io.Writer }

func (w diskWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		err = &DiskError{err}
	}
	return n, err
}

// replace writes a small file in one step.
func (s *Store) replaceFile(name string, content []byte) error {
	if err := durable.Replace(s.fs, name, bytes.NewReader(content)); err != nil {
		return &DiskError{err}
	}
	return nil
}

// Remove deletes what is stored of a chunk, unless it is being read.
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

// Verify reads a stored chunk again. One that is damaged is removed; false says that it is gone.
func (s *Store) Verify(d digest.Digest) (sound bool, err error) {
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

// ChunkFile is a stored chunk that is being read. It isn't removed before it is closed.
type ChunkFile struct {
	afero.File
	Size    int64
	release func()
}

// Close lets the chunk be removed.
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
	return &ChunkFile{file, info.Size(), func() { once.Do(func() { s.releaseReader(d) }) }}, nil
}

func (s *Store) releaseReader(d digest.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers[d]--; s.readers[d] == 0 {
		delete(s.readers, d)
	}
}
