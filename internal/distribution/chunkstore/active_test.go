package chunkstore

import (
	"errors"
	"io"
	"testing"

	"github.com/spf13/afero"

	"oakpick/internal/distribution"
)

// failingRenames is a file system on which renames fail after some that succeed, as the end of
// the process makes them.
type failingRenames struct {
	afero.Fs
	remaining int // renames that succeed
}

var errProcessEnded = errors.New("the process has ended")

// Rename renames a file while some renames remain.
func (f *failingRenames) Rename(from, to string) error {
	if f.remaining--; f.remaining < 0 {
		return errProcessEnded
	}
	return f.Fs.Rename(from, to)
}

// The process ends during activation: before the rename the old version is served, after it the
// new one, and never a mixture.
func TestActivationIsAtomic(t *testing.T) {
	files := afero.NewMemMapFs()
	s := openStore(t, files)
	first := putVersion(t, s, "one", "two")
	second := putVersion(t, s, "two", "three")
	if err := s.Activate("models/a", distribution.ActiveVersion{Manifest: first.Digest, Revision: 1}); err != nil {
		t.Fatal(err)
	}
	failing := &failingRenames{files, 0}
	if err := openStore(t, failing).Activate("models/a", distribution.ActiveVersion{Manifest: second.Digest, Revision: 2}); !errors.Is(err, errProcessEnded) {
		t.Fatal(err)
	}
	requireServed := func(want string, revision int64) {
		t.Helper()
		r, err := openStore(t, files).OpenActive("models/a")
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close() //nolint:errcheck // it was only read
		if got, err := io.ReadAll(r); err != nil || string(got) != want || r.Revision != revision || r.Size != int64(len(want)) {
			t.Errorf("%q of revision %d, %v", got, r.Revision, err)
		}
	}
	requireServed("onetwo", 1)
	if err := s.Activate("models/a", distribution.ActiveVersion{Manifest: second.Digest, Revision: 2}); err != nil {
		t.Fatal(err)
	}
	requireServed("twothree", 2)
}

// A version of which a chunk is missing or truncated can't become active.
func TestIncompleteVersionIsNotActivated(t *testing.T) {
	files := afero.NewMemMapFs()
	s := openStore(t, files)
	m := putVersion(t, s, "one", "two")
	name := "/w/chunks/" + m.Chunks[1].Digest.Encoded()
	if err := afero.WriteFile(files, name, []byte("t"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := s.Activate("a", distribution.ActiveVersion{Manifest: m.Digest}); !errors.Is(err, ErrNotStored) {
		t.Errorf("with a truncated chunk: %v", err)
	}
	if err := files.Remove(name); err != nil {
		t.Fatal(err)
	}
	if err := s.Activate("a", distribution.ActiveVersion{Manifest: m.Digest}); !errors.Is(err, ErrNotStored) {
		t.Errorf("with a missing chunk: %v", err)
	}
	if _, err := s.OpenActive("a"); !errors.Is(err, ErrNotStored) {
		t.Errorf("without an active version: %v", err)
	}
}
