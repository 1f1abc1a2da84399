package fake

import (
	"container/heap"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/coordination"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

func sec(s float64) time.Duration { return config.Seconds(s) }

// Fate is what the network does to one exchange.
type Fate struct {
	Request, Answer         time.Duration
	LoseRequest, LoseAnswer bool
	Copy                    time.Duration // a second delivery of the request, so much later; 0: none
}

// Job is a job as its user and its tasks know it.
type Job struct {
	Sub       protocol.Submission
	Run       time.Duration
	Broken    bool
	Saved     map[int]time.Duration
	DoneTasks map[int]bool

	Began     bool // a task was on a machine
	Refused   int  // its submission was refused for good, with this status
	Accepted  bool
	Cancel    bool // its user asked to cancel
	CancelAt  time.Duration
	Cancelled bool // and was told that it is
	Told      string
	toldAt    time.Duration
	ancestors map[*Job]bool // see World.ancestors
	// AnsweredAt is when a question about it was last answered with 200; 0: never.
	AnsweredAt time.Duration
}

// Node is a controller and its process.
type Node struct {
	w       *World
	Name    string
	Index   int
	Up      bool
	node    *coordination.Node
	began   time.Duration
	drift   float64
	life    int
	nextID  uint64
	replies map[uint64]func(coordination.Reply)
	// Paused until then: the process has no processor time.
	PausedUntil time.Duration
	// ClockOff is how far its time of day is ahead.
	ClockOff time.Duration
	// Old makes it run as the version in production would, as far as that shows in
	// what it stores: see World.Production. It counts from the next start.
	Old bool
	old bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// World holds everything, and checks the rules as it goes.
type World struct {
	Now     time.Duration
	Cfg     *config.Config
	State   *State
	Cloud   *Cloud
	Nodes   []*Node
	Workers map[string]*Worker
	Jobs    map[string]*Job
	// Network decides what happens to each exchange; nil: all is well.
	Network func(kind, from, to string) Fate
	// Broken lists the rules that were broken.
	Broken []string
	// Log has the nodes' lines.
	Log []string
	// Overheard is told of every report that a worker sends, so that a test can
	// keep copies and hand them in later.
	Overheard func(r protocol.Report)

	// HoldsWrites has Network tell writes of pages apart, as "write", from the other
	// calls to the state service.
	HoldsWrites bool
	// Production is what is left of a stored value once the version in production has
	// read it and written it back.
	Production func(key string, value []byte) []byte

	workerNames []string
	jobNames    []string
	queue       events
	seq         int
	seeds       uint64
}

// Settings gives small figures for a test.
func Settings() config.Settings {
	return config.Settings{
		Size: 3, Zones: []string{"a", "b"},
		Teams: []config.Team{
			{Name: "red", CPUs: 8, CPUsMax: 12},
			{Name: "blue", CPUs: 4},
		},
		Workers: config.Workers{Report: 2, Lease: 10, GangWait: 15, GangPeer: 3, Cancel: 25},
		State:   config.State{RPS: 200, WriteRPS: 40, ValueKB: 2, TxnOps: 4},
		Cloud:   config.Cloud{RPS: 4, ListLag: 4},
		Limits:  config.Limits{CPU: 0.2, MemMB: 96, MaxConnections: 400},
	}
}

// Types are the machine types that the fake cloud rents.
func Types() []protocol.MachineType {
	return []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 100, FetchRate: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 100, FetchRate: 2, Price: 4.4, SpotPrice: 1.5, BootS: 8, Zones: []string{"a"}},
	}
}

// NewWorld makes a world with as many controllers as the settings say, which have just
// started.
func NewWorld(s config.Settings) *World {
	w := &World{Cfg: &config.Config{Settings: s}, Workers: map[string]*Worker{}, Jobs: map[string]*Job{}}
	w.State = newState(w, s.State)
	w.Cloud = &Cloud{w: w, types: Types(), requests: map[string][]string{}, Most: 16}
	drifts := []float64{0, 0.0005, -0.0005}
	for i := range s.Size {
		w.Nodes = append(w.Nodes, &Node{w: w, Name: "n" + strconv.Itoa(i), Index: i, drift: drifts[i%len(drifts)]})
	}
	for _, n := range w.Nodes {
		n.Start()
	}
	return w
}

// After plans something.
func (w *World) After(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.Now + d, w.seq, do})
}

const step = 50 * time.Millisecond

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now + d
	for w.Now < end {
		next := w.Now + step
		for len(w.queue) > 0 && w.queue[0].at <= next {
			e := heap.Pop(&w.queue).(event)
			w.Now = max(w.Now, e.at)
			e.do()
		}
		w.Now = next
		for _, name := range w.workerNames {
			w.Workers[name].tick()
		}
		for _, n := range w.Nodes {
			n.step(coordination.Tick{})
		}
		w.checkAlways()
	}
}

// Until runs until a condition holds, for so long at most.
func (w *World) Until(d time.Duration, ok func() bool) bool {
	end := w.Now + d
	for w.Now < end {
		if ok() {
			return true
		}
		w.Run(step)
	}
	return ok()
}

func (w *World) fail(rule, format string, args ...any) {
	if len(w.Broken) < 20 {
		w.Broken = append(w.Broken, fmt.Sprintf("%8.2f %s: %s", w.Now.Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

func (w *World) fate(kind, from, to string) Fate {
	if w.Network != nil {
		return w.Network(kind, from, to)
	}
	return Well()
}

// Well is a network without faults.
func Well() Fate { return Fate{Request: 2 * time.Millisecond, Answer: 2 * time.Millisecond} }

// --- nodes

// Start starts a node's process.
func (n *Node) Start() {
	n.w.seeds++
	cfg := *n.w.Cfg
	cfg.Node, cfg.Peers = n.Name, nil
	if n.old = n.Old; n.old {
		cfg.Settings.State.Next = nil
	}
	for _, p := range n.w.Nodes {
		if p != n {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: p.Name})
		}
	}
	n.Up, n.began, n.replies = true, n.w.Now, map[uint64]func(coordination.Reply){}
	n.life++
	n.node = coordination.New(&cfg, fmt.Sprintf("%s-%d", n.Name, n.life), n.w.seeds)
}

// Crash kills a node's process.
func (n *Node) Crash() { n.Up, n.node = false, nil }

// Leads tells whether the node believes that it leads.
func (n *Node) Leads() bool { return n.Up && n.node.Role() == "leader" }

// Holds tells whether the node leads, or is in doubt and still answers workers.
func (n *Node) Holds() bool { return n.Up && n.node.Leads() }

// Healthy is what the node tells the load balancer.
func (n *Node) Healthy() bool { return n.Up && n.node.Healthy() }

// Stats are the process's counts.
func (n *Node) Stats() coordination.Stats { return n.node.Stats }

// Leader is the node that leads, if any.
func (w *World) Leader() *Node {
	for _, n := range w.Nodes {
		if n.Leads() {
			return n
		}
	}
	return nil
}

func (n *Node) deliver(command any, reply func(coordination.Reply)) {
	if !n.Up {
		return
	}
	if n.w.Now < n.PausedUntil {
		life := n.life
		n.w.After(n.PausedUntil-n.w.Now, func() {
			if n.life == life {
				n.deliver(command, reply)
			}
		})
		return
	}
	n.nextID++
	n.replies[n.nextID] = reply
	switch c := command.(type) {
	case coordination.UserCall:
		c.ID = n.nextID
		command = c
	case coordination.ReportCall:
		c.ID = n.nextID
		command = c
	case coordination.StepDownCall:
		c.ID = n.nextID
		command = c
	case coordination.AdminCall:
		c.ID = n.nextID
		command = c
	}
	n.step(command)
}

func (n *Node) step(command any) {
	if !n.Up || n.w.Now < n.PausedUntil {
		return
	}
	mono := time.Duration(float64(n.w.Now-n.began) * (1 + n.drift))
	now := coordination.Now{Mono: mono, WallMs: (n.w.Now + n.ClockOff).Milliseconds() + 1_000_000}
	for _, e := range n.node.Step(now, []any{command}) {
		n.carryOut(e, command)
	}
}

// call has a request executed and its result brought back, as the network will.
func (n *Node) call(kind, to string, wait time.Duration, execute func() (any, bool), lost any) {
	w, life := n.w, n.life
	f := w.fate(kind, n.Name, to)
	over := false
	finish := func(r any) {
		if !over && n.Up && n.life == life {
			over = true
			n.back(r, life)
		}
	}
	w.After(wait, func() { finish(lost) })
	if f.Copy > 0 {
		w.After(f.Copy, func() { execute() })
	}
	if f.LoseRequest {
		return
	}
	w.After(f.Request, func() {
		r, answered := execute()
		if answered && !f.LoseAnswer {
			w.After(f.Answer, func() { finish(r) })
		}
	})
}

// back brings a result to the process, once it has processor time.
func (n *Node) back(r any, life int) {
	if !n.Up || n.life != life {
		return
	}
	if n.w.Now < n.PausedUntil {
		n.w.After(n.PausedUntil-n.w.Now, func() { n.back(r, life) })
		return
	}
	n.step(r)
}

func (n *Node) carryOut(effect, cause any) {
	w := n.w
	report := sec(w.Cfg.Settings.Workers.Report)
	switch e := effect.(type) {
	case coordination.Reply:
		if f := n.replies[e.ID]; f != nil {
			delete(n.replies, e.ID)
			f(e)
		}
	case coordination.Forward:
		reply := n.replies[e.ID]
		delete(n.replies, e.ID)
		for _, p := range w.Nodes {
			if p.Name == e.Peer {
				f := w.fate("forward", n.Name, p.Name)
				if f.LoseRequest {
					return
				}
				w.After(f.Request, func() {
					p.deliver(cause, func(r coordination.Reply) {
						if !f.LoseAnswer {
							w.After(f.Answer, func() { reply(r) })
						}
					})
				})
			}
		}
	case storage.StateCall:
		if n.old {
			e.Txn = w.asProduction(e.Txn)
		}
		old := n.old // a late request is still the old process's
		kind := "state"
		if len(e.Txn.Then) > 0 && e.Txn.Then[0].Put != coordination.LeaderKey && w.HoldsWrites {
			kind = "write"
		}
		n.call(kind, "state", report/2, func() (any, bool) { return w.State.execute(n.Name, old, e), true },
			storage.StateResult{ID: e.ID, Outcome: storage.Lost})
	case coordination.CloudCall:
		n.call("cloud", "cloud", report, func() (any, bool) { return w.Cloud.execute(e), true },
			coordination.CloudResult{ID: e.ID, Outcome: coordination.Lost})
	case coordination.OrdersCall:
		for _, c := range e.Commands {
			if j := w.Jobs[c.Attempt.Job]; c.Verb == protocol.Start && j != nil && j.Cancelled {
				w.fail("started_cancelled", "%s sends a start of %s, which its user was told is cancelled", n.Name, c.Attempt.Job)
			}
		}
		n.call("orders", e.Host, report*3/4, func() (any, bool) {
			k := w.Workers[e.Host]
			if k == nil || k.gone {
				return nil, false
			}
			if w.Now < k.HangUntil { // executed when it resumes
				w.After(k.HangUntil-w.Now, func() {
					if !k.gone {
						k.orders(e)
					}
				})
				return nil, false
			}
			return k.orders(e), true
		}, coordination.OrdersResult{ID: e.ID, Host: e.Host, Outcome: coordination.Lost})
	case coordination.PeerCall:
		life := n.life
		for _, p := range w.Nodes {
			if p.Name != e.Peer {
				continue
			}
			f := w.fate("peer", n.Name, p.Name)
			if f.LoseRequest || !p.Up {
				continue
			}
			w.After(f.Request, func() {
				p.deliver(coordination.StepDownCall{Term: e.Term, Leader: n.Name}, func(r coordination.Reply) {
					var a protocol.StepDownAnswer
					if f.LoseAnswer || r.Status != 200 || protocol.Decode(r.Body, &a) != nil {
						return
					}
					w.After(f.Answer, func() {
						n.back(coordination.PeerResult{PeerCall: e, StepDownAnswer: a}, life)
					})
				})
			})
		}
	case coordination.Log:
		w.Log = append(w.Log, fmt.Sprintf("%8.2f %s %s %v", w.Now.Seconds(), n.Name, e.Text, e.Args))
	}
}

// --- users

// Submit hands a job in, and again until it is accepted, as users do.
func (w *World) Submit(s protocol.Submission, run time.Duration) *Job {
	j := &Job{Sub: s, Run: run, Saved: map[int]time.Duration{}, DoneTasks: map[int]bool{}}
	w.Jobs[s.ID] = j
	w.jobNames = append(w.jobNames, s.ID)
	w.submit(j)
	return j
}

func (w *World) submit(j *Job) {
	s, asked := j.Sub, w.Now
	w.ask(coordination.UserCall{Kind: coordination.Submit, Job: s.ID, Submit: &s}, func(r coordination.Reply, ok bool) {
		switch {
		case ok && (r.Status == 200 || r.Status == 201):
			j.Accepted = true
			w.told(j, r, asked)
		case ok && (r.Status == 400 || r.Status == 422):
			if j.Accepted {
				w.fail("forgotten", "%s: a repeat got %d", s.ID, r.Status)
			}
			j.Refused = r.Status
		default:
			w.After(time.Second, func() { w.submit(j) })
		}
	})
}

// Again hands an accepted job in once more.
func (w *World) Again(j *Job) { w.submit(j) }

// ask sends a user's request to some node.
func (w *World) ask(c coordination.UserCall, done func(coordination.Reply, bool)) {
	w.seq++
	w.askAt(w.Nodes[w.seq%len(w.Nodes)], c, done)
}

func (w *World) askAt(n *Node, c coordination.UserCall, done func(coordination.Reply, bool)) {
	over := false
	w.After(5*time.Second, func() {
		if !over {
			over = true
			done(coordination.Reply{}, false)
		}
	})
	n.deliver(c, func(r coordination.Reply) {
		if !over {
			over = true
			done(r, true)
		}
	})
}

// PollAll asks about every job, and about one that nobody has submitted.
func (w *World) PollAll() {
	for _, id := range w.jobNames {
		w.seq++
		w.poll(w.Nodes[w.seq%len(w.Nodes)], w.Jobs[id])
	}
	w.ask(coordination.UserCall{Kind: coordination.Poll, Job: "wk-999999"}, func(r coordination.Reply, ok bool) {
		if ok && r.Status == 200 {
			w.fail("invented", "a job that nobody submitted")
		}
	})
}

func (w *World) poll(n *Node, j *Job) {
	was, asked := j.Accepted || j.AnsweredAt > 0, w.Now
	w.askAt(n, coordination.UserCall{Kind: coordination.Poll, Job: j.Sub.ID}, func(r coordination.Reply, ok bool) {
		if ok && r.Status == 404 && was {
			w.fail("forgotten", "%s", j.Sub.ID)
		}
		if ok && r.Status == 200 {
			w.told(j, r, asked)
		}
	})
}

// CloseLook asks about a job at every node at once, and hands it in again there.
func (w *World) CloseLook(j *Job) {
	for _, n := range w.Nodes {
		w.poll(n, j)
		s, asked, was := j.Sub, w.Now, j.Accepted || j.AnsweredAt > 0
		w.askAt(n, coordination.UserCall{Kind: coordination.Submit, Job: s.ID, Submit: &s}, func(r coordination.Reply, ok bool) {
			switch {
			case ok && (r.Status == 400 || r.Status == 422):
				w.fail("forgotten", "%s: a repeat got %d", s.ID, r.Status)
			case ok && r.Status == 201 && was:
				w.fail("forgotten", "%s: a repeat was accepted as new", s.ID)
			case ok && (r.Status == 200 || r.Status == 201):
				j.Accepted = true
				w.told(j, r, asked)
			}
		})
	}
}

// OddRequests sends what users send at times: jobs that can't run, of a team that
// nobody knows, too large for any machine or for their team's limit. Each is
// refused for good, or for now, and never accepted.
func (w *World) OddRequests() {
	for i, change := range []func(*protocol.Submission){
		func(s *protocol.Submission) { s.Team = "nobody" },
		func(s *protocol.Submission) { s.CPUs = 1e6 },
		func(s *protocol.Submission) { s.Types = []string{"nothing"} },
		func(s *protocol.Submission) { s.Team, s.Shape, s.Tasks = "red", protocol.Gang, 1000 },
	} {
		s := protocol.Submission{ID: fmt.Sprintf("wk-9%05d", i), Class: "odd", Team: "blue", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img"}
		change(&s)
		w.ask(coordination.UserCall{Kind: coordination.Submit, Job: s.ID, Submit: &s}, func(r coordination.Reply, ok bool) {
			if ok && r.Status != 422 && r.Status != 503 {
				w.fail("accepted", "%s, which can't run: %d", s.ID, r.Status)
			}
		})
	}
}

// CancelEverywhere asks every node at once to cancel a job, and repeats that as
// users do.
func (w *World) CancelEverywhere(j *Job) {
	for _, n := range w.Nodes {
		w.cancelAt(n, j)
	}
}

// told checks what a user hears against what was so and what was said before.
func (w *World) told(j *Job, r coordination.Reply, asked time.Duration) {
	var a protocol.JobAnswer
	if err := protocol.Decode(r.Body, &a); err != nil || a.ID != j.Sub.ID {
		w.fail("answer", "%s: %v", j.Sub.ID, err)
		return
	}
	j.AnsweredAt = w.Now
	w.checkPipeline(j, a.Status, asked)
	if asked < j.toldAt && a.Status != protocol.StatusDone && a.Status != protocol.StatusCancelled {
		return // asked before the last answer was heard: the two may cross
	}
	if a.Status == protocol.StatusDone && len(j.DoneTasks) < j.Sub.Tasks {
		w.fail("not_done", "%s: %d of %d", a.ID, len(j.DoneTasks), j.Sub.Tasks)
	}
	if a.Status == protocol.StatusCancelled && !j.Cancel && !w.calledOff(j) {
		w.fail("went_back", "%s: cancelled, and nobody asked", a.ID)
	}
	if (j.Told == protocol.StatusDone || j.Told == protocol.StatusCancelled) && a.Status != j.Told {
		w.fail("went_back", "%s: %s after %s", a.ID, a.Status, j.Told)
	}
	if j.Told != a.Status {
		w.Log = append(w.Log, fmt.Sprintf("%8.2f user is told %s is %s", w.Now.Seconds(), a.ID, a.Status))
	}
	j.Told, j.toldAt = a.Status, w.Now
	if a.Status == protocol.StatusCancelled && !j.Cancelled {
		j.Cancelled, j.CancelAt = true, w.Now
	}
}

// CancelJob asks to cancel a job, again and again until that is answered.
func (w *World) CancelJob(j *Job) {
	w.seq++
	w.cancelAt(w.Nodes[w.seq%len(w.Nodes)], j)
}

func (w *World) cancelAt(n *Node, j *Job) {
	j.Cancel = true
	asked := w.Now
	w.askAt(n, coordination.UserCall{Kind: coordination.Cancel, Job: j.Sub.ID}, func(r coordination.Reply, ok bool) {
		if ok && r.Status == 200 {
			w.told(j, r, asked)
			return
		}
		if ok && r.Status == 404 && j.Accepted {
			w.fail("forgotten", "%s: cancelling it got 404", j.Sub.ID)
		}
		w.After(time.Second, func() { w.CancelJob(j) })
	})
}

func (w *World) attempt(piece string, try int64) (protocol.Attempt, bool) {
	job, index, ok := strings.Cut(piece, "/")
	n, err := strconv.Atoi(index)
	return protocol.Attempt{Job: job, Task: n, Try: try}, ok && err == nil
}

// --- rules

func (w *World) each(f func(k *Worker, t *work)) {
	for _, name := range w.workerNames {
		k := w.Workers[name]
		for _, t := range sortedTasks(k.tasks) {
			if t.on {
				f(k, t)
			}
		}
	}
}

// checkStart checks the rules for a task that has just got its image.
func (w *World) checkStart(k *Worker, t *work) {
	j := t.job
	zones := map[string]int{k.m.Zone: 1}
	w.each(func(k2 *Worker, t2 *work) {
		if t2 == t || t2.Job != t.Job {
			return
		}
		if t2.Task == t.Task {
			w.fail("ran_twice", "%s/%d on %s while on %s", t.Job, t.Task, k.m.Host, k2.m.Host)
		}
		zones[k2.m.Zone]++
	})
	s := j.Sub
	if s.Types != nil && !slices.Contains(s.Types, k.m.Type) || s.Zone != "" && s.Zone != k.m.Zone || !s.Spot && k.m.Spot ||
		s.OneZone && len(zones) > 1 || s.Spread && zones[k.m.Zone] > (s.Tasks+1)/2 {
		w.fail("wrong_place", "%s/%d on %s (%s, %s, spot %v), zones %v", t.Job, t.Task, k.m.Host, k.m.Type, k.m.Zone, k.m.Spot, zones)
	}
	if j.Cancelled && w.Now > j.CancelAt+sec(w.Cfg.Settings.Workers.Cancel) {
		w.fail("ran_cancelled", "%s/%d started", t.Job, t.Task)
	}
	j.Began = true
	for _, p := range w.prerequisites(j) {
		if len(p.DoneTasks) < p.Sub.Tasks {
			w.fail("too_early", "%s/%d started, and %s is not done", t.Job, t.Task, p.Sub.ID)
		}
	}
}

func (w *World) checkAlways() {
	use := map[string][2]float64{}
	w.each(func(_ *Worker, t *work) {
		u := use[t.job.Sub.Team]
		use[t.job.Sub.Team] = [2]float64{u[0] + t.job.Sub.CPUs, u[1] + t.job.Sub.GPUs}
		if t.job.Cancelled && w.Now > t.job.CancelAt+sec(w.Cfg.Settings.Workers.Cancel) {
			w.fail("ran_cancelled", "%s/%d is still on a machine", t.Job, t.Task)
		}
	})
	for _, t := range w.Cfg.Settings.Teams {
		u := use[t.Name]
		if t.CPUsMax > 0 && u[0] > t.CPUsMax+1e-6 || t.GPUsMax > 0 && u[1] > t.GPUsMax+1e-6 {
			w.fail("quota", "%s uses %v", t.Name, u)
		}
	}
	leaders := 0
	for _, n := range w.Nodes {
		if n.Leads() && w.Now >= n.PausedUntil {
			leaders++
		}
	}
	if leaders > 1 {
		w.fail("term", "%d nodes are certain to lead", leaders)
	}
}

func (w *World) members(t *work, f func(*work)) {
	w.each(func(_ *Worker, t2 *work) {
		if t2.Job == t.Job && t2.Try == t.Try {
			f(t2)
		}
	})
}

// gangComplete tells whether every task of the attempt waits or runs.
func (w *World) gangComplete(t *work) bool {
	n := 0
	w.members(t, func(*work) { n++ })
	return n == t.job.Sub.Tasks
}

// gangWhole tells whether no task of a running gang has been lost; a moment is
// allowed for all to begin.
func (w *World) gangWhole(t *work) bool {
	return w.Now-t.ran < time.Second || w.gangComplete(t) || t.job.DoneTasks[t.Task]
}

// Running counts a job's tasks that run.
func (w *World) Running(id string) int {
	n := 0
	w.each(func(_ *Worker, t *work) {
		if t.Job == id && t.State == protocol.Running {
			n++
		}
	})
	return n
}

// On names the machines on which a job has tasks.
func (w *World) On(id string) []string {
	var out []string
	w.each(func(k *Worker, t *work) {
		if t.Job == id {
			out = append(out, k.m.Host)
		}
	})
	return out
}

// Names lists the machines that are up.
func (w *World) Names() []string {
	var out []string
	for _, name := range w.workerNames {
		if !w.Workers[name].gone {
			out = append(out, name)
		}
	}
	return out
}

// Notice has the cloud take a machine after a time.
func (w *World) Notice(name string, in time.Duration) {
	if k := w.Workers[name]; k != nil && !k.gone {
		k.notice = w.Now + in
		k.soon()
	}
}

// KindOf is a machine's type.
func (w *World) KindOf(name string) string { return w.Workers[name].m.Type }

// ZoneOf is a machine's zone.
func (w *World) ZoneOf(name string) string { return w.Workers[name].m.Zone }

// Session is a worker's present session.
func (w *World) Session(name string) int64 { return w.Workers[name].session }

// Ask hands a node a request, and its reply to a function.
func (n *Node) Ask(command any, reply func(coordination.Reply)) { n.deliver(command, reply) }
