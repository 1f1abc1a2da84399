package fake

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/coordination"
	"oakpick/internal/protocol"
)

type work struct {
	protocol.TaskReport
	job    *Job
	on     bool          // has its image
	ready  time.Duration // when it has
	ran    time.Duration // when it began to run
	saveBy time.Duration
}

// Worker is one machine's.
type Worker struct {
	w      *World
	m      *machine
	mt     protocol.MachineType
	gone   bool
	target int // index of the node it reports to

	session, seq, token int64
	leaseFrom           time.Duration // when the last answered report was sent
	tasks               []*work
	nextReport          time.Duration
	inFlight            bool
	flight              int64
	images              map[string]time.Duration
	notice              time.Duration // when it is taken; 0: no notice

	// Hang stops it until the time; its lease goes on.
	HangUntil time.Duration
	// Sick makes every task fail that it starts.
	Sick bool
}

func (w *World) addWorker(m *machine, mt protocol.MachineType) {
	wk := &Worker{w: w, m: m, mt: mt, session: 1, leaseFrom: w.Now, images: map[string]time.Duration{}, nextReport: w.Now}
	w.Workers[m.Host] = wk
	w.workerNames = append(w.workerNames, m.Host)
	slices.Sort(w.workerNames)
}

func (k *Worker) vanish() { k.gone, k.tasks = true, nil }

func (k *Worker) find(a protocol.Attempt) *work {
	for _, t := range k.tasks {
		if t.Attempt == a {
			return t
		}
	}
	return nil
}

func (k *Worker) report() *protocol.Report {
	k.seq++
	r := &protocol.Report{
		Host: k.m.Host, Addr: k.m.Addr, Type: k.m.Type, Zone: k.m.Zone, Spot: k.m.Spot,
		Session: k.session, Seq: k.seq, Token: k.token, Notice: -1,
	}
	if k.notice > 0 {
		r.Notice = max(0, (k.notice - k.w.Now).Seconds())
	}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	return r
}

// tick lets the worker's time pass: leases, images, runs, reports.
func (k *Worker) tick() {
	w, now := k.w, k.w.Now
	if k.gone {
		return
	}
	if k.notice > 0 && now >= k.notice {
		w.Cloud.Take(k.m.Host)
		return
	}
	if now-k.leaseFrom > sec(w.Cfg.Settings.Workers.Lease) {
		k.session++
		k.tasks, k.leaseFrom, k.images = nil, now, map[string]time.Duration{}
		k.nextReport = now
	}
	if now < k.HangUntil {
		return
	}
	for _, t := range k.tasks {
		k.advance(t)
	}
	if !k.inFlight && now >= k.nextReport {
		k.sendReport()
	}
}

func (k *Worker) advance(t *work) {
	w, now := k.w, k.w.Now
	switch t.State {
	case protocol.Fetching:
		if now < t.ready {
			return
		}
		k.images[t.job.Sub.Image] = t.ready
		t.on = true
		w.checkStart(k, t)
		switch {
		case k.Sick || t.job.Broken:
			k.exit(t, protocol.Failed)
		case t.job.DoneTasks[t.Task]:
			k.exit(t, protocol.Done)
		case t.job.Sub.Shape == protocol.Gang:
			t.State, t.ran = protocol.Waiting, now
			k.soon()
		default:
			t.State, t.ran = protocol.Running, now
			k.soon()
		}
	case protocol.Waiting:
		if w.gangComplete(t) {
			t.State, t.ran = protocol.Running, now
			k.soon()
		} else if now-t.ran > sec(w.Cfg.Settings.Workers.GangWait) {
			k.exit(t, protocol.Alone)
		}
	case protocol.Running:
		j := t.job
		if j.Sub.Shape == protocol.Gang && !w.gangWhole(t) {
			k.exit(t, protocol.PeersGone)
		} else if j.Sub.Shape != protocol.Service && now-t.ran >= j.Run-j.Saved[t.Task] {
			j.DoneTasks[t.Task] = true
			if j.Sub.Shape == protocol.Gang {
				for i := range j.Sub.Tasks {
					j.DoneTasks[i] = true
				}
			}
			k.exit(t, protocol.Done)
		}
	case protocol.Saving:
		if now >= t.saveBy {
			t.Saved = true
			t.job.Saved[t.Task] = min(t.job.Run, t.job.Saved[t.Task]+t.saveBy-t.ran)
			k.exit(t, protocol.Stopped)
		}
	}
}

func (k *Worker) exit(t *work, why protocol.Cause) {
	t.State, t.Cause, t.on = protocol.Exited, why, false
	k.soon()
}

// soon has a change reported, though not more often than every half second.
func (k *Worker) soon() { k.nextReport = min(k.nextReport, k.w.Now+500*time.Millisecond) }

func (k *Worker) sendReport() {
	w := k.w
	r, sent, session := k.report(), w.Now, k.session
	if w.Overheard != nil {
		w.Overheard(*r)
	}
	k.inFlight = true
	k.flight++
	flight := k.flight
	k.nextReport = w.Now + sec(w.Cfg.Settings.Workers.Report)
	node := k.target
	over := func() bool { return k.gone || k.flight != flight || !k.inFlight }
	fail := func() {
		if !over() {
			k.inFlight = false
			k.target = (node + 1) % len(w.Nodes)
			k.nextReport = w.Now + time.Second
		}
	}
	f := w.fate("report", k.m.Host, w.Nodes[node].Name)
	w.After(4*time.Second, fail)
	if f.Copy > 0 {
		// A late copy, whose answer nobody reads.
		w.After(f.Copy, func() { w.Nodes[node].deliver(coordination.ReportCall{Report: r}, func(coordination.Reply) {}) })
	}
	if f.LoseRequest {
		return
	}
	w.After(f.Request, func() {
		w.Nodes[node].deliver(coordination.ReportCall{Report: r}, func(a coordination.Reply) {
			if f.LoseAnswer {
				return
			}
			w.After(f.Answer, func() {
				if over() || w.Now < k.HangUntil {
					return
				}
				switch a.Status {
				case 200:
					k.inFlight = false
					if session == k.session {
						k.answered(a.Body, sent)
					}
				case 421:
					k.inFlight = false
					k.nextReport = w.Now + time.Second
					k.target = (node + 1) % len(w.Nodes)
					var to struct {
						Foreman string `msgpack:"foreman"`
					}
					if protocol.Decode(a.Body, &to) == nil {
						for i, n := range w.Nodes {
							if n.Name == to.Foreman && i != node {
								k.target, k.nextReport = i, w.Now+100*time.Millisecond
							}
						}
					}
				default:
					fail()
				}
			})
		})
	})
}

type wireAnswer struct {
	Baton  int64 `msgpack:"baton"`
	Shift  int64 `msgpack:"shift"`
	Orders []struct {
		Verb     string  `msgpack:"verb"`
		Piece    string  `msgpack:"piece"`
		Try      int64   `msgpack:"try"`
		WindDown float64 `msgpack:"wind_down_s"`
	} `msgpack:"orders"`
}

func (k *Worker) answered(body []byte, sent time.Duration) {
	var a wireAnswer
	if err := protocol.Decode(body, &a); err != nil {
		k.w.fail("worker", "an answer that can't be read: %v", err)
		return
	}
	if a.Baton < k.token {
		return
	}
	if a.Baton > k.token {
		k.token = a.Baton
		k.soon()
	}
	k.leaseFrom = max(k.leaseFrom, sent)
	k.run(a)
}

func (k *Worker) run(a wireAnswer) {
	for _, o := range a.Orders {
		at, ok := k.w.attempt(o.Piece, o.Try)
		if !ok {
			k.w.fail("worker", "a command for %q", o.Piece)
			continue
		}
		t := k.find(at)
		switch o.Verb {
		case "start":
			if t == nil {
				k.start(at)
			}
		case "halt":
			if t == nil || t.State == protocol.Exited {
				continue
			}
			sub := t.job.Sub
			switch {
			case t.State == protocol.Saving:
				if o.WindDown == 0 {
					k.exit(t, protocol.Stopped)
				}
			case t.State == protocol.Running && sub.SaveEach > 0 && sub.Shape != protocol.Gang && o.WindDown >= sub.SaveTime:
				t.State, t.saveBy = protocol.Saving, k.w.Now+sec(sub.SaveTime)
				k.soon()
			default:
				k.exit(t, protocol.Stopped)
			}
		case "forget":
			if t != nil && t.State == protocol.Exited {
				k.tasks = slices.DeleteFunc(k.tasks, func(x *work) bool { return x == t })
				k.soon()
			}
		}
	}
}

func (k *Worker) start(at protocol.Attempt) {
	w := k.w
	t := &work{TaskReport: protocol.TaskReport{Attempt: at, State: protocol.Fetching}, job: w.Jobs[at.Job]}
	k.tasks = append(k.tasks, t)
	k.soon()
	if t.job == nil {
		k.exit(t, protocol.Unknown)
		return
	}
	s := t.job.Sub
	cpus, gpus, mem := s.CPUs, s.GPUs, s.MemoryGB
	for _, x := range k.tasks {
		if x == t || x.State == protocol.Exited {
			continue
		}
		if x.Job == at.Job && x.Task == at.Task {
			k.exit(t, protocol.Busy)
			return
		}
		cpus, gpus, mem = cpus+x.job.Sub.CPUs, gpus+x.job.Sub.GPUs, mem+x.job.Sub.MemoryGB
	}
	if cpus > k.mt.CPUs+1e-6 || gpus > k.mt.GPUs+1e-6 || mem > k.mt.MemoryGB+1e-6 {
		k.exit(t, protocol.NoRoom)
		return
	}
	t.ready = w.Now
	if _, ok := k.images[s.Image]; !ok {
		t.ready += sec(s.ImageGB / k.mt.FetchRate)
	}
}

// orders executes direct commands, however late they come.
func (k *Worker) orders(c coordination.OrdersCall) coordination.OrdersResult {
	r := coordination.OrdersResult{ID: c.ID, Host: c.Host}
	if c.Token < k.token || c.Session != k.session {
		r.Outcome = coordination.Conflict
	} else {
		if c.Token > k.token {
			k.token = c.Token
			k.soon()
		}
		var a wireAnswer
		if err := protocol.Decode(protocol.EncodeOrders(c.Token, c.Session, c.Commands), &a); err != nil {
			k.w.fail("worker", "orders that can't be read: %v", err)
		}
		k.run(a)
	}
	r.Report = k.report()
	return r
}

func sortedTasks(ts []*work) []*work {
	out := slices.Clone(ts)
	slices.SortFunc(out, func(a, b *work) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
	return out
}
