package chunkstore

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
)

func chunkOf(content string) distribution.Chunk {
	return distribution.Chunk{Digest: digest.FromString(content), Size: int64(len(content))}
}

func openStore(t *testing.T, files afero.Fs) *Store {
	t.Helper()
	s, err := Open(files, "/w")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func putChunk(t *testing.T, s *Store, content string) distribution.Chunk {
	t.Helper()
	c := chunkOf(content)
	if _, _, err := s.Write(c, 0, strings.NewReader(content)); err != nil {
		t.Fatal(err)
	}
	return c
}

// version stores a manifest of such chunks, and the chunks.
func putVersion(t *testing.T, s *Store, contents ...string) *distribution.Manifest {
	t.Helper()
	var list []distribution.Chunk
	for _, c := range contents {
		list = append(list, putChunk(t, s, c))
	}
	m, err := distribution.NewManifest(list)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.PutManifest(m); err != nil {
		t.Fatal(err)
	}
	return m
}

// A chunk whose source breaks off is kept in part and goes on from there, from another source
// too; it counts as stored only when it is whole and has its digest.
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
		t.Errorf("a part counts as a chunk: %v", err)
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
	defer file.Close()
	if got, err := io.ReadAll(file); err != nil || string(got) != content || file.Size != int64(len(content)) {
		t.Errorf("%q %v", got, err)
	}
}

// What is kept in part was cut short by the end of the process: the rest is written where the
// bytes really end, and the digest tells if that is wrong.
func TestTruncatedPartialChunkIsResumedAtItsEnd(t *testing.T) {
	files := afero.NewMemMapFs()
	s := openStore(t, files)
	c := chunkOf("0123456789")
	if _, _, err := s.Write(c, 0, strings.NewReader("0123")); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
	if _, kept, err := s.Write(c, 7, strings.NewReader("789")); kept == 0 && err == nil {
		t.Error("a chunk with a gap counts as whole")
	}
	if _, _, err := s.Write(c, 0, strings.NewReader("0123456789")); err != nil {
		t.Error(err)
	}
}

// Wrong bytes are thrown away and never count as stored.
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

// A restart finds what is whole, what is kept in part, the manifests, and removes chunks whose
// files were damaged meanwhile.
func TestScanVerifies(t *testing.T) {
	files := afero.NewMemMapFs()
	s := openStore(t, files)
	m := putVersion(t, s, "one", "two", "three")
	if _, _, err := s.Write(chunkOf("0123456789"), 0, strings.NewReader("0123")); err == nil {
		t.Fatal("a part counts as whole")
	}
	for name, content := range map[string]string{
		"/w/chunks/" + m.Chunks[1].Digest.Encoded(): "tw0", "/w/chunks/stranger": "x", "/w/manifests/" + digest.FromString("q").Encoded(): "not it",
	} {
		if err := afero.WriteFile(files, name, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	found, err := openStore(t, files).Scan()
	if err != nil {
		t.Fatal(err)
	}
	if len(found.Chunks) != 2 || len(found.Damaged) != 1 || found.Damaged[0] != m.Chunks[1].Digest || len(found.Partial) != 1 || len(found.Manifests) != 1 {
		t.Errorf("%+v", found)
	}
	if _, err := s.OpenChunk(m.Chunks[1].Digest); !errors.Is(err, ErrNotStored) {
		t.Errorf("the damaged chunk is still there: %v", err)
	}
}

// breaking fails the n-th rename and all that follows, as the end of the process does.
type failingRenames struct {
	afero.Fs
	remaining int
}

var errProcessEnded = errors.New("the process has ended")

func (b *failingRenames) Rename(from, to string) error {
	if b.remaining--; b.remaining < 0 {
		return errProcessEnded
	}
	return b.Fs.Rename(from, to)
}

// The process ends in the middle of activation: before the rename the old version is served,
// after it the new one, and never a mixture.
func TestActivationIsAtomic(t *testing.T) {
	files := afero.NewMemMapFs()
	s := openStore(t, files)
	first := putVersion(t, s, "one", "two")
	second := putVersion(t, s, "two", "three")
	if err := s.Activate("models/a", distribution.ActiveVersion{Manifest: first.Digest, Revision: 1}); err != nil {
		t.Fatal(err)
	}
	ends := &failingRenames{files, 0}
	if err := openStore(t, ends).Activate("models/a", distribution.ActiveVersion{Manifest: second.Digest, Revision: 2}); !errors.Is(err, errProcessEnded) {
		t.Fatal(err)
	}
	reads := func(want string, revision int64) {
		t.Helper()
		r, err := openStore(t, files).OpenActive("models/a")
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		if got, err := io.ReadAll(r); err != nil || string(got) != want || r.Revision != revision || r.Size != int64(len(want)) {
			t.Errorf("%q of revision %d, %v", got, r.Revision, err)
		}
	}
	reads("onetwo", 1)
	if err := s.Activate("models/a", distribution.ActiveVersion{Manifest: second.Digest, Revision: 2}); err != nil {
		t.Fatal(err)
	}
	reads("twothree", 2)
}

// A version of which a chunk is missing or cut short can't become active.
func TestIncompleteVersionIsNotActivated(t *testing.T) {
	files := afero.NewMemMapFs()
	s := openStore(t, files)
	m := putVersion(t, s, "one", "two")
	name := "/w/chunks/" + m.Chunks[1].Digest.Encoded()
	if err := afero.WriteFile(files, name, []byte("t"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := s.Activate("a", distribution.ActiveVersion{Manifest: m.Digest}); !errors.Is(err, ErrNotStored) {
		t.Errorf("with a chunk cut short: %v", err)
	}
	if err := files.Remove(name); err != nil {
		t.Fatal(err)
	}
	if err := s.Activate("a", distribution.ActiveVersion{Manifest: m.Digest}); !errors.Is(err, ErrNotStored) {
		t.Errorf("with a chunk missing: %v", err)
	}
	if _, err := s.OpenActive("a"); !errors.Is(err, ErrNotStored) {
		t.Errorf("%v", err)
	}
}

// A chunk that is being uploaded or read as part of a version isn't removed before that ends.
func TestChunksInUseAreNotRemoved(t *testing.T) {
	s := openStore(t, afero.NewMemMapFs())
	m := putVersion(t, s, "one", "two")
	if err := s.Activate("a", distribution.ActiveVersion{Manifest: m.Digest}); err != nil {
		t.Fatal(err)
	}
	upload, err := s.OpenChunk(m.Chunks[0].Digest)
	if err != nil {
		t.Fatal(err)
	}
	reader, err := s.OpenActive("a")
	if err != nil {
		t.Fatal(err)
	}
	try := func(want bool) {
		t.Helper()
		if removed, err := s.Remove(m.Chunks[0].Digest); removed != want || err != nil {
			t.Errorf("removed %v, %v", removed, err)
		}
	}
	try(false)
	if err := upload.Close(); err != nil {
		t.Error(err)
	}
	_ = upload.Close() // a second time frees nobody else's
	try(false)
	if err := reader.Close(); err != nil {
		t.Error(err)
	}
	try(true)
}

// A disk that takes no more is told from a source that breaks off, and what was whole before
// stays.
func TestDiskErrorsAreDistinguished(t *testing.T) {
	ends := &failingRenames{afero.NewMemMapFs(), 0}
	s := openStore(t, ends)
	var disk *DiskError
	if _, _, err := s.Write(chunkOf("one"), 0, strings.NewReader("one")); !errors.As(err, &disk) {
		t.Errorf("%v", err)
	}
	if _, err := s.NextSession(1); !errors.As(err, &disk) {
		t.Errorf("%v", err)
	}
	if _, err := Open(afero.NewReadOnlyFs(afero.NewMemMapFs()), "/w"); !errors.As(err, &disk) {
		t.Errorf("%v", err)
	}
}

func TestSessionsGrow(t *testing.T) {
	files := afero.NewMemMapFs()
	last := int64(0)
	for _, least := range []int64{100, 50, 1000, 0} {
		session, err := openStore(t, files).NextSession(least)
		if err != nil || session <= last || session < least {
			t.Errorf("%d after %d: %v", session, last, err)
		}
		last = session
	}
}

// The same on a real disk.
func TestStoreOnRealDisk(t *testing.T) {
	files := afero.NewBasePathFs(afero.NewOsFs(), t.TempDir())
	s := openStore(t, files)
	m := putVersion(t, s, strings.Repeat("one", 1000), "two")
	if err := s.Activate("models/a", distribution.ActiveVersion{Manifest: m.Digest, Revision: 7}); err != nil {
		t.Fatal(err)
	}
	found, err := openStore(t, files).Scan()
	if err != nil || len(found.Chunks) != 2 {
		t.Fatalf("%+v %v", found, err)
	}
	r, err := s.OpenActive("models/a")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if got, err := io.ReadAll(r); err != nil || !bytes.Equal(got, []byte(strings.Repeat("one", 1000)+"two")) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, err := files.Stat("/w/partial/" + m.Chunks[0].Digest.Encoded()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the part is still there: %v", err)
	}
}
