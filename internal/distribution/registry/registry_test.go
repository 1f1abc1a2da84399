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

// testContent calls a hook when a blob is opened, and claims to hold only the first chunk of
// every manifest.
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

// startServer serves content with a number of upload slots and returns the server's address.
func startServer(t *testing.T, m *testContent, slots int) (address string) {
	t.Helper()
	server := httptest.NewServer(&Handler{Content: m, Slots: NewSlots(slots), RetryAfter: 3 * time.Second})
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newTestContent returns content with a single version, tagged v1, and the only chunk of that
// version.
func newTestContent(t *testing.T) (*testContent, distribution.Chunk) {
	t.Helper()
	m := NewMemoryContent()
	manifest, err := m.Publish([][]byte{[]byte("0123456789")}, "v1")
	if err != nil {
		t.Fatal(err)
	}
	return &testContent{MemoryContent: m, manifest: manifest}, manifest.Chunks[0]
}

// fetchBlob fetches a chunk, starting at an offset.
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

// Chunks can be fetched from any offset, and manifests by digest and by tag.
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
		t.Error("an unknown tag was resolved")
	}
}

// A source never serves more uploads at a time than it has slots, regardless of who holds a lease.
// It refuses further requests with a Retry-After header. A slot is free again when its upload ends.
func TestSlotsAreNeverExceeded(t *testing.T) {
	m, c := newTestContent(t)
	const slots = 2
	opened, release := make(chan struct{}, 16), make(chan struct{})
	m.onOpen = func() { opened <- struct{}{}; <-release }
	address := startServer(t, m, slots)
	done := make(chan FetchResult)
	for range slots {
		go func() {
			_, f := fetchBlob(t, address, m.manifest, c, 0)
			done <- f
		}()
	}
	for range slots {
		<-opened
	}
	for range 10 {
		if _, f := fetchBlob(t, address, m.manifest, c, 0); f.Fault != distribution.FaultBusy || f.RetryAfter != 3*time.Second {
			t.Errorf("%+v", f)
		}
	}
	if len(opened) != 0 {
		t.Error("more concurrent uploads than slots")
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

// request sends a request and returns the status and body of the response. It sets the header
// unless the header's name is empty.
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

// Invalid requests are refused with a message that names the problem, and valid ones are served.
func TestInvalidRequestsAreRefused(t *testing.T) {
	m, c := newTestContent(t)
	address := startServer(t, m, 4)
	blobPath := "/v2/models/a/blobs/" + c.Digest.String()
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
		{"PUT", blobPath, "", "", 405, "read side"},
		{"DELETE", "/v2/models/a/manifests/v1", "", "", 405, "read side"},
		{"GET", blobPath, "Range", "bytes=99-", 416, ""},
		{"GET", blobPath, "Range", "bytes=9-1", 416, ""},
		{"GET", blobPath, "Range", "lines=1-2", 416, ""},
		{"GET", blobPath, distribution.HeaderManifest, "x", 400, distribution.HeaderManifest},
		{"GET", "/v2/", "", "", 200, ""},
		{"HEAD", blobPath, "", "", 200, ""},
		{"GET", blobPath, "Range", "bytes=0-1", 206, "01"},
	} {
		t.Run(test.method+" "+test.path+" "+test.value, func(t *testing.T) {
			status, body := request(t, test.method, "http://"+address+test.path, test.header, test.value)
			if status != test.status || !strings.Contains(body, test.wantText) {
				t.Errorf("%d %s", status, body)
			}
		})
	}
}

// faultCase is the response of a source to a request for a chunk, starting at an offset, and the
// fault that the client has to report.
type faultCase struct {
	handler http.HandlerFunc
	offset  int64
	fault   distribution.Fault
}

// respondWithStatus returns a handler that sends a status without a body.
func respondWithStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// faultCases returns the ways in which a source can fail to serve a chunk of ten bytes.
func faultCases() map[string]faultCase {
	const size = "10"
	return map[string]faultCase{
		"never responds": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0, distribution.FaultSlow},
		"stalls": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", size)
			_, _ = w.Write([]byte("012"))
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, 0, distribution.FaultSlow},
		"closes the connection early": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", size)
			_, _ = w.Write([]byte("012"))
		}, 0, distribution.FaultUnreachable},
		"sends too few bytes": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("012")) }, 0, distribution.FaultDamaged},
		"ignores the range": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("0123456789")) }, 4,
			distribution.FaultDamaged},
		"sends another range": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Range", "bytes 0-5/10")
			w.WriteHeader(http.StatusPartialContent)
		}, 4, distribution.FaultDamaged},
		"range not satisfiable": {respondWithStatus(416), 4, distribution.FaultDamaged},
		"chunk not found":       {respondWithStatus(404), 0, distribution.FaultMissing},
		"busy":                  {respondWithStatus(503), 0, distribution.FaultBusy},
		"internal error":        {respondWithStatus(500), 0, distribution.FaultUnreachable},
	}
}

// The client distinguishes the failures of a source: it hangs, closes the connection early, has too
// few bytes, or sends another range than the requested one.
func TestFaultsAreDistinguished(t *testing.T) {
	m, c := newTestContent(t)
	for name, test := range faultCases() {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			_, f := fetchBlob(t, strings.TrimPrefix(server.URL, "http://"), m.manifest, c, test.offset)
			if f.Fault != test.fault {
				t.Errorf("%q, not %q", f.Fault, test.fault)
			}
		})
	}
	if _, f := fetchBlob(t, "127.0.0.1:1", m.manifest, c, 0); f.Fault != distribution.FaultUnreachable {
		t.Errorf("connection refused: %q", f.Fault)
	}
}

// The client refuses a manifest that is too long or doesn't have the requested digest.
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
