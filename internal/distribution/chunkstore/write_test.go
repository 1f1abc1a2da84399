package chunkstore

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/spf13/afero"
)

// If the source fails, the received bytes are kept as a partial chunk. A later call continues from
// there, also with another source. The chunk counts as stored only once it is complete and matches
// its digest.
func TestInterruptedChunkIsResumed(t *testing.T) {
	s := openStore(t, afero.NewMemMapFs())
	content := "0123456789"
	c := chunkOf(content)
	broken := errors.New("the connection broke")
	received, kept, err := s.Write(c, 0, io.MultiReader(strings.NewReader(content[:4]), iotest.ErrReader(broken)))
	if received != 4 || kept != 4 || !errors.Is(err, broken) {
		t.Fatalf("%d received, %d kept, %v", received, kept, err)
	}
	if _, err := s.OpenChunk(c.Digest); !errors.Is(err, ErrNotStored) {
		t.Errorf("a partial chunk counts as stored: %v", err)
	}
	received, kept, err = s.Write(c, 4, strings.NewReader(content[4:7]))
	if received != 3 || kept != 7 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("%d received, %d kept, %v", received, kept, err)
	}
	if _, kept, err = s.Write(c, 7, strings.NewReader(content[7:]+"and more")); kept != 0 || err != nil {
		t.Fatalf("%d kept, %v", kept, err)
	}
	file, err := s.OpenChunk(c.Digest)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close() //nolint:errcheck // opened for reading only
	if got, err := io.ReadAll(file); err != nil || string(got) != content || file.Size != int64(len(content)) {
		t.Errorf("%q %v", got, err)
	}
}

// If a partial chunk is shorter than the offset, because the process ended before all bytes were
// on disk, the new bytes are written at the end of the file. The digest reveals a gap.
func TestTruncatedPartialChunkIsResumedAtItsEnd(t *testing.T) {
	files := afero.NewMemMapFs()
	s := openStore(t, files)
	c := chunkOf("0123456789")
	if _, _, err := s.Write(c, 0, strings.NewReader("0123")); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
	if _, kept, err := s.Write(c, 7, strings.NewReader("789")); kept == 0 && err == nil {
		t.Error("a chunk with a gap counts as complete")
	}
	if _, _, err := s.Write(c, 0, strings.NewReader("0123456789")); err != nil {
		t.Error(err)
	}
}

// Bytes that don't match the digest are discarded and never count as stored.
func TestDamagedBytesAreDiscarded(t *testing.T) {
	files := afero.NewMemMapFs()
	s := openStore(t, files)
	c := chunkOf("0123456789")
	if _, kept, err := s.Write(c, 0, strings.NewReader("012345678X")); kept != 0 || !errors.Is(err, ErrDamaged) {
		t.Fatalf("%d kept, %v", kept, err)
	}
	found, err := s.Scan()
	if err != nil || len(found.Chunks) != 0 || len(found.Partial) != 0 {
		t.Errorf("%+v %v", found, err)
	}
}

// Errors of the disk can be distinguished from errors of the source.
func TestDiskErrorsAreDistinguished(t *testing.T) {
	s := openStore(t, &failingRenames{afero.NewMemMapFs(), 0})
	var diskErr *DiskError
	if _, _, err := s.Write(chunkOf("one"), 0, strings.NewReader("one")); !errors.As(err, &diskErr) {
		t.Errorf("write: %v", err)
	}
	if _, err := s.NextSession(1); !errors.As(err, &diskErr) {
		t.Errorf("session: %v", err)
	}
	if _, err := Open(afero.NewReadOnlyFs(afero.NewMemMapFs()), "/w"); !errors.As(err, &diskErr) {
		t.Errorf("open: %v", err)
	}
}
