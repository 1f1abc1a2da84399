package chunkstore

import (
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"testing"

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

// putVersion stores chunks with the given contents and a manifest of them.
func putVersion(t *testing.T, s *Store, contents ...string) *distribution.Manifest {
	t.Helper()
	var list []distribution.Chunk
	for _, content := range contents {
		list = append(list, putChunk(t, s, content))
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

// A chunk isn't removed while it is uploaded or read as part of a version.
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
	requireRemoved := func(want bool) {
		t.Helper()
		if removed, err := s.Remove(m.Chunks[0].Digest); removed != want || err != nil {
			t.Errorf("removed %v, %v", removed, err)
		}
	}
	requireRemoved(false)
	if err := upload.Close(); err != nil {
		t.Error(err)
	}
	_ = upload.Close() // a second Close must not release another reader
	requireRemoved(false)
	if err := reader.Close(); err != nil {
		t.Error(err)
	}
	requireRemoved(true)
}

// Chunks, manifests and the active version are written and read back on a real disk.
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
	defer r.Close() //nolint:errcheck // opened for reading only
	if got, err := io.ReadAll(r); err != nil || !bytes.Equal(got, []byte(strings.Repeat("one", 1000)+"two")) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, err := files.Stat("/w/partial/" + m.Chunks[0].Digest.Encoded()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the partial chunk is still there: %v", err)
	}
}
