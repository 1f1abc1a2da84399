package chunkstore

import (
	"errors"
	"hash"
	"io"
	"os"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
	"oakpick/internal/durable"
)

// Write reads a chunk's bytes from a source and stores them, starting at an offset. It returns how
// many bytes it received, and how many bytes of an incomplete chunk are kept. The error is
// ErrDamaged, a DiskError, or the source's error.
func (s *Store) Write(chunk distribution.Chunk, offset int64, source io.Reader) (received, kept int64, err error) {
	name := s.path(partialDir, chunk.Digest)
	file, err := s.fs.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return 0, 0, &DiskError{err}
	}
	defer file.Close() //nolint:errcheck // a complete chunk was synced, and a partial one is verified when it is completed
	sum := chunk.Digest.Algorithm().Hash()
	if offset, err = resumePartial(file, offset, sum); err != nil {
		return 0, 0, &DiskError{err}
	}
	received, kept, err = appendFrom(file, sum, source, chunk.Size, offset)
	if err != nil {
		return received, kept, err
	}
	kept, err = s.commitPartial(chunk, name, file, sum, kept)
	return received, kept, err
}

// resumePartial prepares a partial file for appending at an offset, or at the file's end if that
// comes first, and adds the bytes before that position to the hash. It returns the position.
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

// appendFrom copies the rest of a chunk from its source to the partial file and to the hash. It
// returns how many bytes it received and how many bytes the file then contains.
func appendFrom(file afero.File, sum hash.Hash, source io.Reader, size, offset int64) (received, kept int64, err error) {
	received, err = io.Copy(io.MultiWriter(diskWriter{file}, sum), io.LimitReader(source, size-offset))
	kept = offset + received
	if err == nil && kept < size {
		err = io.ErrUnexpectedEOF
	}
	var diskErr *DiskError
	if errors.As(err, &diskErr) {
		// The last write may be incomplete. The digest would show that only after the rest of the
		// chunk was fetched, so all bytes of this call are discarded. If truncating fails too, the
		// digest still reveals the damage when the chunk is completed.
		_ = file.Truncate(offset)
		kept = offset
	}
	return received, kept, err
}

// commitPartial verifies a partial file that has all bytes and moves it to the stored chunks. It
// returns how many bytes are kept if that fails.
func (s *Store) commitPartial(chunk distribution.Chunk, name string, file afero.File, sum hash.Hash, size int64) (kept int64, err error) {
	if digest.NewDigest(chunk.Digest.Algorithm(), sum) != chunk.Digest {
		if err := s.fs.Remove(name); err != nil {
			return 0, &DiskError{err}
		}
		return 0, ErrDamaged
	}
	if err := errors.Join(file.Sync(), durable.Rename(s.fs, name, s.path(chunksDir, chunk.Digest))); err != nil {
		return size, &DiskError{err}
	}
	return 0, nil
}

// diskWriter wraps errors of its writer in DiskError, to distinguish them from the source's errors.
type diskWriter struct{ io.Writer }

// Write writes to the underlying writer and wraps an error in a DiskError.
func (w diskWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil {
		err = &DiskError{err}
	}
	return n, err
}
