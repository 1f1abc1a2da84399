package registry

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// testContent is content that calls a hook when a blob is opened, and claims to hold one chunk.
type testContent struct {
	*MemoryContent
	manifest *distribution.Manifest
	onOpen   func()
}

func (w *testContent) Blob(name string, d digest.Digest) (Blob, error) {
	if w.onOpen != nil {
		w.onOpen()
	}
	return w.MemoryContent.Blob(name, d)
}

func (*testContent) Chunks(digest.Digest) distribution.ChunkSet { return distribution.ChunkSet{1} }

// startServer serves content and returns the address.
func startServer(t *testing.T, m *testContent, slots int) (address string) {
	t.Helper()
	server := httptest.NewServer(&Handler{Content: m, Slots: NewSlots(slots), RetryAfter: 3 * time.Second})
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newTestContent returns content of one version of one chunk, tagged v1, with the chunk.
func newTestContent(t *testing.T) (*testContent, distribution.Chunk) {
	t.Helper()
	m := NewMemoryContent()
	manifest, err := m.Publish([][]byte{[]byte("0123456789")}, "v1")
	if err != nil {
		t.Fatal(err)
	}
	return &testContent{MemoryContent: m, manifest: manifest}, manifest.Chunks[0]
}

// fetchBlob fetches a chunk from an offset on.
func fetchBlob(t *testing.T, address string, m *distribution.Manifest, c distribution.Chunk, offset int64) ([]byte, FetchResult) {
	t.Helper()
	client := NewClient(5*time.Second, nil, nil)
	defer client.Close()
	var got []byte
	f := client.Blob(t.Context(), BlobRequest{
		Address: address, Name: "models/a", Manifest: m.Digest, Chunk: c, Offset: offset, StallTimeout: 300 * time.Millisecond, Timeout: time.Hour,
	}, func(r io.Reader) { got, _ = io.ReadAll(r) }) // the fault tells whether the read failed
	return got, f
}

// Chunks are fetched from any offset on, and manifests by digest and by tag.
func TestChunksAreFetchedFromAnyOffset(t *testing.T) {
	m, c := newTestContent(t)
	address := startServer(t, m, 1)
	for offset := range int64(10) {
		got, f := fetchBlob(t, address, m.manifest, c, offset)
		if f.Fault != "" || string(got) != "0123456789"[offset:] || !f.Chunks.Has(0) {
			t.Errorf("from %d: %q %+v", offset, got, f)
		}
	}
	client := NewClient(5*time.Second, nil, nil)
	defer client.Close()
	if got, f := client.Manifest(t.Context(), address, "models/a", m.manifest.Digest); f.Fault != "" || got.Size != 10 {
		t.Errorf("%+v", f)
	}
	if f := client.Chunks(t.Context(), address, "models/a", m.manifest.Digest); f.Fault != "" || !f.Chunks.Has(0) {
		t.Errorf("%+v", f)
	}
	if got, err := client.Resolve(t.Context(), address, "models/a", "v1"); err != nil || got.Digest != m.manifest.Digest {
		t.Errorf("%v", err)
	}
	if _, err := client.Resolve(t.Context(), address, "models/a", "v2"); err == nil {
		t.Error("an unknown tag has a manifest")
	}
}

// A source admits no more uploads than it has slots, whoever holds which lease. Others are told
// when to ask again. A slot is free again when its upload ends.
func TestSlotsAreNeverExceeded(t *testing.T) {
	m, c := newTestContent(t)
	const slots = 2
	inside, release := make(chan struct{}, 16), make(chan struct{})
	m.onOpen = func() { inside <- struct{}{}; <-release }
	address := startServer(t, m, slots)
	done := make(chan FetchResult)
	for range slots {
		go func() {
			_, f := fetchBlob(t, address, m.manifest, c, 0)
			done <- f
		}()
	}
	for range slots {
		<-inside
	}
	for range 10 {
		if _, f := fetchBlob(t, address, m.manifest, c, 0); f.Fault != distribution.FaultBusy || f.RetryAfter != 3*time.Second {
			t.Errorf("%+v", f)
		}
	}
	if len(inside) != 0 {
		t.Error("more uploads than slots")
	}
	close(release)
	for range slots {
		if f := <-done; f.Fault != "" && f.Fault != distribution.FaultSlow {
			t.Errorf("%+v", f)
		}
	}
	if _, f := fetchBlob(t, address, m.manifest, c, 0); f.Fault != "" {
		t.Errorf("%+v", f)
	}
}

// request sends a request, with a header unless that is empty, and returns the answer.
func request(t *testing.T, method, url, header, value string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if header != "" {
		req.Header.Set(header, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(text)
}

// Invalid requests are refused with what is wrong with them, and valid ones are answered.
func TestInvalidRequestsAreRefused(t *testing.T) {
	m, c := newTestContent(t)
	address := startServer(t, m, 4)
	good := "/v2/models/a/blobs/" + c.Digest.String()
	unknown := digest.FromString("other").String()
	for _, test := range []struct {
		method, path, header, value string
		status                      int
		wantText                    string
	}{
		{"GET", "/v2/Models/a/blobs/" + c.Digest.String(), "", "", 400, "name"},
		{"GET", "/v2/models/a/blobs/sha256:zz", "", "", 400, "digest"},
		{"GET", "/v2/models/a/blobs/..%2f..%2fetc", "", "", 400, "digest"},
		{"GET", "/v2/models/a/blobs/" + unknown, "", "", 404, "blob"},
		{"GET", "/v2/models/a/manifests/" + unknown, "", "", 404, "manifest"},
		{"GET", "/v2/models/a/manifests/!", "", "", 400, "reference"},
		{"GET", "/v2/models/a/tags/list", "", "", 404, "path"},
		{"PUT", good, "", "", 405, "read side"},
		{"DELETE", "/v2/models/a/manifests/v1", "", "", 405, "read side"},
		{"GET", good, "Range", "bytes=99-", 416, ""},
		{"GET", good, "Range", "bytes=9-1", 416, ""},
		{"GET", good, "Range", "lines=1-2", 416, ""},
		{"GET", good, distribution.ManifestHeader, "x", 400, distribution.ManifestHeader},
		{"GET", "/v2/", "", "", 200, ""},
		{"HEAD", good, "", "", 200, ""},
		{"GET", good, "Range", "bytes=0-1", 206, "01"},
	} {
		t.Run(test.method+" "+test.path+" "+test.value, func(t *testing.T) {
			status, body := request(t, test.method, "http://"+address+test.path, test.header, test.value)
			if status != test.status || !strings.Contains(body, test.wantText) {
				t.Errorf("%d %s", status, body)
			}
		})
	}
}

// faultCase is an answer of a source to a request from an offset on, and the fault that it means.
type faultCase struct {
	answer http.HandlerFunc
	offset int64
	fault  distribution.Fault
}

// answerStatus answers with a status and nothing else.
func answerStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// faultCases are the faults of a source of a chunk of ten bytes.
func faultCases() map[string]faultCase {
	const size = "10"
	return map[string]faultCase{
		"never answers": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0, distribution.FaultSlow},
		"stalls": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", size)
			_, _ = w.Write([]byte("012"))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, 0, distribution.FaultSlow},
		"breaks off": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", size)
			_, _ = w.Write([]byte("012"))
		}, 0, distribution.FaultUnreachable},
		"has fewer bytes": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("012")) }, 0, distribution.FaultDamaged},
		"ignores the range": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("0123456789")) }, 4,
			distribution.FaultDamaged},
		"another range": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Range", "bytes 0-5/10")
			w.WriteHeader(http.StatusPartialContent)
		}, 4, distribution.FaultDamaged},
		"the range is beyond its end": {answerStatus(416), 4, distribution.FaultDamaged},
		"has it not":                  {answerStatus(404), 0, distribution.FaultMissing},
		"is busy":                     {answerStatus(503), 0, distribution.FaultBusy},
		"fails":                       {answerStatus(500), 0, distribution.FaultUnreachable},
	}
}

// The faults of a source are distinguished: it hangs, breaks off, has too few bytes, or answers
// another range than was asked for.
func TestFaultsAreDistinguished(t *testing.T) {
	m, c := newTestContent(t)
	for name, test := range faultCases() {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.answer)
			defer server.Close()
			_, f := fetchBlob(t, strings.TrimPrefix(server.URL, "http://"), m.manifest, c, test.offset)
			if f.Fault != test.fault {
				t.Errorf("%q, not %q", f.Fault, test.fault)
			}
		})
	}
	if _, f := fetchBlob(t, "127.0.0.1:1", m.manifest, c, 0); f.Fault != distribution.FaultUnreachable {
		t.Errorf("nobody there: %q", f.Fault)
	}
}

// A manifest that is too long, or has another digest than asked for, is refused.
func TestInvalidManifestsAreRefused(t *testing.T) {
	m, _ := newTestContent(t)
	client := NewClient(5*time.Second, nil, nil)
	defer client.Close()
	for name, body := range map[string][]byte{
		"too long":       bytes.Repeat([]byte(" "), distribution.MaxManifestBytes*2),
		"another digest": []byte(`{"schemaVersion":2}`),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(body) // the client may stop reading
			}))
			defer server.Close()
			_, result := client.Manifest(t.Context(), strings.TrimPrefix(server.URL, "http://"), "a", m.manifest.Digest)
			if result.Fault != distribution.FaultDamaged {
				t.Errorf("%+v", result)
			}
		})
	}
}
