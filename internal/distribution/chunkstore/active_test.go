package chunkstore

import (
	"errors"
	"io"
	"testing"

	"github.com/spf13/afero"

	"oakpick/internal/distribution"
)

// failingRenames is a file system whose renames fail after a number of successful ones, as if the
// process had ended.
type failingRenames struct {
	afero.Fs
	remaining int // renames that still succeed
}

var errProcessEnded = errors.New("the process has ended")

// Rename renames a file if remaining allows it, and fails otherwise.
func (f *failingRenames) Rename(from, to string) error {
	if f.remaining--; f.remaining < 0 {
		return errProcessEnded
	}
	return f.Fs.Rename(from, to)
}

// If the process ends during an activation, the old version is active before the rename and the
// new version after it. A mixture is never served.
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
		defer r.Close() //nolint:errcheck // opened for reading only
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

// A version with a missing or truncated chunk can't be activated.
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
