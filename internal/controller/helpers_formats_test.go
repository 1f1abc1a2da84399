package controller_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"maps"
	"os"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// storedValue is a value that an earlier version stored, or a message that it sent.
type storedValue struct {
	Key   string `json:"key"`
	Value string `json:"value"` // base64
}

// goldenValues reads a file of testdata, whose README describes the files. It returns the values by
// key.
func goldenValues(t *testing.T, file string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("../../testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	var list []storedValue
	if err := json.Unmarshal(text, &list); err != nil {
		t.Fatal(err)
	}
	out := map[string][]byte{}
	for _, g := range list {
		if out[g.Key], err = base64.StdEncoding.DecodeString(g.Value); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// goldenPages returns the pages among the values of a testdata file.
func goldenPages(t *testing.T, file string) map[string][]byte {
	t.Helper()
	return onlyPages(goldenValues(t, file))
}

// pagesOf returns the pages in the state service of a world.
func pagesOf(w *fake.World) map[string][]byte { return onlyPages(w.State.Values()) }

// onlyPages removes all values but record pages from the map, and returns the map.
func onlyPages(values map[string][]byte) map[string][]byte {
	maps.DeleteFunc(values, func(key string, _ []byte) bool { return !strings.HasPrefix(key, storage.PagePrefix) })
	return values
}

const (
	productionFile = "production/values.json"
	pipelinesFile  = "pipelines/values.json"
	pageSplitFile  = "pipelines/dividing.json"
)

// recordKinds counts the records of a page by kind.
func recordKinds(t *testing.T, value []byte) map[string]int {
	t.Helper()
	var page storage.PageValue
	if err := protocol.Decode(value, &page); err != nil {
		t.Fatal(err)
	}
	return map[string]int{
		"jobs": len(page.Jobs), "blocks": len(page.Blocks), "terminal": len(page.Terminal), "provisioning": len(page.Provisioning),
		"options": len(page.Options), "extensions": len(page.Extensions),
		"prerequisites": len(page.Prerequisites),
	}
}

// recordedJobs returns the jobs on pages: the unfinished ones as submissions with only an ID, a kind
// and a number of tasks, and the statuses of the done and cancelled ones, both by job ID.
func recordedJobs(t *testing.T, pages map[string][]byte) (unfinished map[string]protocol.Submission, finished map[string]string) {
	t.Helper()
	unfinished, finished = map[string]protocol.Submission{}, map[string]string{}
	for _, value := range pages {
		var page storage.PageValue
		if err := protocol.Decode(value, &page); err != nil {
			t.Fatal(err)
		}
		for _, r := range page.Jobs {
			unfinished[r.ID] = protocol.Submission{ID: r.ID, Kind: r.Kind, Tasks: r.Tasks}
		}
		for _, r := range page.Terminal {
			finished[r.ID] = protocol.StatusDone
			if r.Cancelled {
				finished[r.ID] = protocol.StatusCancelled
			}
		}
	}
	for id := range finished {
		delete(unfinished, id)
	}
	return unfinished, finished
}

// newWorldFromPages makes a world whose state service holds the pages of an earlier version.
func newWorldFromPages(pages map[string][]byte) *fake.World {
	s := fake.Settings()
	s.State.ValueKB, s.State.TxnOps = 8, 8
	s.State.Next = nextLimits(1, 3, 25)
	w := fake.NewWorld(s)
	w.State.Restore(pages)
	return w
}

// corruptedCopies returns copies of a page's value that are truncated, have a byte inverted, or have
// an invalid value in one of their fields.
func corruptedCopies(t *testing.T, value []byte) [][]byte {
	t.Helper()
	const cuts = 12
	out := [][]byte{{}, {0xc0}, {0x93, 1, 2, 3}}
	for i := range cuts {
		out = append(out, value[:len(value)*i/cuts])
		replaced := bytes.Clone(value)
		replaced[len(value)*i/cuts] ^= 0xff
		out = append(out, replaced)
	}
	var fields map[string]any
	if err := msgpack.Unmarshal(value, &fields); err != nil {
		t.Fatal(err)
	}
	invalidValues := []any{nil, true, "text", -1, []any{}, []any{nil}, []any{[]any{}}, []any{[]any{"wk-000001", -5, "wk-000001"}}, map[string]any{"a": 1}}
	for _, field := range []string{"id", "j", "b", "f", "r", "o", "x", "unknown"} {
		for _, v := range invalidValues {
			changed := maps.Clone(fields)
			changed[field] = v
			encoded, err := msgpack.Marshal(changed)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, encoded)
		}
	}
	return out
}
