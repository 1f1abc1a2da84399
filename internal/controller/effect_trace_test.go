package controller_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// An effect trace is everything that leaves the controllers of a simulated world, in the
// form of the wire and the store, with its time. A change that is not meant to change
// behavior leaves the traces of all seeds equal:
//
//	go test ./internal/controller -run TestEffectTraces -trace.seeds=300 -trace.write=before.json
//	go test ./internal/controller -run TestEffectTraces -trace.seeds=300 -trace.compare=before.json
//
// Log lines are left out.
var (
	traceSeeds   = flag.Int("trace.seeds", 3, "how many worlds TestEffectTraces plays")
	traceWrite   = flag.String("trace.write", "", "file that TestEffectTraces writes the digests to, by seed")
	traceCompare = flag.String("trace.compare", "", "file of digests that TestEffectTraces compares with")
	traceDump    = flag.String("trace.dump", "", "directory that TestEffectTraces writes the traces themselves to")
)

// TestEffectTraces plays worlds with fixed seeds. Without flags it checks that a world
// played twice gives the same trace, which every comparison of traces relies on.
func TestEffectTraces(t *testing.T) {
	digests := playTraces(t)
	switch {
	case *traceWrite != "":
		writeDigests(t, *traceWrite, digests)
	case *traceCompare != "":
		compareDigests(t, *traceCompare, digests)
	default:
		for seed, digest := range playTraces(t) {
			if digests[seed] != digest {
				t.Errorf("seed %s: the same world gave two traces", seed)
			}
		}
	}
}

// playTraces plays the worlds of all seeds side by side and returns the digests by seed.
func playTraces(t *testing.T) map[string]string {
	t.Helper()
	digests := make(map[string]string, *traceSeeds)
	var mutex sync.Mutex
	t.Run("seeds", func(t *testing.T) {
		for seed := range *traceSeeds {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				digest := playTrace(t, uint64(seed))
				mutex.Lock()
				defer mutex.Unlock()
				digests[strconv.Itoa(seed)] = digest
			})
		}
	})
	return digests
}

// wallClockSeeds is how many worlds are played at two times of day.
const wallClockSeeds = 12

// The same world played hours apart by the process's clock gives the same effects: nothing that is
// decided reads it. In the bubble of synctest that clock is another one, and stands still but for
// the sleep.
//
// It does not notice the fault of docs/incidents/2026-12-03-write-budget-never-fills.md: a clock that
// is decades ahead fills the budget, whatever the hour. The linter does (forbidigo).
func TestEffectsDoNotDependOnTheProcessClock(t *testing.T) {
	t.Parallel()
	for seed := range uint64(wallClockSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			digest := playTrace(t, seed)
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Duration(seed+1) * time.Hour)
				if playTrace(t, seed) != digest {
					t.Errorf("%v gave another trace", time.Now())
				}
			})
		})
	}
}

func writeDigests(t *testing.T, file string, digests map[string]string) {
	t.Helper()
	text, err := json.MarshalIndent(digests, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func compareDigests(t *testing.T, file string, digests map[string]string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var before map[string]string
	if err := json.Unmarshal(text, &before); err != nil {
		t.Fatal(err)
	}
	if len(before) != len(digests) {
		t.Errorf("%d seeds were played, %d digests are in %s", len(digests), len(before), file)
	}
	for seed, digest := range digests {
		if before[seed] != digest {
			t.Errorf("seed %s: another trace than in %s", seed, file)
		}
	}
	t.Logf("%d seeds compared", len(digests))
}

// playTrace plays the world of a seed and returns the digest of its trace.
func playTrace(t *testing.T, seed uint64) string {
	t.Helper()
	digest := sha256.New()
	trace := effectTrace{digest: digest, out: digest}
	if *traceDump != "" {
		file, err := os.Create(fmt.Sprintf("%s/%d.txt", *traceDump, seed))
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := file.Close(); err != nil {
				t.Error(err)
			}
		}()
		trace.out = io.MultiWriter(digest, file)
	}
	tw := newTraceWorld(seed)
	tw.world.OnEffect = func(node string, effect message.Effect) { trace.add(tw.world.Now, node, effect) }
	tw.play()
	if trace.effects == 0 {
		t.Fatalf("seed %d: nothing left the controllers", seed)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// effectTrace sums up effects.
type effectTrace struct {
	digest  hash.Hash
	out     io.Writer
	effects int
}

var machinesLookedAt = regexp.MustCompile(`"machines_looked_at": \d+`)

// add notes an effect, as the wire or the store sees it.
func (e *effectTrace) add(now time.Duration, node string, effect message.Effect) {
	line := ""
	switch x := effect.(type) {
	case message.Reply:
		// How many machines were looked at depends on the order of a map in one place.
		body := machinesLookedAt.ReplaceAll(x.Body, nil)
		line = fmt.Sprintf("reply %d %d %x %d %v", x.ID, x.Status, body, x.RetryAfterS, x.CloseConnection)
	case message.Forward:
		line = fmt.Sprintf("forward %d %s", x.ID, x.Peer)
	case message.StateCall:
		line = fmt.Sprintf("state %d %d %s %s %d %d %v %x", x.ID, x.Op, x.Key, x.StartAfter, x.Limit, x.Lease, x.TTL, protocol.Encode(x.Txn))
	case message.CloudCall:
		line = fmt.Sprintf("cloud %d %d %s %x %v %v", x.ID, x.Op, x.StartAfter, protocol.Encode(x.Provisioning), x.Machines, x.NotAfter)
	case message.CommandsCall:
		line = fmt.Sprintf("commands %d %s %s %x %v", x.ID, x.Machine, x.Addr, protocol.EncodeCommands(x.FencingToken, x.Incarnation, x.Commands), x.NotAfter)
	case message.PeerCall:
		line = fmt.Sprintf("peer %s %d %v %v", x.Peer, x.Term, x.SentAt, x.QueriesArchiveSupport)
	case message.Log:
		return
	default:
		panic(fmt.Sprintf("an unknown effect %T", x))
	}
	e.effects++
	if _, err := fmt.Fprintf(e.out, "%d %s %s\n", now, node, line); err != nil {
		panic(err)
	}
}

// traceWorld is a world whose troubles and users are drawn from a seed.
type traceWorld struct {
	world   *fake.World
	random  *rand.Rand
	teams   []string
	jobs    int
	blocked map[string]bool // "from>to": nothing arrives
	loss    int             // of messages, in hundredths
	copies  int             // of messages, in hundredths
	latency time.Duration   // of the state service
}

const traceJobs = 40

func newTraceWorld(seed uint64) *traceWorld {
	random := rand.New(rand.NewPCG(seed, 0x747261636573))
	tw := &traceWorld{random: random, teams: []string{"red", "blue"}, blocked: map[string]bool{}}
	s := fake.Settings()
	if tw.oneIn(3) {
		s.ControllerCount = 5
	}
	if tw.oneIn(2) {
		s.Teams = append(s.Teams, config.Team{Name: "guests"})
		tw.teams = append(tw.teams, "guests")
	}
	if tw.oneIn(3) {
		s.State.Next = nextLimits(1, 1+random.IntN(3), 25)
	}
	if tw.oneIn(3) {
		s.Limits.MemoryMB = 0.03 // the archive is used after two jobs
	}
	if tw.oneIn(2) {
		s.Objectives = []config.Objective{{Kind: "wait", Class: "c", WithinS: 8}}
	}
	s.Cloud.RPS = 1 + 4*random.Float64()
	tw.world = fake.NewWorld(s)
	tw.world.Network = tw.fate
	return tw
}

func (tw *traceWorld) oneIn(n int) bool { return tw.random.IntN(n) == 0 }

func (tw *traceWorld) between(least, most int) int { return least + tw.random.IntN(most-least+1) }

func (tw *traceWorld) millis(least, most int) time.Duration {
	return time.Duration(tw.between(least, most)) * time.Millisecond
}

// fate delays, loses and copies messages.
func (tw *traceWorld) fate(kind, from, to string) fake.Delivery {
	f := fake.Reliable()
	f.RequestDelay += time.Duration(tw.random.IntN(20)) * time.Millisecond
	if tw.blocked[from+">"+to] {
		f.LoseRequest = true
		return f
	}
	if kind == fake.KindState {
		f.ResponseDelay += tw.latency
	}
	f.LoseRequest = tw.random.IntN(100) < tw.loss
	f.LoseResponse = tw.random.IntN(100) < tw.loss
	if tw.random.IntN(100) < tw.copies {
		f.DuplicateAfter = tw.millis(500, 20_000)
	}
	return f
}

// play lets jobs come and troubles happen, and then time pass until most is over.
func (tw *traceWorld) play() {
	tw.world.Run(tw.millis(500, 6000))
	for range tw.between(20, 45) {
		switch tw.random.IntN(5) {
		case 0, 1:
			tw.submit()
			tw.submit()
		case 2:
			tw.ask()
		case 3:
			tw.trouble()
		case 4:
			tw.machineTrouble()
		}
		tw.world.Run(tw.millis(50, 6000))
		tw.world.PollAll()
	}
	tw.loss, tw.copies, tw.latency = 0, 0, 0
	for range 12 {
		tw.world.Run(8 * time.Second)
		tw.world.PollAll()
		tw.ask()
	}
}

func (tw *traceWorld) submit() {
	if tw.jobs >= traceJobs {
		return
	}
	tw.jobs++
	s := job(tw.jobs, protocol.JobKind(tw.random.IntN(3)), tw.between(1, 6))
	s.Class = fmt.Sprintf("c%d", tw.random.IntN(3))
	s.Priority = protocol.Priority(tw.random.IntN(4))
	s.Team = tw.teams[tw.random.IntN(len(tw.teams))]
	s.Spot = tw.oneIn(2)
	s.CPUs = float64(tw.between(1, 4))
	s.Image = fmt.Sprintf("image-%d", tw.random.IntN(3))
	s.ImageGB = float64(tw.between(1, 12))
	if tw.oneIn(6) {
		s.GPUs = float64(tw.between(1, 2))
	}
	switch tw.random.IntN(8) {
	case 0:
		s.OneZone = true
	case 1:
		s.Spread = true
	case 2:
		s.Zone = "a"
	case 3:
		s.Types = []string{"small"}
	case 4:
		s.DeadlineS = float64(tw.between(10, 60))
	}
	if s.Kind == protocol.Array && tw.oneIn(5) {
		s.Tasks = tw.between(40, 160) // several blocks
	}
	for i := 1; i < tw.jobs; i++ {
		if p := tw.job(i); p != nil && p.Accepted && p.Submission.Kind != protocol.Service && tw.oneIn(8) {
			s.Prerequisites = append(s.Prerequisites, p.Submission.ID)
		}
	}
	if s.Kind == protocol.Service || tw.oneIn(4) {
		s.CheckpointIntervalS = 0
	}
	j := tw.world.Submit(s, tw.millis(1000, 15_000))
	j.AlwaysFails = tw.oneIn(15)
}

func (tw *traceWorld) job(number int) *fake.Job {
	return tw.world.Jobs[fmt.Sprintf("wk-%06d", number)]
}

func (tw *traceWorld) anyJob() *fake.Job {
	if tw.jobs == 0 {
		return nil
	}
	return tw.job(tw.between(1, tw.jobs))
}

func (tw *traceWorld) node() *fake.Controller {
	return tw.world.Controllers[tw.random.IntN(len(tw.world.Controllers))]
}

// ask has users and operators ask for something.
func (tw *traceWorld) ask() {
	ignore := func(message.Reply) {}
	j := tw.anyJob()
	switch tw.random.IntN(8) {
	case 0:
		if j != nil && !j.CancelRequested && j.Accepted {
			tw.world.CancelJob(j)
		}
	case 1:
		if j != nil && j.Accepted {
			tw.world.Resubmit(j)
		}
	case 2:
		tw.world.InvalidRequests()
	case 3:
		if j != nil && j.Accepted {
			tw.world.QueryEverywhere(j)
		}
	case 4:
		if j != nil && j.Accepted && !j.CancelRequested && j.Submission.Kind != protocol.Service {
			tw.world.RunUntil(10*time.Second, func() bool { return len(j.DoneTasks) == j.Submission.Tasks })
			tw.world.CancelEverywhere(j)
		}
	case 5:
		tw.node().Request(message.AdminRequest{Kind: message.AdminStatus}, ignore)
	case 6:
		change := fmt.Sprintf(`{"sample": %d, "warm_room": %d, "idle_s": %d, "moves_per_min": %d}`,
			tw.between(1, 64), tw.random.IntN(4), tw.random.IntN(8), tw.random.IntN(300))
		tw.node().Request(message.AdminRequest{Kind: message.AdminChange, Body: []byte(change)}, ignore)
	case 7:
		if j != nil {
			tw.node().Request(message.AdminRequest{Kind: message.AdminJob, Job: j.Submission.ID}, ignore)
		}
		tw.node().Request(message.AdminRequest{Kind: message.AdminRead}, ignore)
	}
}

// trouble befalls controllers, the state service, the cloud or the network.
func (tw *traceWorld) trouble() {
	w := tw.world
	switch n := tw.node(); tw.random.IntN(11) {
	case 0:
		tw.crash(n)
	case 1:
		if l := w.Leader(); l != nil {
			tw.crash(l)
		}
	case 2:
		for _, n := range w.Controllers {
			tw.crash(n)
		}
	case 3:
		n.PausedUntil = w.Now + tw.millis(100, 12_000)
	case 4:
		left, stall := tw.random.IntN(30), tw.millis(100, 20_000)
		n.StallBefore = func(message.Effect) time.Duration {
			if left--; left != 0 {
				return 0
			}
			return stall
		}
	case 5:
		w.State.SetOutage(true)
		w.After(tw.millis(500, 20_000), func() { w.State.SetOutage(false) })
	case 6:
		w.State.Unreachable[n.Name] = true
		w.After(tw.millis(500, 20_000), func() { w.State.Unreachable[n.Name] = false })
	case 7:
		tw.cut(n.Name, tw.millis(1000, 30_000), "state", "cloud", "n0", "n1", "n2", "n3", "n4")
	case 8:
		w.Cloud.Down = true
		w.After(tw.millis(500, 20_000), func() { w.Cloud.Down = false })
	case 9:
		tw.loss, tw.copies = tw.random.IntN(20), tw.random.IntN(15)
	case 10:
		tw.latency = tw.millis(20, 800)
		w.After(tw.millis(500, 15_000), func() { tw.latency = 0 })
	}
	if tw.world.Cfg.Settings.State.Next != nil && tw.oneIn(20) {
		w.State.LowerLimits()
	}
}

// machineTrouble befalls a machine.
func (tw *traceWorld) machineTrouble() {
	w := tw.world
	names := w.MachineNames()
	if len(names) == 0 {
		return
	}
	name := names[tw.random.IntN(len(names))]
	switch worker := w.Workers[name]; tw.random.IntN(6) {
	case 0:
		worker.HangUntil = w.Now + tw.millis(500, 25_000)
	case 1:
		w.AnnounceInterruption(name, tw.millis(500, 15_000))
	case 2:
		w.Cloud.Fail(name)
	case 3:
		worker.FailsTasks = true
		w.After(tw.millis(1000, 25_000), func() { worker.FailsTasks = false })
	case 4:
		controllers := make([]string, len(w.Controllers))
		for i, n := range w.Controllers {
			controllers[i] = n.Name
		}
		tw.cut(name, tw.millis(1000, 30_000), controllers...)
	case 5:
		w.Cloud.FailNextBoots, w.Cloud.BootDelay = 1, tw.millis(0, 5000)
	}
}

func (tw *traceWorld) crash(n *fake.Controller) {
	if !n.Up {
		return
	}
	n.Crash()
	tw.world.After(tw.millis(0, 8000), n.Start)
}

// cut loses every message between one end and others for a while.
func (tw *traceWorld) cut(name string, d time.Duration, others ...string) {
	set := func(blocked bool) {
		for _, other := range others {
			tw.blocked[name+">"+other], tw.blocked[other+">"+name] = blocked, blocked
		}
	}
	set(true)
	tw.world.After(d, func() { set(false) })
}
