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

// An effect trace is the sequence of all effects that leave the controllers of a simulated world,
// with their times, as encoded on the wire or in the state service. A change that is not meant to
// change behavior must leave the traces of all seeds unchanged:
//
//	go test ./internal/controller -run TestEffectTraces -trace.seeds=300 -trace.write=before.json
//	go test ./internal/controller -run TestEffectTraces -trace.seeds=300 -trace.compare=before.json
//
// Log lines are not part of a trace.
var (
	traceSeeds   = flag.Int("trace.seeds", 3, "how many worlds TestEffectTraces plays")
	traceWrite   = flag.String("trace.write", "", "file that TestEffectTraces writes the digests to, by seed")
	traceCompare = flag.String("trace.compare", "", "file of digests that TestEffectTraces compares with")
	traceDump    = flag.String("trace.dump", "", "directory that TestEffectTraces writes the traces themselves to")
)

// TestEffectTraces runs worlds with fixed seeds. Without flags, it checks that two runs of the same
// seed give the same trace, a precondition for comparing traces.
func TestEffectTraces(t *testing.T) {
	digests := runTraces(t)
	switch {
	case *traceWrite != "":
		writeDigests(t, *traceWrite, digests)
	case *traceCompare != "":
		compareDigests(t, *traceCompare, digests)
	default:
		for seed, digest := range runTraces(t) {
			if digests[seed] != digest {
				t.Errorf("seed %s: two runs gave different traces", seed)
			}
		}
	}
}

// runTraces runs the worlds of all seeds in parallel and returns their digests by seed.
func runTraces(t *testing.T) map[string]string {
	t.Helper()
	digests := make(map[string]string, *traceSeeds)
	var mutex sync.Mutex
	t.Run("seeds", func(t *testing.T) {
		for seed := range *traceSeeds {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				digest := runTrace(t, uint64(seed))
				mutex.Lock()
				defer mutex.Unlock()
				digests[strconv.Itoa(seed)] = digest
			})
		}
	})
	return digests
}

// wallClockSeeds is the number of worlds that are run at two different times of the process clock.
const wallClockSeeds = 12

// Two runs of the same world have the same effects even if the process clock differs by hours,
// because no decision depends on that clock. Within synctest, the clock is simulated and advances
// only by the sleep.
//
// The test does not detect the fault in docs/incidents/2026-12-03-write-budget-never-fills.md,
// because a clock that is decades ahead fills the budget at any time of day. The linter's forbidigo
// rule detects it.
func TestEffectsDoNotDependOnTheProcessClock(t *testing.T) {
	t.Parallel()
	for seed := range uint64(wallClockSeeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			digest := runTrace(t, seed)
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(time.Duration(seed+1) * time.Hour)
				if runTrace(t, seed) != digest {
					t.Errorf("a run at %v gave a different trace", time.Now())
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
		t.Errorf("%d seeds were run, but there are %d digests in %s", len(digests), len(before), file)
	}
	for seed, digest := range digests {
		if before[seed] != digest {
			t.Errorf("seed %s: the trace differs from the one in %s", seed, file)
		}
	}
	t.Logf("%d seeds compared", len(digests))
}

// runTrace runs the world of a seed and returns the digest of its trace.
func runTrace(t *testing.T, seed uint64) string {
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
	tw.world.OnEffect = func(controller string, effect message.Effect) { trace.add(tw.world.Now, controller, effect) }
	tw.run()
	if trace.effects == 0 {
		t.Fatalf("seed %d: the controllers emitted no effects", seed)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// effectTrace writes effects to out as lines of text, and counts them.
type effectTrace struct {
	digest  hash.Hash
	out     io.Writer
	effects int
}

var machinesExaminedField = regexp.MustCompile(`"machines_looked_at": \d+`)

// add writes an effect as it appears on the wire or in the state service.
func (e *effectTrace) add(now time.Duration, controller string, effect message.Effect) {
	line := ""
	switch x := effect.(type) {
	case message.Reply:
		// In one place, the number of examined machines depends on the iteration order of a map.
		body := machinesExaminedField.ReplaceAll(x.Body, nil)
		line = fmt.Sprintf("reply %d %d %x %d %v", x.ID, x.Status, body, x.RetryAfterS, x.CloseConnection)
	case message.Forward:
		line = fmt.Sprintf("forward %d %s", x.ID, x.Peer)
	case message.StateCall:
		line = fmt.Sprintf("state %d %d %s %s %d %d %v %x", x.ID, x.Op, x.Key, x.StartAfter, x.Limit, x.Lease, x.TTL, protocol.Encode(x.Txn))
	case message.CloudCall:
		line = fmt.Sprintf("cloud %d %d %s %x %v %v", x.ID, x.Op, x.StartAfter, protocol.Encode(x.Provisioning), x.Machines, x.NotAfter)
	case message.CommandsCall:
		line = fmt.Sprintf("commands %d %s %s %x %v", x.ID, x.Machine, x.Address, protocol.EncodeCommands(x.FencingToken, x.Incarnation, x.Commands), x.NotAfter)
	case message.PeerCall:
		line = fmt.Sprintf("peer %s %d %v %v", x.Peer, x.Term, x.SentAt, x.QueriesArchiveSupport)
	case message.Log:
		return
	default:
		panic(fmt.Sprintf("unknown effect %T", x))
	}
	e.effects++
	if _, err := fmt.Fprintf(e.out, "%d %s %s\n", now, controller, line); err != nil {
		panic(err)
	}
}

// traceWorld is a world whose faults and requests are drawn at random from a seed.
type traceWorld struct {
	world            *fake.World
	random           *rand.Rand
	teams            []string
	submitted        int
	blocked          map[string]bool // links that lose every request, as "from>to"
	lossPercent      int             // of requests and of responses
	duplicatePercent int             // of requests
	stateLatency     time.Duration   // added to the state service's responses
}

const maxTraceJobs = 40

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
		s.Limits.MemoryMB = 0.03 // jobs are archived once more than two are terminal
	}
	if tw.oneIn(2) {
		s.Objectives = []config.Objective{{Kind: "wait", Class: "c", WithinS: 8}}
	}
	s.Cloud.RPS = 1 + 4*random.Float64()
	tw.world = fake.NewWorld(s)
	tw.world.Network = tw.deliver
	return tw
}

func (tw *traceWorld) oneIn(n int) bool { return tw.random.IntN(n) == 0 }

func (tw *traceWorld) randomInt(least, most int) int { return least + tw.random.IntN(most-least+1) }

func (tw *traceWorld) randomMillis(least, most int) time.Duration {
	return time.Duration(tw.randomInt(least, most)) * time.Millisecond
}

// deliver delays, loses and duplicates messages at random.
func (tw *traceWorld) deliver(kind, from, to string) fake.Delivery {
	delivery := fake.Reliable()
	delivery.RequestDelay += time.Duration(tw.random.IntN(20)) * time.Millisecond
	if tw.blocked[from+">"+to] {
		delivery.LoseRequest = true
		return delivery
	}
	if kind == fake.KindState {
		delivery.ResponseDelay += tw.stateLatency
	}
	delivery.LoseRequest = tw.random.IntN(100) < tw.lossPercent
	delivery.LoseResponse = tw.random.IntN(100) < tw.lossPercent
	if tw.random.IntN(100) < tw.duplicatePercent {
		delivery.DuplicateAfter = tw.randomMillis(500, 20_000)
	}
	return delivery
}

// run submits jobs and injects faults, and then lets time pass until most jobs have ended.
func (tw *traceWorld) run() {
	tw.world.Run(tw.randomMillis(500, 6000))
	for range tw.randomInt(20, 45) {
		switch tw.random.IntN(5) {
		case 0, 1:
			tw.submit()
			tw.submit()
		case 2:
			tw.sendRequest()
		case 3:
			tw.injectFault()
		case 4:
			tw.injectMachineFault()
		}
		tw.world.Run(tw.randomMillis(50, 6000))
		tw.world.PollAll()
	}
	tw.lossPercent, tw.duplicatePercent, tw.stateLatency = 0, 0, 0
	for range 12 {
		tw.world.Run(8 * time.Second)
		tw.world.PollAll()
		tw.sendRequest()
	}
}

func (tw *traceWorld) submit() {
	if tw.submitted >= maxTraceJobs {
		return
	}
	tw.submitted++
	s := job(tw.submitted, protocol.JobKind(tw.random.IntN(3)), tw.randomInt(1, 6))
	s.Class = fmt.Sprintf("c%d", tw.random.IntN(3))
	s.Priority = protocol.Priority(tw.random.IntN(4))
	s.Team = tw.teams[tw.random.IntN(len(tw.teams))]
	s.Spot = tw.oneIn(2)
	s.CPUs = float64(tw.randomInt(1, 4))
	s.Image = fmt.Sprintf("image-%d", tw.random.IntN(3))
	s.ImageGB = float64(tw.randomInt(1, 12))
	if tw.oneIn(6) {
		s.GPUs = float64(tw.randomInt(1, 2))
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
		s.DeadlineS = float64(tw.randomInt(10, 60))
	}
	if s.Kind == protocol.Array && tw.oneIn(5) {
		s.Tasks = tw.randomInt(40, 160) // several blocks
	}
	for i := 1; i < tw.submitted; i++ {
		if p := tw.job(i); p != nil && p.Accepted && p.Submission.Kind != protocol.Service && tw.oneIn(8) {
			s.Prerequisites = append(s.Prerequisites, p.Submission.ID)
		}
	}
	if s.Kind == protocol.Service || tw.oneIn(4) {
		s.CheckpointIntervalS = 0
	}
	j := tw.world.Submit(s, tw.randomMillis(1000, 15_000))
	j.AlwaysFails = tw.oneIn(15)
}

func (tw *traceWorld) job(number int) *fake.Job {
	return tw.world.Jobs[fmt.Sprintf("wk-%06d", number)]
}

func (tw *traceWorld) randomJob() *fake.Job {
	if tw.submitted == 0 {
		return nil
	}
	return tw.job(tw.randomInt(1, tw.submitted))
}

func (tw *traceWorld) randomController() *fake.Controller {
	return tw.world.Controllers[tw.random.IntN(len(tw.world.Controllers))]
}

// sendRequest sends a random request of a user or an operator.
func (tw *traceWorld) sendRequest() {
	ignore := func(message.Reply) {}
	j := tw.randomJob()
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
		tw.world.SubmitInvalidJobs()
	case 3:
		if j != nil && j.Accepted {
			tw.world.PollAndResubmitEverywhere(j)
		}
	case 4:
		if j != nil && j.Accepted && !j.CancelRequested && j.Submission.Kind != protocol.Service {
			tw.world.RunUntil(10*time.Second, func() bool { return len(j.DoneTasks) == j.Submission.Tasks })
			tw.world.CancelEverywhere(j)
		}
	case 5:
		tw.randomController().Request(message.AdminRequest{Kind: message.AdminStatus}, ignore)
	case 6:
		change := fmt.Sprintf(`{"sample": %d, "warm_room": %d, "idle_s": %d, "moves_per_min": %d}`,
			tw.randomInt(1, 64), tw.random.IntN(4), tw.random.IntN(8), tw.random.IntN(300))
		tw.randomController().Request(message.AdminRequest{Kind: message.AdminChangeOptions, Body: []byte(change)}, ignore)
	case 7:
		if j != nil {
			tw.randomController().Request(message.AdminRequest{Kind: message.AdminJob, Job: j.Submission.ID}, ignore)
		}
		tw.randomController().Request(message.AdminRequest{Kind: message.AdminReadOptions}, ignore)
	}
}

// injectFault causes a random fault of the controllers, the state service, the cloud or the network.
func (tw *traceWorld) injectFault() {
	w := tw.world
	switch n := tw.randomController(); tw.random.IntN(11) {
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
		n.PausedUntil = w.Now + tw.randomMillis(100, 12_000)
	case 4:
		left, stall := tw.random.IntN(30), tw.randomMillis(100, 20_000)
		n.StallBefore = func(message.Effect) time.Duration {
			if left--; left != 0 {
				return 0
			}
			return stall
		}
	case 5:
		w.State.SetOutage(true)
		w.After(tw.randomMillis(500, 20_000), func() { w.State.SetOutage(false) })
	case 6:
		w.State.Unreachable[n.Name] = true
		w.After(tw.randomMillis(500, 20_000), func() { w.State.Unreachable[n.Name] = false })
	case 7:
		tw.partition(n.Name, tw.randomMillis(1000, 30_000), "state", "cloud", "n0", "n1", "n2", "n3", "n4")
	case 8:
		w.Cloud.RefuseRequests = true
		w.After(tw.randomMillis(500, 20_000), func() { w.Cloud.RefuseRequests = false })
	case 9:
		tw.lossPercent, tw.duplicatePercent = tw.random.IntN(20), tw.random.IntN(15)
	case 10:
		tw.stateLatency = tw.randomMillis(20, 800)
		w.After(tw.randomMillis(500, 15_000), func() { tw.stateLatency = 0 })
	}
	if tw.world.Cfg.Settings.State.Next != nil && tw.oneIn(20) {
		w.State.LowerLimits()
	}
}

// injectMachineFault causes a random fault of a machine.
func (tw *traceWorld) injectMachineFault() {
	w := tw.world
	names := w.MachineNames()
	if len(names) == 0 {
		return
	}
	name := names[tw.random.IntN(len(names))]
	switch worker := w.Workers[name]; tw.random.IntN(6) {
	case 0:
		worker.HangUntil = w.Now + tw.randomMillis(500, 25_000)
	case 1:
		w.AnnounceInterruption(name, tw.randomMillis(500, 15_000))
	case 2:
		w.Cloud.Fail(name)
	case 3:
		worker.FailsTasks = true
		w.After(tw.randomMillis(1000, 25_000), func() { worker.FailsTasks = false })
	case 4:
		controllers := make([]string, len(w.Controllers))
		for i, n := range w.Controllers {
			controllers[i] = n.Name
		}
		tw.partition(name, tw.randomMillis(1000, 30_000), controllers...)
	case 5:
		w.Cloud.FailNextBoots, w.Cloud.BootDelay = 1, tw.randomMillis(0, 5000)
	}
}

func (tw *traceWorld) crash(n *fake.Controller) {
	if !n.Up {
		return
	}
	n.Crash()
	tw.world.After(tw.randomMillis(0, 8000), n.Start)
}

// partition loses all messages between one process and others for the duration d.
func (tw *traceWorld) partition(name string, d time.Duration, others ...string) {
	set := func(blocked bool) {
		for _, other := range others {
			tw.blocked[name+">"+other], tw.blocked[other+">"+name] = blocked, blocked
		}
	}
	set(true)
	tw.world.After(d, func() { set(false) })
}
