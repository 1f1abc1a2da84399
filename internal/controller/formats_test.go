package controller_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"maps"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/controller"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// The record types of the version in production (deploy/service.toml names its
// commit), as they were. They must not be changed with the sources: they stand for
// processes that run beside these, read what these write, and write it back.
type (
	productionStart struct {
		//lint:ignore U1000 read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Task    int
		Try     int64
		Host    string
		Session int64
	}
	productionJob struct {
		//lint:ignore U1000 read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		ID, Class, Team, Image, Zone string
		Shape                        uint8
		Priority                     uint8
		Tasks                        int
		CPUs, GPUs, MemoryGB         float64
		ImageGB                      float64
		AnyType                      bool
		Types                        []string
		OneZone, Spread, Spot        bool
		Estimate, SaveEach, SaveTime float64
		Deadline                     float64
		SubmittedMs                  int64
		Cancelled                    bool
		Try                          int64
		Full                         string
	}
	productionBlock struct {
		//lint:ignore U1000 read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Job    string
		Block  int
		Try    int64
		Done   string
		Starts []productionStart
	}
	productionFinal struct {
		//lint:ignore U1000 read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		ID        string
		Cancelled bool
		Tasks     int
	}
	productionRental struct {
		//lint:ignore U1000 read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Request, Type, Zone string
		Spot                bool
		Count               int
		Answered            bool
		Hosts               []string
		AtMs                int64
	}
	productionPage struct {
		ID      string             `msgpack:"id"`
		Jobs    []productionJob    `msgpack:"j,omitempty"`
		Blocks  []productionBlock  `msgpack:"b,omitempty"`
		Finals  []productionFinal  `msgpack:"f,omitempty"`
		Rentals []productionRental `msgpack:"r,omitempty"`
		Options string             `msgpack:"o,omitempty"`
	}
	// The first version with prerequisites has one more field of a page.
	pipelinesExtension struct {
		//lint:ignore U1000 read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Job           string
		BlockTasks    int
		Prerequisites []string
	}
	pipelinesPage struct {
		productionPage
		Extensions []pipelinesExtension `msgpack:"x,omitempty"`
	}
	productionLeader struct {
		Node  string `msgpack:"node"`
		Boot  string `msgpack:"boot"`
		Lease int64  `msgpack:"permit"`
		Raise int64  `msgpack:"raise"`
	}
	productionStepDown struct {
		Term   int64  `msgpack:"term"`
		Leader string `msgpack:"leader"`
	}
	productionStepDownAnswer struct {
		SteppedDown bool  `msgpack:"released"`
		Led         int64 `msgpack:"taken"`
		UpMs        int64 `msgpack:"up_ms"`
	}
)

// roundTrip decodes a message as the version in production does, and encodes it again.
func roundTrip[T any](message []byte) []byte {
	var v T
	if err := msgpack.Unmarshal(message, &v); err != nil {
		panic(err)
	}
	out, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}

// roundTripProduction is what is left of a stored value once the version in production has
// read it and written it back.
func roundTripProduction(key string, value []byte) []byte {
	if key == controller.LeaderKey {
		return roundTrip[productionLeader](value)
	}
	return roundTrip[productionPage](value)
}

// roundTripFirstPipelines is the same for the first version with prerequisites.
func roundTripFirstPipelines(key string, value []byte) []byte {
	if key == controller.LeaderKey {
		return roundTrip[productionLeader](value)
	}
	return roundTrip[pipelinesPage](value)
}

// storedValue is a value that an earlier version stored, or a message that it sent.
type storedValue struct {
	Key   string `json:"key"`
	Value string `json:"value"` // base64
}

// goldenValues reads a file of testdata: see the README beside it.
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

// goldenPages are the pages among the values of a file.
func goldenPages(t *testing.T, file string) map[string][]byte {
	t.Helper()
	return onlyPages(goldenValues(t, file))
}

// pagesOf are the pages that a world's state service holds.
func pagesOf(w *fake.World) map[string][]byte { return onlyPages(w.State.Values()) }

func onlyPages(values map[string][]byte) map[string][]byte {
	maps.DeleteFunc(values, func(key string, _ []byte) bool { return !strings.HasPrefix(key, storage.PagePrefix) })
	return values
}

const (
	productionFile = "production/values.json"
	pipelinesFile  = "pipelines/values.json"
	dividingFile   = "pipelines/dividing.json"
)

// recordKinds counts the records of a page by their kind.
func recordKinds(t *testing.T, value []byte) map[string]int {
	t.Helper()
	var page storage.PageValue
	if err := protocol.Decode(value, &page); err != nil {
		t.Fatal(err)
	}
	return map[string]int{
		"jobs": len(page.Jobs), "blocks": len(page.Blocks), "finals": len(page.Terminal), "rentals": len(page.Provisioning),
		"options": len(page.Options), "extensions": len(page.Extensions),
		"prerequisites": len(page.Prerequisites),
	}
}

// What earlier versions wrote is read, and written back to the byte: a renamed field, a
// changed order or a lost record would show.
func TestEarlierFormatsRoundTripByteForByte(t *testing.T) {
	for _, c := range []struct {
		file  string
		kinds []string
		none  []string
	}{
		{productionFile, []string{"jobs", "blocks", "finals", "rentals", "options"}, []string{"extensions"}},
		{pipelinesFile, []string{"jobs", "blocks", "finals", "rentals", "options", "extensions"}, nil},
		{dividingFile, []string{"jobs", "blocks"}, nil},
	} {
		kinds := map[string]int{}
		for key, value := range goldenValues(t, c.file) {
			var again []byte
			switch {
			case key == "peer/step-down":
				again = roundTrip[protocol.StepDown](value)
			case key == "peer/step-down-answer":
				again = roundTrip[protocol.StepDownResponse](value)
			case strings.HasPrefix(key, storage.PagePrefix):
				again = roundTrip[storage.PageValue](value)
				for kind, n := range recordKinds(t, value) {
					kinds[kind] += n
				}
			case key == controller.LeaderKey:
				again = roundTrip[productionLeader](value)
			default:
				t.Errorf("%s: an unknown key %s", c.file, key)
			}
			if !bytes.Equal(again, value) {
				t.Errorf("%s: %s: %x was written, %x is written back", c.file, key, value, again)
			}
		}
		for _, kind := range c.kinds {
			if kinds[kind] == 0 {
				t.Errorf("%s has no %s", c.file, kind)
			}
		}
		for _, kind := range c.none {
			if kinds[kind] > 0 {
				t.Errorf("%s has %s", c.file, kind)
			}
		}
	}
}

// unfinished are the jobs that the pages of an earlier version call neither done nor
// cancelled, as a user's submission; finished maps the others to what they are called.
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

// newWorldFromPages makes a world whose controllers find the pages of an earlier version.
func newWorldFromPages(pages map[string][]byte) *fake.World {
	s := fake.Settings()
	s.State.ValueKB, s.State.TxnOps = 8, 8
	s.State.Next = nextLimits(1, 3, 25)
	w := fake.NewWorld(s)
	w.State.Restore(pages)
	return w
}

// A leader of this version takes over the pages of an earlier one, also from the middle
// of a division. It knows every job, whose end it tells, and keeps all of them when it
// divides the pages for the limits to come.
func TestTakeOverOfEarlierVersionsPages(t *testing.T) {
	for _, file := range []string{productionFile, pipelinesFile, dividingFile} {
		t.Run(file, func(t *testing.T) {
			pages := goldenPages(t, file)
			unfinished, finished := recordedJobs(t, pages)
			if len(unfinished) == 0 {
				t.Fatal("no job is left to go on with")
			}
			w := newWorldFromPages(pages)
			w.Run(15 * time.Second)
			for id := range unfinished {
				status := w.StatusOf(id)
				if status == "" {
					t.Errorf("%s is not known", id)
				}
			}
			for id, want := range finished {
				if status := w.StatusOf(id); status != want {
					t.Errorf("%s is called %q, not %q", id, status, want)
				}
			}
			stillOpen, ended := recordedJobs(t, pagesOf(w))
			for id := range unfinished {
				if _, ok := stillOpen[id]; !ok && ended[id] == "" {
					t.Errorf("%s is on no page", id)
				}
			}
			requireNoViolations(t, w)
		})
	}
}

// Stored values that are damaged, cut short, of a wrong type or with fields that nobody
// knows, never end a controller's process: it can read them, or leads no term.
func TestCorruptPagesDoNotCrashControllers(t *testing.T) {
	for _, file := range []string{productionFile, pipelinesFile} {
		for key, value := range goldenPages(t, file) {
			for _, damaged := range corruptedCopies(t, value) {
				pages := goldenPages(t, file)
				pages[key] = damaged
				w := newWorldFromPages(pages)
				w.Run(4 * time.Second)
			}
		}
	}
}

// corruptedCopies gives copies of a page's value that are cut, have a byte replaced, or hold
// something else under one of its fields.
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
	odd := []any{nil, true, "text", -1, []any{}, []any{nil}, []any{[]any{}}, []any{[]any{"wk-000001", -5, "wk-000001"}}, map[string]any{"a": 1}}
	for _, field := range []string{"id", "j", "b", "f", "r", "o", "x", "unknown"} {
		for _, v := range odd {
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

// What the peers say to each other is read by both versions alike.
func TestPeerMessagesMatchProduction(t *testing.T) {
	ask := protocol.Encode(protocol.StepDown{Term: 1 << 40, Leader: "n1"})
	if !bytes.Equal(roundTrip[productionStepDown](ask), ask) {
		t.Error("production reads another step-down request")
	}
	answer := protocol.Encode(protocol.StepDownResponse{SteppedDown: true, LastLoadedTerm: 1 << 40, UptimeMs: 5})
	if !bytes.Equal(roundTrip[productionStepDownAnswer](answer), answer) {
		t.Error("production reads another answer")
	}
}

// With prerequisites in use, every value that is stored is one that the first version
// with them could have written: it reads it and writes it back to the byte, so that it
// may run beside this one.
func TestPipelineRecordsMatchFirstVersion(t *testing.T) {
	s := fake.Settings()
	s.State.Next = nextLimits(1, 3, 25)
	w := newWorldWith(t, s)
	jobs := submitPipeline(t, w, 1)
	extensions := 0
	for range 40 {
		w.Run(500 * time.Millisecond)
		for key, value := range w.State.Values() {
			if !bytes.Equal(roundTripFirstPipelines(key, value), value) {
				t.Fatalf("%s holds what the first version with prerequisites would not write: %x", key, value)
			}
			if strings.HasPrefix(key, storage.PagePrefix) {
				extensions += recordKinds(t, value)["extensions"]
			}
		}
	}
	if extensions == 0 {
		t.Error("no extension was stored")
	}
	runAndPoll(w, 30*time.Second)
	requireNoViolations(t, w)
	requirePipelineOutcome(t, w, jobs)
}

// While nothing new is used, every value that is stored is one that production could
// have written: it reads it and writes it back to the byte.
func TestProductionFormatUnlessNewFeaturesUsed(t *testing.T) {
	w := fake.NewWorld(fake.Settings())
	seen := 0
	look := func() {
		for key, value := range w.State.Values() {
			seen++
			if !bytes.Equal(roundTripProduction(key, value), value) {
				t.Fatalf("%s holds what production would not write: %x", key, value)
			}
		}
	}
	for i := range 12 {
		s := job(i+1, protocol.JobKind(i%3), 1+i*2%5)
		if s.Kind == protocol.Service {
			s.CheckpointIntervalS = 0
		}
		j := w.Submit(s, 3*time.Second)
		w.Run(1500 * time.Millisecond)
		look()
		if i%5 == 4 {
			w.CancelJob(j)
		}
		if i == 7 {
			w.Leader().Crash()
		}
	}
	w.Run(20 * time.Second)
	look()
	if seen == 0 {
		t.Error("nothing was stored")
	}
	requireNoViolations(t, w)
}
