package controller_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"oakpick/internal/election"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// Values that earlier versions stored are decoded and encoded to the same bytes. This detects renamed
// fields, a changed field order and lost records.
func TestEarlierFormatsRoundTripByteForByte(t *testing.T) {
	for _, test := range []struct {
		file   string
		has    []string // kinds of records that must occur
		hasNot []string
	}{
		{productionFile, []string{"jobs", "blocks", "terminal", "provisioning", "options"}, []string{"extensions"}},
		{pipelinesFile, []string{"jobs", "blocks", "terminal", "provisioning", "options", "extensions"}, nil},
		{pageSplitFile, []string{"jobs", "blocks"}, nil},
	} {
		t.Run(test.file, func(t *testing.T) {
			records := map[string]int{}
			for key, value := range goldenValues(t, test.file) {
				if rewritten := roundTripStored(t, key, value); !bytes.Equal(rewritten, value) {
					t.Errorf("%s: %x was stored and is encoded as %x", key, value, rewritten)
				}
				if strings.HasPrefix(key, storage.PagePrefix) {
					for kind, n := range recordKinds(t, value) {
						records[kind] += n
					}
				}
			}
			for _, kind := range test.has {
				if records[kind] == 0 {
					t.Errorf("there are no records of kind %s", kind)
				}
			}
			for _, kind := range test.hasNot {
				if records[kind] > 0 {
					t.Errorf("there are records of kind %s", kind)
				}
			}
		})
	}
}

// roundTripStored decodes a stored value or a message and encodes it again as this version does.
func roundTripStored(t *testing.T, key string, value []byte) []byte {
	t.Helper()
	switch {
	case key == "peer/step-down":
		return roundTrip[protocol.StepDownRequest](value)
	case key == "peer/step-down-answer":
		return roundTrip[protocol.StepDownResponse](value)
	case strings.HasPrefix(key, storage.PagePrefix):
		return roundTrip[storage.PageValue](value)
	case key == election.LeaderKey:
		return roundTrip[productionLeader](value)
	}
	t.Errorf("unknown key %s", key)
	return nil
}

// A leader of this version takes over the pages of an earlier version, even if that version was still
// splitting them. The new leader knows every job, reports the status of the ended jobs, and
// loses no job when it splits the pages for the lower limits that were announced.
func TestTakeOverOfEarlierVersionsPages(t *testing.T) {
	for _, file := range []string{productionFile, pipelinesFile, pageSplitFile} {
		t.Run(file, func(t *testing.T) {
			pages := goldenPages(t, file)
			unfinished, finished := recordedJobs(t, pages)
			if len(unfinished) == 0 {
				t.Fatal("the file has no unfinished jobs")
			}
			w := newWorldFromPages(pages)
			w.Run(15 * time.Second)
			for id := range unfinished {
				status := w.StatusOf(id)
				if status == "" {
					t.Errorf("%s is unknown", id)
				}
			}
			for id, want := range finished {
				if status := w.StatusOf(id); status != want {
					t.Errorf("%s has status %q, not %q", id, status, want)
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

// Stored values that are corrupt, truncated, of a wrong type or with unknown fields must not crash
// a controller, which either can decode them or does not become the leader.
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

// The production version decodes the messages between peers as this version does.
func TestPeerMessagesMatchProduction(t *testing.T) {
	request := protocol.Encode(protocol.StepDownRequest{Term: 1 << 40, Leader: "n1"})
	if !bytes.Equal(roundTrip[productionStepDownRequest](request), request) {
		t.Error("production decodes a step-down request differently")
	}
	answer := protocol.Encode(protocol.StepDownResponse{SteppedDown: true, LastLoadedTerm: 1 << 40, UptimeMs: 5})
	if !bytes.Equal(roundTrip[productionStepDownResponse](answer), answer) {
		t.Error("production decodes a step-down response differently")
	}
}

// When jobs with prerequisites are stored, the first version with prerequisites decodes every stored
// value and encodes it to the same bytes, so it can run beside this version.
func TestPipelineRecordsMatchFirstVersion(t *testing.T) {
	s := fake.Settings()
	s.State.Next = nextLimits(1, 3, 25)
	w := newWorldWith(t, s)
	jobs := submitPipeline(t, w, 1)
	extensions := 0
	for range 40 {
		w.Run(500 * time.Millisecond)
		for key, value := range w.State.Values() {
			if !bytes.Equal(roundTripPipelines(key, value), value) {
				t.Fatalf("%s holds a value that the first version with prerequisites would not write: %x", key, value)
			}
			if strings.HasPrefix(key, storage.PagePrefix) {
				extensions += recordKinds(t, value)["extensions"]
			}
		}
	}
	if extensions == 0 {
		t.Error("no extension record was stored")
	}
	runAndPoll(w, 30*time.Second)
	requireNoViolations(t, w)
	requirePipelineOutcome(t, w, jobs)
}

// While no new feature is used, the version in production decodes every stored value and encodes it to
// the same bytes, so it can run beside this version.
func TestProductionFormatUnlessNewFeaturesUsed(t *testing.T) {
	w := fake.NewWorld(fake.Settings())
	seen := 0
	checkStored := func() {
		for key, value := range w.State.Values() {
			seen++
			if !bytes.Equal(roundTripProduction(key, value), value) {
				t.Fatalf("%s holds a value that production would not write: %x", key, value)
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
		checkStored()
		if i%5 == 4 {
			w.CancelJob(j)
		}
		if i == 7 {
			w.Leader().Crash()
		}
	}
	w.Run(20 * time.Second)
	checkStored()
	if seen == 0 {
		t.Error("no value was stored")
	}
	requireNoViolations(t, w)
}
