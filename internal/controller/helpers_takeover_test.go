package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// takeOver lets a new controller become the leader, with immediate responses of the state service,
// and returns the number of entries that it read.
func takeOver(tb testing.TB, w *fake.World, cfg *config.Config) (entries int) {
	tb.Helper()
	var c *steppedController
	c = newSteppedController(cfg, func(effect message.Effect) message.Event {
		call, ok := effect.(message.StateCall)
		if !ok || c.leads() {
			return nil
		}
		result := w.State.Execute(call.StateCall)
		entries += len(result.List.Entries)
		return message.StateResult{StateResult: result}
	})
	c.now.WallMs = 1_000_000
	for range 10 {
		if !c.leads() {
			c.tick(500 * time.Millisecond)
		}
	}
	if !c.leads() {
		tb.Fatalf("the controller's role is %s", c.Role())
	}
	return entries
}

// newWorldWithRecords makes a world whose state service holds records of unfinished jobs, of ended
// jobs that a leader keeps in memory, and of archived jobs, in the given numbers. All controllers of
// the world are down. The returned configuration is for another controller.
func newWorldWithRecords(unfinished, kept, archived int) (*fake.World, *config.Config) {
	s := fake.Settings()
	s.State.ValueKB = 8
	w := fake.NewWorld(s)
	crashAll(w)
	w.State.MaxListedEntries = 200
	values := map[string][]byte{}
	pages := 0
	add := func(v storage.PageValue) {
		v.WriteID = "1-1"
		values[fmt.Sprintf("%s%06d", storage.PagePrefix, pages)] = protocol.Encode(v)
		pages++
	}
	for first := 0; first < unfinished; first += 20 {
		var v storage.PageValue
		for i := first; i < min(first+20, unfinished); i++ {
			sub := job(i, protocol.Array, 4)
			v.Jobs = append(v.Jobs, storage.NewJobRecord(&sub, 1000))
		}
		add(v)
	}
	for first := 0; first < kept; first += 200 {
		var v storage.PageValue
		for i := first; i < min(first+200, kept); i++ {
			v.Terminal = append(v.Terminal, storage.TerminalRecord{ID: fmt.Sprintf("wk-8%08d", i), Tasks: 4})
		}
		add(v)
	}
	const each = 200
	for first := 0; first < archived; first += each {
		v := storage.ArchiveValue{WriteID: "1-1"}
		for i := first; i < min(first+each, archived); i++ {
			v.Terminal = append(v.Terminal, storage.TerminalRecord{ID: fmt.Sprintf("wk-9%08d", i), Tasks: 4})
		}
		bound := fmt.Sprintf("wk-9%08d", first+each)
		if first+each >= archived {
			bound = storage.LastUpperBound
		}
		values[storage.ArchivePrefix+bound] = protocol.Encode(v)
	}
	w.State.Restore(values)
	return w, &config.Config{Node: "n9", Settings: s}
}
