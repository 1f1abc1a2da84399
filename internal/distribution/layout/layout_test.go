package layout

import (
	"bytes"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/spf13/afero"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/registry"
)

// createLayout creates a layout in the directory /store.
func createLayout(t *testing.T, files afero.Fs) *Layout {
	t.Helper()
	l, err := Create(files, "/store")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// packString packs a string into chunks of four bytes.
func packString(t *testing.T, l *Layout, content, tag string) *distribution.Manifest {
	t.Helper()
	m, err := l.Pack(strings.NewReader(content), 4, tag)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Packed versions can be read by tag and by digest, the last chunk has the remaining bytes, and
// chunks that two versions share are stored once.
func TestPackedVersionsAreReadBack(t *testing.T) {
	files := afero.NewMemMapFs()
	l := createLayout(t, files)
	first := packString(t, l, "aaaabbbbcc", "v1")
	second := packString(t, l, "aaaabbbbdddd", "v2")
	if len(first.Chunks) != 3 || first.Chunks[2].Size != 2 || first.Chunks[1] != second.Chunks[1] {
		t.Errorf("unexpected chunks: %+v and %+v", first.Chunks, second.Chunks)
	}
	again, err := Open(files, "/store")
	if err != nil {
		t.Fatal(err)
	}
	for reference, want := range map[string]*distribution.Manifest{"v1": first, "v2": second, first.Digest.String(): first} {
		if raw, d, err := again.Manifest("", reference); err != nil || d != want.Digest || !bytes.Equal(raw, want.Raw) {
			t.Errorf("%s refers to %s, want %s: %v", reference, d, want.Digest, err)
		}
	}
	packString(t, l, "eeee", "v1")
	if tags, err := l.Tags(); err != nil || len(tags) != 2 || tags["v1"] == first.Digest {
		t.Errorf("unexpected tags after v1 was set again: %v, error %v", tags, err)
	}
	if err := l.Check(); err != nil {
		t.Error(err)
	}
	blobs, err := afero.ReadDir(files, "/store/blobs/sha256")
	if err != nil || len(blobs) != 5+3+1 { // chunks, manifests, the empty configuration
		t.Errorf("unexpected number of blobs: %d, error %v", len(blobs), err)
	}
}

// Check names every chunk that is damaged or missing.
func TestCheckNamesDamage(t *testing.T) {
	files := afero.NewMemMapFs()
	l := createLayout(t, files)
	m := packString(t, l, "aaaabbbbcc", "v1")
	if err := afero.WriteFile(files, l.blobPath(m.Chunks[0].Digest), []byte("aaab"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := files.Remove(l.blobPath(m.Chunks[2].Digest)); err != nil {
		t.Fatal(err)
	}
	err := l.Check()
	for i, wantNamed := range []bool{true, false, true} {
		if named := err != nil && strings.Contains(err.Error(), m.Chunks[i].Digest.String()); named != wantNamed {
			t.Errorf("chunk %d: named is %v in the error %v", i, named, err)
		}
	}
}

// A read error while a version is being packed leaves the tag unchanged.
func TestFailedPackKeepsTag(t *testing.T) {
	l := createLayout(t, afero.NewMemMapFs())
	m := packString(t, l, "aaaabbbb", "v1")
	readErr := errors.New("the file can't be read")
	if _, err := l.Pack(io.MultiReader(strings.NewReader("ccccdd"), iotest.ErrReader(readErr)), 4, "v1"); !errors.Is(err, readErr) {
		t.Errorf("unexpected error: %v", err)
	}
	if tags, err := l.Tags(); err != nil || tags["v1"] != m.Digest {
		t.Errorf("unexpected tags: %v, error %v", tags, err)
	}
	if err := l.Check(); err != nil {
		t.Error(err)
	}
}

// Invalid arguments are refused with an error that names the field. Directories without a layout of
// the supported version are not opened.
func TestInvalidArgumentsAreRefused(t *testing.T) {
	l := createLayout(t, afero.NewMemMapFs())
	for field, pack := range map[string]func() error{
		"tag":        func() error { _, err := l.Pack(strings.NewReader("a"), 4, "a/b"); return err },
		"chunk size": func() error { _, err := l.Pack(strings.NewReader("a"), 0, "v1"); return err },
		"layers":     func() error { _, err := l.Pack(strings.NewReader(""), 4, "v1"); return err },
	} {
		t.Run(field, func(t *testing.T) {
			var problem *distribution.FieldError
			if err := pack(); !errors.As(err, &problem) || problem.Field != field {
				t.Errorf("got error %v, want one for the field %s", err, field)
			}
		})
	}
	if _, err := Open(afero.NewMemMapFs(), "/nowhere"); err == nil {
		t.Error("a missing directory is opened as a layout")
	}
	other := afero.NewMemMapFs()
	if err := afero.WriteFile(other, "/store/oci-layout", []byte(`{"imageLayoutVersion":"9"}`), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Create(other, "/store"); err == nil {
		t.Error("a layout with an unsupported version is opened")
	}
}

// An agent's client resolves a tag and fetches all chunks from a layout on a real disk.
func TestLayoutIsServedToAgents(t *testing.T) {
	l, err := Create(afero.NewOsFs(), t.TempDir()+"/store")
	if err != nil {
		t.Fatal(err)
	}
	m := packString(t, l, "aaaabbbbcc", "v1")
	server := httptest.NewServer(&registry.Handler{Content: l, Slots: registry.NewSlots(1)})
	defer server.Close()
	client := registry.NewClient(5*time.Second, nil, nil)
	defer client.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	got, err := client.Resolve(t.Context(), address, "models/a", "v1")
	if err != nil || got.Digest != m.Digest {
		t.Fatalf("unexpected manifest or error: %v", err)
	}
	var received []byte
	for _, c := range m.Chunks {
		fetched := client.Blob(t.Context(), registry.BlobRequest{
			Address: address, Name: "models/a", Manifest: m.Digest, Chunk: c, StallTimeout: 5 * time.Second, Timeout: 5 * time.Second,
		}, func(r io.Reader) {
			content, err := io.ReadAll(r)
			if err != nil {
				t.Error(err)
			}
			received = append(received, content...)
		})
		if fetched.Fault != "" {
			t.Errorf("unexpected fault: %+v", fetched)
		}
	}
	if string(received) != "aaaabbbbcc" {
		t.Errorf("unexpected content: %q", received)
	}
}
