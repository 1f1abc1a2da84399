package coordination_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/coordination"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// lookClosely looks at a job at every node again and again within milliseconds, for so long.
func lookClosely(w *fake.World, jobs []*fake.Job, d time.Duration) {
	for at := time.Duration(0); at < d; at += 7 * time.Millisecond {
		w.After(at, func() {
			for _, j := range jobs {
				w.CloseLook(j)
			}
		})
	}
}

// Users look closely at jobs that have just been accepted, are about to end, or
// are being cancelled, at every node, while the leader ends, stands still, or
// loses the state service at any moment of that: the record only moves forward.
func TestCloseLooks(t *testing.T) {
	troubles := map[string]func(w *fake.World, at time.Duration){
		"none":        func(*fake.World, time.Duration) {},
		"leader ends": func(w *fake.World, at time.Duration) { w.After(at, w.Nodes[0].Crash) },
		"stands still": func(w *fake.World, at time.Duration) {
			w.After(at, func() { w.Nodes[0].PausedUntil = w.Now + 3*time.Second })
		},
		"refused": func(w *fake.World, at time.Duration) {
			w.After(at, func() { w.State.Cut["n0"] = true })
			w.After(at+6*time.Second, func() { delete(w.State.Cut, "n0") })
		},
		"answers lost": func(w *fake.World, at time.Duration) {
			from := w.Now + at
			w.Network = func(kind, _, _ string) fake.Fate {
				f := fake.Well()
				f.LoseAnswer = kind == "state" && w.Now >= from && w.Now < from+2*time.Second
				return f
			}
		},
	}
	slowly := func(w *fake.World) {
		w.Network = func(kind, _, _ string) fake.Fate {
			f := fake.Well()
			if kind == "state" {
				f.Request, f.Answer = 120*time.Millisecond, 30*time.Millisecond
			}
			return f
		}
	}
	troubles["slow writes"] = func(w *fake.World, _ time.Duration) { slowly(w) }
	troubles["slow writes, leader ends"] = func(w *fake.World, at time.Duration) { slowly(w); w.After(at/8, w.Nodes[0].Crash) }
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			steps := 12
			if *fine {
				steps = 60
			}
			told := map[string]int{}
			for step := range steps {
				w := world(t)
				spare(t, w)
				w.Run(time.Duration(step) * 30 * time.Millisecond)
				trouble(w, 1500*time.Millisecond*time.Duration(step)/time.Duration(steps))
				ends := w.Submit(job(1, protocol.Array, 2), 300*time.Millisecond)
				called := w.Submit(service(2, 1), 0)
				both := w.Submit(job(3, protocol.Array, 1), 500*time.Millisecond)
				jobs := []*fake.Job{ends, called, both}
				lookClosely(w, jobs, 3*time.Second)
				w.After(400*time.Millisecond, func() { w.CancelEverywhere(called) })
				for _, at := range []time.Duration{1000, 1600, 1900} { // about when it ends
					w.After(at*time.Millisecond, func() { w.CancelEverywhere(both) })
				}
				w.Run(10 * time.Second)
				pollFor(w, 18*time.Second)
				check(t, w)
				if ends.Told != protocol.StatusDone || called.Told != protocol.StatusCancelled {
					t.Errorf("step %d: told %q and %q", step, ends.Told, called.Told)
				}
				told[both.Told]++
			}
			if told[protocol.StatusDone]+told[protocol.StatusCancelled] != steps {
				t.Errorf("told %v", told)
			}
		})
	}
}

// Every kind of write of a day is carried out and its answer lost, or carried out
// only after newer ones, while others read: each is recognised, none counts twice.
func TestWritesWithoutAnswer(t *testing.T) {
	type meeting struct {
		share   int           // one of so many gets no answer
		late    time.Duration // and is carried out so much later; 0: at once
		crashes bool
	}
	for _, m := range []meeting{
		{2, 0, false}, {3, 0, true}, {3, 2 * time.Second, false}, {4, 12 * time.Second, true}, {2, 5 * time.Second, true}, {5, 700 * time.Millisecond, true},
	} {
		t.Run(fmt.Sprintf("one of %d, %v, %t", m.share, m.late, m.crashes), func(t *testing.T) {
			t.Parallel()
			for seed := range 8 {
				w := world(t)
				writes := seed
				until := w.Now + 60*time.Second
				w.Network = func(kind, _, _ string) fake.Fate {
					f := fake.Well()
					if kind == "state" && w.Now < until {
						if writes++; writes%m.share == 0 {
							f.LoseAnswer = true
							f.Request += m.late
						}
					}
					return f
				}
				var services []*fake.Job
				for i := range 12 {
					if i%3 == 0 {
						services = append(services, w.Submit(service(i+1, 1), 0))
					} else {
						w.Submit(job(i+1, protocol.Shape(i%2), 1+i%3), 4*time.Second)
					}
					w.Run(1700 * time.Millisecond)
					w.PollAll()
					if i == 8 {
						w.CancelEverywhere(services[0])
					}
				}
				if m.crashes {
					if l := w.Leader(); l != nil {
						l.Crash()
						w.After(2*time.Second, l.Start)
					}
				}
				pollFor(w, 120*time.Second)
				check(t, w)
				served(t, w)
				if services[0].Told != protocol.StatusCancelled {
					t.Errorf("told %q", services[0].Told)
				}
				rented := int64(0)
				for _, n := range w.Nodes {
					rented += n.Stats().Rented - n.Stats().Returned
				}
				if !m.crashes && rented != int64(len(w.Cloud.Rented())) {
					t.Errorf("%d machines known of %d", rented, len(w.Cloud.Rented()))
				}
			}
		})
	}
}

// Every team is at its limit. Jobs are cancelled whose machines are cut off, hang,
// or hear nothing, and the leader changes: what may still run counts, and once it
// is proved gone the room is used again.
func TestTeamsAtTheirLimitWhileMachinesAreAway(t *testing.T) {
	for _, trouble := range []string{"cut", "hang", "deaf", "mute"} {
		for _, change := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprint(trouble, change), func(t *testing.T) {
				t.Parallel()
				s := fake.Settings()
				s.Teams = []config.Team{{Name: "red", CPUs: 8, CPUsMax: 8}, {Name: "blue", CPUs: 4, CPUsMax: 4}}
				w := fake.NewWorld(s)
				w.Run(2 * time.Second)
				var first, next []*fake.Job
				for i, team := range []string{"red", "red", "blue"} {
					s := service(i+1, 2)
					s.Team, s.CPUs = team, 2
					first = append(first, w.Submit(s, 0))
				}
				for _, j := range first {
					runs(t, w, j.Sub.ID, 2)
				}
				for i, team := range []string{"red", "red", "blue"} {
					s := service(i+11, 2)
					s.Team, s.CPUs = team, 2
					next = append(next, w.Submit(s, 0))
				}
				w.Run(3 * time.Second)
				away, from := map[string]bool{}, w.Now
				for _, j := range first {
					away[w.On(j.Sub.ID)[0]] = true
				}
				const lasts = 30 * time.Second
				w.Network = func(_, a, b string) fake.Fate {
					f := fake.Well()
					if w.Now > from+lasts {
						return f
					}
					switch trouble {
					case "cut":
						f.LoseRequest = away[a] || away[b]
					case "deaf":
						f.LoseRequest, f.LoseAnswer = away[b], away[a]
					case "mute":
						f.LoseRequest = away[a]
					}
					return f
				}
				if trouble == "hang" {
					for h := range away {
						w.Workers[h].HangUntil = w.Now + lasts
					}
				}
				w.After(change, w.Leader().Crash)
				for _, j := range first {
					w.After(time.Second, func() { w.CancelEverywhere(j) })
				}
				w.Run(5 * time.Second)
				for _, n := range w.Nodes {
					if !n.Up {
						n.Start()
					}
				}
				for _, j := range next {
					runs(t, w, j.Sub.ID, 2)
				}
				w.Run(40 * time.Second)
				check(t, w)
				for _, j := range next {
					if n := w.Running(j.Sub.ID); n != 2 {
						t.Errorf("%s: %d run", j.Sub.ID, n)
					}
				}
			})
		}
	}
}

// One job after the other is cancelled in the seconds in which the leadership
// changes, by a leader that ends, is refused, gives up or stands still: from its
// last renewal to its successor's first placements.
func TestCancelledWhileTheLeadershipChanges(t *testing.T) {
	for _, how := range []string{"ends", "is refused", "stands still", "hears no worker"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			phases := 3
			if *fine {
				phases = 20
			}
			for phase := range phases {
				w := world(t)
				var jobs []*fake.Job
				for i := range 30 {
					s := service(i+1, 1)
					s.Team, s.CPUs = "blue", 1
					jobs = append(jobs, w.Submit(s, 0))
				}
				for _, j := range jobs {
					runs(t, w, j.Sub.ID, 1)
				}
				w.Run(3*time.Second + 2*time.Second*time.Duration(phase)/time.Duration(phases))
				n0 := w.Nodes[0]
				switch how {
				case "ends":
					n0.Crash()
				case "is refused":
					w.State.Cut["n0"] = true
				case "stands still":
					n0.PausedUntil = w.Now + 8*time.Second
				case "hears no worker":
					w.Network = func(kind, a, b string) fake.Fate {
						f := fake.Well()
						f.LoseRequest = kind == "report" && b == "n0" || kind == "orders" && a == "n0"
						return f
					}
				}
				for i, j := range jobs { // every 150 ms
					w.After(time.Duration(i)*150*time.Millisecond, func() {
						if i%2 == 0 {
							w.CancelEverywhere(j)
						} else {
							w.CancelJob(j)
						}
					})
				}
				for range 30 {
					w.Run(time.Second)
					for _, j := range jobs {
						w.CloseLook(j)
					}
				}
				delete(w.State.Cut, "n0")
				w.Network = nil
				w.Run(20 * time.Second)
				check(t, w)
				for _, j := range jobs {
					if !j.Cancelled || len(w.On(j.Sub.ID)) > 0 {
						t.Fatalf("%s: told %q, on %v", j.Sub.ID, j.Told, w.On(j.Sub.ID))
					}
				}
			}
		})
	}
}

// Machines are up at once and get work while writes lag, and the leader ends at
// any moment of that: every start that a worker has is recorded, no machine is
// forgotten, and none is rented twice for long.
func TestMachinesUpAtOnceWhileWritesLag(t *testing.T) {
	steps := 16
	if *fine {
		steps = 120
	}
	for step := range steps {
		w := world(t)
		for i := range w.Cloud.Types() {
			w.Cloud.Types()[i].BootS = 0.5
		}
		w.Run(3 * time.Second)
		lag := w.Now + 6*time.Second
		w.Network = func(kind, _, _ string) fake.Fate {
			f := fake.Well()
			if kind == "state" && w.Now < lag {
				f.Request, f.Answer = 350*time.Millisecond, 350*time.Millisecond
			}
			return f
		}
		var jobs []*fake.Job
		for i := range 6 {
			s := service(i+1, 2)
			s.CPUs = 2
			jobs = append(jobs, w.Submit(s, 0))
		}
		w.Run(6 * time.Second * time.Duration(step) / time.Duration(steps))
		if l := w.Leader(); l != nil {
			l.Crash()
			w.After(3*time.Second, l.Start)
		}
		for _, j := range jobs {
			runs(t, w, j.Sub.ID, 2)
		}
		w.Run(150 * time.Second) // every machine that isn't needed has been given back
		check(t, w)
		used := map[string]bool{}
		for _, j := range jobs {
			for _, h := range w.On(j.Sub.ID) {
				used[h] = true
			}
		}
		if have := len(w.Cloud.Rented()); have > len(used)+8 { // and what is kept free for the next
			t.Errorf("step %d: %d machines are rented, %d used", step, have, len(used))
		}
	}
}

// Reports of a worker are kept, from its earlier session too, and handed to every
// controller just as another leads: they prove neither that a task is absent nor
// that it is there, nor that the machine lives, nor that its lease has ended.
func TestOldReportsMeetANewLeader(t *testing.T) {
	for _, died := range []bool{false, true} {
		t.Run(fmt.Sprint("machine has died ", died), func(t *testing.T) {
			for step := range 20 {
				w := world(t)
				var kept []protocol.Report
				w.Overheard = func(r protocol.Report) {
					r.Tasks = slices.Clone(r.Tasks)
					kept = append(kept, r)
				}
				before := w.Submit(service(1, 2), 0)
				runs(t, w, before.Sub.ID, 2)
				host := w.On(before.Sub.ID)[0]
				if step%2 == 1 { // an earlier session: it hangs past its lease and comes back
					w.Workers[host].HangUntil = w.Now + 12*time.Second
					w.Run(14 * time.Second)
					runs(t, w, before.Sub.ID, 2)
				}
				after := w.Submit(service(2, 2), 0)
				runs(t, w, after.Sub.ID, 2)
				w.Run(3 * time.Second)
				// The machine itself is away at first, so that only copies speak for it.
				away, back := w.On(after.Sub.ID)[0], w.Now+6*time.Second
				if died {
					w.Cloud.Die(away)
				}
				w.Network = func(_, a, b string) fake.Fate {
					f := fake.Well()
					f.LoseRequest = step%4 < 2 && w.Now < back && (a == away || b == away)
					return f
				}
				w.Nodes[0].Crash()
				copies := slices.Clone(kept)
				flood := func() {
					for i, r := range copies {
						if i%5 != step%5 {
							continue
						}
						for _, n := range w.Nodes {
							n.Ask(coordination.ReportCall{Report: &r}, func(coordination.Reply) {})
						}
					}
				}
				taken := false
				for range 400 { // as soon as it leads, and then for a while
					w.Run(50 * time.Millisecond)
					if w.Leader() != nil && (!taken || step%4 == 0 && int(w.Now/time.Millisecond)%500 == 0) {
						taken = true
						flood()
					}
				}
				if !taken {
					t.Fatal("nobody took over")
				}
				runs(t, w, before.Sub.ID, 2)
				runs(t, w, after.Sub.ID, 2)
				w.Run(30 * time.Second)
				check(t, w)
				served(t, w)
			}
		})
	}
}

// One-task jobs come four a second for minutes, a quarter of them cancelled, at the
// smallest budget of writes: they are accepted as they come or refused at once, no
// queue grows, and a take-over reads the books as fast at the end as at first.
func TestManySmallJobsAtTheSmallestBudget(t *testing.T) {
	s := fake.Settings()
	s.State.WriteRPS, s.State.RPS, s.State.ValueKB = 25, 120, 4
	s.Teams = []config.Team{{Name: "red", CPUs: 400, CPUsMax: 400}, {Name: "blue", CPUs: 400}}
	w := fake.NewWorld(s)
	w.Cloud.Most = 60
	w.Run(2 * time.Second)
	var jobs []*fake.Job
	slow, never := 0, 0
	const minutes = 3
	for i := range minutes * 60 * 4 {
		sub := job(i+1, protocol.Array, 1)
		sub.Team = []string{"red", "blue"}[i%2]
		j := w.Submit(sub, time.Duration(1+i%9)*time.Second)
		w.After(1500*time.Millisecond, func() {
			if !j.Accepted {
				slow++
			}
		})
		if i%4 == 0 {
			w.After(time.Duration(i%11)*300*time.Millisecond, func() { w.CancelJob(j) })
		}
		w.After(30*time.Second, func() {
			if !j.Accepted {
				never++
			}
		})
		jobs = append(jobs, j)
		w.Run(250 * time.Millisecond)
	}
	if slow > len(jobs)/50 || never > 0 {
		t.Errorf("%d of %d jobs not accepted within 1.5 s, %d not within 30 s", slow, len(jobs), never)
	}
	old := w.Leader()
	status, answer := admin(w, old.Index, coordination.AdminStatus, "")
	if status != 200 {
		t.Fatalf("status: %d %s", status, answer)
	}
	old.Crash()
	if !w.Until(5*time.Second, func() bool { return w.Leader() != nil }) {
		t.Errorf("nobody leads after 5 s\n%s", strings.Join(w.Log[max(0, len(w.Log)-10):], "\n"))
	}
	old.Start()
	pollFor(w, 48*time.Second)
	check(t, w)
	served(t, w)
	for _, j := range jobs {
		if j.Cancel && j.Told != protocol.StatusCancelled && j.Told != protocol.StatusDone {
			t.Errorf("%s: told %q", j.Sub.ID, j.Told)
		}
	}
}

// A write is refused for a condition, and the page holds neither what it was nor
// our own write: another leads. Nobody is told that what was asked is durable.
func TestWriteThatMetAnotherLeaders(t *testing.T) {
	n := coordination.New(&config.Config{Node: "n0", Settings: fake.Settings()}, "boot", 1)
	now := coordination.Now{}
	var replies []coordination.Reply
	refused := 0
	var give func(commands ...any)
	give = func(commands ...any) {
		now.Mono += time.Millisecond
		for _, effect := range n.Step(now, commands) {
			switch c := effect.(type) {
			case coordination.Reply:
				replies = append(replies, c)
			case coordination.CloudCall:
				if c.Op == coordination.CloudTypes {
					give(coordination.CloudResult{ID: c.ID, Types: fake.Types()})
				}
			case storage.StateCall:
				r := storage.StateResult{ID: c.ID, Number: 7}
				switch {
				case c.Op == storage.StateGet && c.Key == coordination.LeaderKey:
					r.Outcome = storage.NotFound
				case c.Op == storage.StateGet:
					r.Entry = protocol.Entry{Key: c.Key, Version: 9, Value: protocol.Encode(storage.PageValue{ID: "another-1"})}
				case c.Op == storage.StateTxn && len(c.Txn.Then) > 0 && c.Txn.Then[0].Put != coordination.LeaderKey:
					r.Outcome = storage.Conflict
					refused++
				}
				give(r)
			}
		}
	}
	for range 4 {
		now.Mono += 400 * time.Millisecond
		give(coordination.Tick{})
	}
	if n.Role() != "leader" {
		t.Fatalf("is %s", n.Role())
	}
	s := service(1, 1)
	give(coordination.UserCall{ID: 1, Kind: coordination.Submit, Job: s.ID, Submit: &s})
	if refused == 0 || n.Role() == "leader" {
		t.Errorf("%d writes refused, and is %s", refused, n.Role())
	}
	for _, r := range replies {
		if r.Status < 400 {
			t.Errorf("told %d", r.Status)
		}
	}
}

// pollFor lets time pass, and has every job asked about as it does.
func pollFor(w *fake.World, d time.Duration) {
	for end := w.Now + d; w.Now < end; {
		w.Run(2 * time.Second)
		w.PollAll()
	}
	w.Run(time.Second)
}

// The three tasks of a job end far apart, two of them on machines that hang, and
// the leader changes between any two ends: each counts once, and the job is done.
func TestTasksEndFarApartWhileLeadersChange(t *testing.T) {
	for _, shape := range []protocol.Shape{protocol.Array, protocol.Gang} {
		for step := range 6 {
			w := world(t)
			s := job(1, shape, 3)
			s.CPUs, s.SaveEach = 4, 0 // a machine each
			j := w.Submit(s, 4*time.Second)
			runs(t, w, s.ID, 3)
			for i, host := range w.On(s.ID)[:2] {
				w.Workers[host].HangUntil = w.Now + time.Duration(4+4*i)*time.Second
			}
			for i := range 3 {
				w.Run(time.Duration(1500+700*step) * time.Millisecond)
				if l := w.Leader(); l != nil && i < 2 {
					l.Crash()
					w.After(time.Second, l.Start)
				}
				w.PollAll()
			}
			pollFor(w, 60*time.Second)
			check(t, w)
			served(t, w)
			if len(j.DoneTasks) != 3 {
				t.Errorf("step %d: %d tasks done", step, len(j.DoneTasks))
			}
		}
	}
}

// Leaders change ten times in two minutes, by ends, refusals and standing still,
// half of it inside outages, while jobs come, end and are called off.
func TestLeadersChangeTenTimes(t *testing.T) {
	for seed := range 6 {
		w := world(t)
		id := 0
		for change := range 10 {
			id++
			s := service(id, 1)
			w.Submit(s, 0)
			id++
			w.Submit(job(id, protocol.Array, 2), 5*time.Second)
			w.Run(time.Duration(5+(seed+change)%4) * time.Second)
			l := w.Leader()
			if l == nil {
				w.Run(4 * time.Second)
				continue
			}
			switch (seed + change) % 5 {
			case 0:
				l.Crash()
				l.Start() // back at once
			case 1:
				l.Crash()
				w.After(3*time.Second, l.Start)
			case 2:
				w.State.Cut[l.Name] = true
				w.After(6*time.Second, func() { delete(w.State.Cut, l.Name) })
			case 3:
				l.PausedUntil = w.Now + 4*time.Second
			case 4:
				w.State.Outage(true)
				w.After(time.Second, l.Crash)
				w.After(1500*time.Millisecond, l.Start)
				w.After(7*time.Second, func() { w.State.Outage(false) })
			}
			if change%3 == 1 {
				w.CancelEverywhere(w.Jobs[fmt.Sprintf("wk-%06d", id-1)])
			}
			w.Run(4 * time.Second)
			w.PollAll()
		}
		pollFor(w, 80*time.Second)
		check(t, w)
		served(t, w)
	}
}

// Every controller is away for longer than a worker's lease, and then they come
// back, or only one does: nothing starts before what ran is certainly gone, and
// then all of it runs again.
func TestAllControllersAwayForLongerThanALease(t *testing.T) {
	for _, back := range []int{1, 3} {
		for away := 8 * time.Second; away <= 16*time.Second; away += 700 * time.Millisecond {
			w := world(t)
			a := w.Submit(service(1, 3), 0)
			w.Submit(job(2, protocol.Array, 4), 20*time.Second)
			called := w.Submit(service(3, 2), 0)
			runs(t, w, a.Sub.ID, 3)
			runs(t, w, called.Sub.ID, 2)
			w.CancelEverywhere(called)
			w.Run(20 * time.Millisecond)
			for _, n := range w.Nodes {
				n.Crash()
			}
			w.Run(away)
			for _, n := range w.Nodes[:back] {
				n.Start()
			}
			pollFor(w, 10*time.Second)
			for _, n := range w.Nodes[back:] {
				n.Start()
			}
			w.CancelEverywhere(called)
			pollFor(w, 70*time.Second)
			check(t, w)
			served(t, w)
		}
	}
}

// There is more work than room, urgent and not, and everything on the way to and
// from workers takes more than a second: what comes first in the queue runs, what
// yields is told once, and when the urgent work has gone the rest is served.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
		w := world(t)
		w.Cloud.Most = 1
		w.Network = func(kind, _, _ string) fake.Fate {
			f := fake.Well()
			if kind == "orders" || kind == "report" {
				f.Request, f.Answer = slow/2, slow/2
			}
			return f
		}
		for i := range 5 {
			low := job(i+1, protocol.Array, 4)
			low.Priority, low.Types = protocol.Low, []string{"small"}
			w.Submit(low, 6*time.Second)
		}
		w.Run(15 * time.Second)
		var urgent []*fake.Job
		for i := range 3 {
			s := service(i+11, 2)
			s.Priority, s.CPUs, s.Types = protocol.Production, 2, []string{"small"}
			urgent = append(urgent, w.Submit(s, 0))
		}
		w.Run(15 * time.Second)
		n := 0
		for _, j := range urgent {
			n += w.Running(j.Sub.ID)
		}
		if n < 4 { // of six: room for two on each machine
			t.Errorf("links of %v: %d urgent replicas run", slow, n)
		}
		for _, j := range urgent {
			w.CancelEverywhere(j)
		}
		pollFor(w, 90*time.Second)
		check(t, w)
		served(t, w)
	}
}
