package durable

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/spf13/afero"
)

func content(t *testing.T, files afero.Fs, name string) string {
	t.Helper()
	text, err := afero.ReadFile(files, name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestReplaceLeavesOnlyTheNewContent(t *testing.T) {
	files := afero.NewMemMapFs()
	for _, text := range []string{"old", "new"} {
		if err := Replace(files, "/dir/name", strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	if got := content(t, files, "/dir/name"); got != "new" {
		t.Errorf("content %q, want new", got)
	}
	if left, err := afero.Exists(files, "/dir/name"+TemporarySuffix); left || err != nil {
		t.Errorf("temporary file is left: %t, %v", left, err)
	}
}

func TestFailedReplaceKeepsTheOldContent(t *testing.T) {
	files := afero.NewMemMapFs()
	if err := Replace(files, "/dir/name", strings.NewReader("old")); err != nil {
		t.Fatal(err)
	}
	failure := errors.New("connection lost")
	if err := Replace(files, "/dir/name", iotest.ErrReader(failure)); !errors.Is(err, failure) {
		t.Errorf("error %v, want %v", err, failure)
	}
	if got := content(t, files, "/dir/name"); got != "old" {
		t.Errorf("content %q, want old", got)
	}
}

func TestWriteReturnsTheSize(t *testing.T) {
	files := afero.NewMemMapFs()
	size, err := Write(files, "/name", strings.NewReader("12345"))
	if err != nil || size != 5 {
		t.Errorf("size %d, error %v, want 5", size, err)
	}
}
