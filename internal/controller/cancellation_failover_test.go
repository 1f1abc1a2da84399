package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
)

// failoverScenario is a day on which the state service refuses the leader alone, jobs are
// cancelled through the others, and then the state service is down for all, for
// longer than a cancellation may take. Times count from the refusal.
type failoverScenario struct {
	phase     time.Duration // by which the refusal is late against the workers' reports
	cancel    time.Duration
	outage    time.Duration
	peersCut  bool          // the old leader reaches no other controller, nor they it
	heals     time.Duration // when they reach each other again; 0: when all is over
	oneWay    bool          // the old leader still reaches the others, and hears their answers
	noOrders  bool          // direct commands don't arrive any more
	slow      bool          // answers of the state service take a second from before
	unread    bool          // what it says of the records is lost to whoever takes over
	unknowing bool          // so are its answers to whoever takes the term
	ends      time.Duration
	again     time.Duration // and after so long that process is back
	stands    time.Duration // the new leader's process stands still from then on, for 12 s
	restarts  bool          // and so does the old leader's, but it ends and is back at once
}

func (g failoverScenario) String() string {
	return strings.ReplaceAll(fmt.Sprintf("%+v", struct{ failoverScenario }{g}), " ", ",")
}

// run tells how many jobs were confirmed as cancelled, and how many of them while
// the old leader still answered a worker.
func (g failoverScenario) run(t *testing.T) (told, held int) {
	t.Helper()
	w := newWorld(t)
	var jobs []*fake.Job
	for i := range 4 {
		s := service(i+1, 2)
		s.CPUs = 2
		jobs = append(jobs, w.Submit(s, 0))
	}
	for _, j := range jobs {
		waitRunning(t, w, j.Submission.ID, 2)
	}
	kept := jobs[3] // which nobody cancels
	w.Run(4*time.Second + g.phase)
	from := w.Now
	at := func(d time.Duration, do func()) {
		if d > 0 {
			w.After(d, do)
		}
	}
	others := func(do func(*fake.Controller)) func() {
		return func() {
			for _, c := range w.Controllers[1:] {
				if c.AnswersWorkers() {
					do(c)
					return
				}
			}
		}
	}
	const down = 45 * time.Second
	w.Network = func(kind, a, b string) fake.Delivery {
		f := fake.Reliable()
		during := w.Now < from+g.outage+down
		cut := g.peersCut && during && (g.heals == 0 || w.Now < from+g.heals)
		f.LoseRequest = cut && (kind == fake.KindPeer || kind == fake.KindForward) && (a == "n0" && !g.oneWay || b == "n0") ||
			g.noOrders && during && kind == fake.KindCommands
		if kind == fake.KindState && during {
			if g.slow {
				f.ResponseDelay = 900 * time.Millisecond
			}
			f.LoseResponse = a != "n0" && (g.unknowing && w.Now > from+500*time.Millisecond || g.unread && w.Leader() == nil && w.Now > from+1500*time.Millisecond)
		}
		return f
	}
	w.State.Unreachable["n0"] = true
	for i, j := range jobs[:3] {
		at(g.cancel+time.Duration(i)*400*time.Millisecond, func() {
			if i == 0 {
				w.CancelEverywhere(j)
			} else {
				w.CancelJob(j)
			}
		})
	}
	at(g.outage, func() { w.State.SetOutage(true) })
	at(g.outage+down, func() { w.State.SetOutage(false); delete(w.State.Unreachable, "n0") })
	at(g.ends, others(func(n *fake.Controller) {
		n.Crash()
		at(g.again, n.Start)
	}))
	at(g.stands, others(func(n *fake.Controller) { n.PausedUntil = w.Now + 12*time.Second }))
	if g.restarts {
		at(g.outage+2*time.Second, func() { w.Controllers[0].Crash(); w.Controllers[0].Start() })
	}
	counted := map[*fake.Job]bool{}
	for w.Now < from+g.outage+down+40*time.Second {
		w.Run(500 * time.Millisecond)
		for _, j := range jobs {
			if !g.peersCut || int(w.Now/time.Second)%3 == 0 {
				w.QueryEverywhere(j)
			}
			if j.Cancelled && !counted[j] {
				counted[j] = true
				told++
				if len(w.MachinesOf(j.Submission.ID)) > 0 {
					held++
				}
			}
		}
	}
	startDown(w)
	w.Run(30 * time.Second)
	if len(w.Violations) > 0 {
		t.Fatalf("%s: %s\n%s", g, strings.Join(w.Violations, "\n"), logTail(w, 60))
	}
	for _, j := range jobs[:3] {
		if !j.Cancelled || len(w.MachinesOf(j.Submission.ID)) > 0 {
			t.Fatalf("%s: %s told %q, on %v", g, j.Submission.ID, j.Status, w.MachinesOf(j.Submission.ID))
		}
	}
	if n := w.Running(kept.Submission.ID); n != 2 {
		t.Fatalf("%s: %d of 2 replicas of the job that was not cancelled run\n%s", g, n, logTail(w, 60))
	}
	return told, held
}

// The users' gap, swept: at every offset of cancellation and outage from the
// refusal, and of the refusal from the workers' reports, whoever was told that a
// job is cancelled finds its tasks gone in time, by the world's own record.
func TestCancellationDuringFailover(t *testing.T) {
	kinds := map[string]failoverScenario{
		"plain":                                        {},
		"old leader alone":                             {peersCut: true},
		"slow answers":                                 {slow: true},
		"records not read":                             {unread: true},
		"term not known":                               {unknowing: true},
		"term not known, alone":                        {unknowing: true, peersCut: true},
		"records not read, alone":                      {unread: true, peersCut: true},
		"new leader ends":                              {ends: 6 * time.Second},
		"new leader ends, alone":                       {ends: 6 * time.Second, peersCut: true},
		"new leader is back at once":                   {ends: 5 * time.Second, again: 200 * time.Millisecond, peersCut: true},
		"new leader ends early":                        {ends: 2200 * time.Millisecond, again: 3 * time.Second, peersCut: true},
		"new leader stands still":                      {stands: 4 * time.Second, peersCut: true},
		"old leader hears the next process of the new": {peersCut: true, outage: 7 * time.Second, ends: 9 * time.Second, again: 200 * time.Millisecond, heals: 10 * time.Second},
		"old leader can ask and not be asked":          {peersCut: true, oneWay: true},
		"no direct commands":                           {noOrders: true},
		"no direct commands, alone":                    {noOrders: true, peersCut: true},
		"old leader is back at once":                   {restarts: true},
		"old leader restarts, others":                  {restarts: true, ends: 4 * time.Second, again: time.Second},
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			told, held := 0, 0
			steps, phases := 5, 2
			if *fine {
				steps, phases = 16, 5
			}
			for phase := range phases {
				for cancel := range steps {
					for outage := range steps {
						g := kind
						g.phase = 2 * time.Second * time.Duration(phase) / time.Duration(phases) // of the time between two reports
						g.cancel = 100*time.Millisecond + 3*time.Second*time.Duration(cancel)/time.Duration(steps)
						o := float64(outage) / float64(steps-1)
						if kind.outage > 0 {
							g.outage += time.Duration(o * float64(time.Second))
						} else {
							g.outage = 500*time.Millisecond + time.Duration(o*o*11.5*float64(time.Second))
						}
						a, b := g.run(t)
						told, held = told+a, held+b
					}
				}
			}
			t.Logf("%d cancellations confirmed, %d while a task was on a machine", told, held)
			if told == 0 {
				t.Error("nobody was told anything: this day shows nothing")
			}
		})
	}
}
