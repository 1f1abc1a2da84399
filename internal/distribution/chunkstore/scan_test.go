package chunkstore

import (
	"errors"
	"strings"
	"testing"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"
)

// After a restart, Scan finds complete chunks, partial chunks and manifests, and removes chunks
// whose files were damaged in the meantime.
func TestScanVerifies(t *testing.T) {
	files := afero.NewMemMapFs()
	s := openStore(t, files)
	m := putVersion(t, s, "one", "two", "three")
	if _, _, err := s.Write(chunkOf("0123456789"), 0, strings.NewReader("0123")); err == nil {
		t.Fatal("a partial chunk counts as complete")
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
		t.Errorf("the damaged chunk is still stored: %v", err)
	}
}

// Each session number is higher than the last one and not below the minimum.
func TestSessionNumbersIncrease(t *testing.T) {
	files := afero.NewMemMapFs()
	last := int64(0)
	for _, minimum := range []int64{100, 50, 1000, 0} {
		session, err := openStore(t, files).NextSession(minimum)
		if err != nil || session <= last || session < minimum {
			t.Errorf("%d after %d: %v", session, last, err)
		}
		last = session
	}
}
