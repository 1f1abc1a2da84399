package storage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// fakeStateService stores pages and enforces limits as a state service does.
type fakeStateService struct {
	t             *testing.T
	values        map[string][]byte
	versions      map[string]int64
	revision      int64 // revision of the last commit
	maxValueBytes int
	maxChanges    int // per transaction
}

// newFakeStateService returns a service that accepts values of 8 KiB and 8 changes per transaction.
func newFakeStateService(t *testing.T) *fakeStateService {
	t.Helper()
	return &fakeStateService{t: t, values: map[string][]byte{}, versions: map[string]int64{}, maxValueBytes: 8 << 10, maxChanges: 8}
}

// apply executes a transaction if its conditions hold and it is within the limits.
func (f *fakeStateService) apply(w *Write) rpc.Outcome {
	f.t.Helper()
	for _, c := range w.Txn.Then {
		if sizeInJSON(f.t, c.Value) > f.maxValueBytes || len(w.Txn.Then) > f.maxChanges {
			return rpc.Invalid
		}
	}
	for _, c := range w.Txn.If {
		if c.Key != term.Key && f.versions[c.Key] != c.Version {
			return rpc.Conflict
		}
	}
	f.revision++
	for _, c := range w.Txn.Then {
		f.values[c.Put], f.versions[c.Put] = protocol.Encode(c.Value), f.revision
	}
	return rpc.OK
}

func (f *fakeStateService) entries() []protocol.Entry {
	var entries []protocol.Entry
	for _, key := range slices.Sorted(maps.Keys(f.values)) {
		entries = append(entries, protocol.Entry{Key: key, Value: f.values[key], Version: f.versions[key]})
	}
	return entries
}

// readPages returns the pages as a new leader decodes them.
func (f *fakeStateService) readPages() []LoadedPage {
	f.t.Helper()
	pages, err := DecodePages(f.entries())
	if err != nil {
		f.t.Fatal(err)
	}
	return pages
}

// terminalRecords returns the number of tasks by job as a new leader reads it. It fails if
// a record is current on two pages.
func (f *fakeStateService) terminalRecords() map[string]int64 {
	f.t.Helper()
	tasks := map[string]int64{}
	for _, p := range f.readPages() {
		for _, r := range p.Value.Terminal {
			if _, ok := tasks[r.ID]; ok {
				f.t.Fatalf("%s is current on two pages", r.ID)
			}
			tasks[r.ID] = int64(r.Tasks)
		}
	}
	return tasks
}

// load returns the store of a new leader, and its items by name.
func (f *fakeStateService) load(limits Limits) (*Store, map[string]*countedItem) {
	f.t.Helper()
	s := NewStore(limits, fmt.Sprint("t", f.revision), retryInterval)
	items := map[string]*countedItem{}
	for _, p := range f.readPages() {
		s.Load(p.Number, p.Version)
		if p.Stale {
			s.MarkPageStale(0, p.Number)
		}
		for _, r := range p.Value.Terminal {
			items[r.ID] = &countedItem{r.ID, r.Tasks}
			s.Load(p.Number, p.Version, items[r.ID])
		}
	}
	return s, items
}

// checkValueSizes reports an error for each value that exceeds the limit.
func (f *fakeStateService) checkValueSizes() {
	f.t.Helper()
	for key, text := range f.values {
		var value any
		if err := protocol.Decode(text, &value); err != nil {
			f.t.Fatal(err)
		}
		if n := sizeInJSON(f.t, value); n > f.maxValueBytes {
			f.t.Errorf("%s still takes %d bytes", key, n)
		}
	}
}

// sizeInJSON returns the size of a value as the state service measures it: in JSON.
func sizeInJSON(t interface {
	Helper()
	Fatal(args ...any)
}, v any) int {
	t.Helper()
	var decoded any
	if err := protocol.Decode(protocol.Encode(v), &decoded); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}
