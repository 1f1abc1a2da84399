package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// takeOver has a new controller take the term, with each request to the state service
// answered at once, and gives how many entries it was given.
func takeOver(t testing.TB, w *fake.World, cfg *config.Config) (entries int) {
	t.Helper()
	n := controller.New(cfg, "boot", 1)
	now := message.Now{WallMs: 1_000_000}
	var give func(command message.Event)
	give = func(command message.Event) {
		now.Monotonic += time.Millisecond
		for _, effect := range n.Step(now, []message.Event{command}) {
			if c, ok := effect.(message.StateCall); ok && n.Role() != "leader" {
				r := w.State.Execute(c.StateCall)
				entries += len(r.List.Entries)
				give(message.StateResult{StateResult: r})
			}
		}
	}
	for range 10 {
		if n.Role() != "leader" {
			now.Monotonic += 500 * time.Millisecond
			give(message.Tick{})
		}
	}
	if n.Role() != "leader" {
		t.Fatalf("is %s", n.Role())
	}
	return entries
}

// newRecordedState is a state service with so many jobs that aren't over, as many ended ones as
// a leader keeps, and so many in the archive.
func newRecordedState(unfinished, kept, archived int) (*fake.World, *config.Config) {
	s := fake.Settings()
	s.State.ValueKB = 8
	w := fake.NewWorld(s)
	for _, n := range w.Controllers {
		n.Crash()
	}
	w.State.MaxListed = 200
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

// What a take-over reads doesn't grow with what is in the archive.
func TestTakeOverDoesNotReadArchive(t *testing.T) {
	few, cfg := newRecordedState(100, 100, 0)
	many, _ := newRecordedState(100, 100, 20_000)
	a, b := takeOver(t, few, cfg), takeOver(t, many, cfg)
	if b > a+1 { // one to see that there is an archive
		t.Errorf("%d entries with an empty archive, %d with a full one", a, b)
	}
}

// BenchmarkTakeOver times a take-over from the lease to the first moment as leader, with the
// state service answering at once.
func BenchmarkTakeOver(b *testing.B) {
	const unfinished, kept = 2600, 6000
	for _, archived := range []int{0, 26_000, 1_040_000} {
		b.Run(fmt.Sprintf("ended=%d", archived), func(b *testing.B) {
			w, cfg := newRecordedState(unfinished, kept, archived)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				cfg.Node = fmt.Sprint("n", 10+i)
				takeOver(b, w, cfg)
				b.StopTimer()
				w.Run(5 * time.Second) // the lease of the last one ends
				b.StartTimer()
			}
		})
	}
}

// A machine is cut off until its worker's lease has ended, and the leader ends meanwhile. The
// next one hears of the new session and starts the machine's tasks there again; it ends when
// only some of these starts are durable. Its successor finds starts of both sessions on the
// machine, and hears of the newer one only: the older ones are gone.
func TestStartsOfTwoIncarnationsOnOneMachine(t *testing.T) {
	for durable := range 5 {
		w := newWorld(t)
		w.Cloud.CapacityOf = map[string]int{"small": 1, "large": 0}
		for i := range 80 { // on more pages than a transaction takes
			s := service(i+1, 1)
			s.CPUs, s.MemoryGB, s.Zone = 0.05, 0.1, "a" // there is one machine that they may have
			w.Submit(s, 0)
		}
		if !w.RunUntil(60*time.Second, func() bool { return len(w.MachineNames()) > 0 && w.Running("wk-000080") == 1 }) {
			t.Fatal("the replicas don't run")
		}
		w.Run(5 * time.Second)
		host := w.MachinesOf("wk-000001")[0]
		session := w.Incarnation(host)
		w.SeparateWrites = true
		placed := func() int { return strings.Count(strings.Join(w.Log, "\n"), "task placed [job wk-000001 ") }
		left := durable
		w.Network = func(kind, from, to string) fake.Delivery {
			f := fake.Reliable()
			f.LoseRequest = w.Incarnation(host) == session && (from == host || to == host)
			if kind == fake.KindWrite && placed() > 1 {
				left--
				f.LoseRequest = left < 0
			}
			return f
		}
		w.Run(3 * time.Second)
		restartLeader(w)
		if !w.RunUntil(30*time.Second, func() bool { return placed() > 1 }) {
			t.Fatal("the replicas aren't started again")
		}
		w.Run(400 * time.Millisecond)
		restartLeader(w)
		w.Network = nil
		runAndPoll(w, 60*time.Second)
		requireNoViolations(t, w)
		requireAllServed(t, w)
	}
}

// restartLeader ends the leader's process, which is back after three seconds.
func restartLeader(w *fake.World) {
	l := w.Leader()
	l.Crash()
	w.After(3*time.Second, l.Start)
}
