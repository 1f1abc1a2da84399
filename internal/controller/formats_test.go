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

// What earlier versions wrote is read, and written back to the byte: a renamed field, a
// changed order or a lost record would show.
func TestEarlierFormatsRoundTripByteForByte(t *testing.T) {
	for _, test := range []struct {
		file   string
		has    []string // kinds of records
		hasNot []string
	}{
		{productionFile, []string{"jobs", "blocks", "finals", "rentals", "options"}, []string{"extensions"}},
		{pipelinesFile, []string{"jobs", "blocks", "finals", "rentals", "options", "extensions"}, nil},
		{dividingFile, []string{"jobs", "blocks"}, nil},
	} {
		t.Run(test.file, func(t *testing.T) {
			records := map[string]int{}
			for key, value := range goldenValues(t, test.file) {
				if again := roundTripStored(t, key, value); !bytes.Equal(again, value) {
					t.Errorf("%s: %x was written, %x is written back", key, value, again)
				}
				if strings.HasPrefix(key, storage.PagePrefix) {
					for kind, n := range recordKinds(t, value) {
						records[kind] += n
					}
				}
			}
			for _, kind := range test.has {
				if records[kind] == 0 {
					t.Errorf("there are no %s", kind)
				}
			}
			for _, kind := range test.hasNot {
				if records[kind] > 0 {
					t.Errorf("there are %s", kind)
				}
			}
		})
	}
}

// roundTripStored is what this version writes back of a stored value or a message.
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
	t.Errorf("an unknown key %s", key)
	return nil
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

// What the peers say to each other is read by both versions alike.
func TestPeerMessagesMatchProduction(t *testing.T) {
	ask := protocol.Encode(protocol.StepDownRequest{Term: 1 << 40, Leader: "n1"})
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
			if !bytes.Equal(roundTripPipelines(key, value), value) {
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
