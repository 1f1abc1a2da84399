package fake

import (
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

type work struct {
	protocol.TaskStatus
	job    *Job
	worker *Worker
	on     bool          // has its image and is on its machine, see occupy
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
	tokenAt             time.Duration // when a higher token last counted as a change
	leaseFrom           time.Duration // when the last answered report was sent
	tasks               []*work
	nextReport          time.Duration
	inFlight            bool
	flight              int64
	images              map[string]time.Duration
	notice              time.Duration // when it is taken; 0: no notice

	// Hang stops it until the time; its lease goes on.
	HangUntil time.Duration
	// FailsTasks makes every task fail that it starts.
	FailsTasks bool
}

func (w *World) addWorker(m *machine, mt protocol.MachineType) {
	wk := &Worker{w: w, m: m, mt: mt, session: 1, leaseFrom: w.Now, images: map[string]time.Duration{}, nextReport: w.Now}
	w.Workers[m.Name] = wk
	w.workerNames = append(w.workerNames, m.Name)
	if w.OnBoot != nil {
		w.OnBoot(m.Machine)
	}
	slices.Sort(w.workerNames)
}

func (k *Worker) vanish() {
	k.gone = true
	k.w.TasksDied += k.onMachine()
	k.loseTasks()
}

// loseTasks has every task gone at once.
func (k *Worker) loseTasks() {
	for _, t := range k.tasks {
		k.leave(t)
	}
	k.tasks = nil
}

// onMachine counts the tasks that are on the machine.
func (k *Worker) onMachine() int {
	n := 0
	for _, t := range k.tasks {
		if t.on {
			n++
		}
	}
	return n
}

// occupy notes that a task is on its machine from now on.
func (k *Worker) occupy(t *work) {
	t.on = true
	if t.job.on == nil {
		t.job.on = map[*work]bool{}
	}
	t.job.on[t] = true
	k.w.addUse(t.job.Submission, 1)
}

// leave notes that a task is no longer on its machine.
func (k *Worker) leave(t *work) {
	if !t.on {
		return
	}
	t.on = false
	delete(t.job.on, t)
	k.w.addUse(t.job.Submission, -1)
}

func (k *Worker) find(a protocol.Attempt) *work {
	for _, t := range k.tasks {
		if t.Attempt == a {
			return t
		}
	}
	return nil
}

func (k *Worker) report() *protocol.Heartbeat {
	k.seq++
	r := &protocol.Heartbeat{
		Machine: k.m.Name, Addr: k.m.Addr, Type: k.m.Type, Zone: k.m.Zone, Spot: k.m.Spot,
		Incarnation: k.session, Sequence: k.seq, FencingToken: k.token, InterruptionInS: -1,
	}
	if k.notice > 0 {
		r.InterruptionInS = max(0, (k.notice - k.w.Now).Seconds())
	}
	for _, t := range k.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
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
		w.Cloud.Reclaim(k.m.Name)
		return
	}
	if now-k.leaseFrom > sec(w.Cfg.Settings.Workers.LeaseS) {
		k.session++
		w.KilledByLease += k.onMachine()
		k.loseTasks()
		k.leaseFrom, k.images = now, map[string]time.Duration{}
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
		k.images[t.job.Submission.Image] = t.ready
		k.occupy(t)
		w.checkStart(k, t)
		if w.OnTaskPresent != nil {
			w.OnTaskPresent(t.job, t.Task)
		}
		switch {
		case k.FailsTasks || t.job.AlwaysFails:
			k.exit(t, protocol.ExitFailed)
		case t.job.DoneTasks[t.Task]:
			k.exit(t, protocol.ExitDone)
		case t.job.Submission.Kind == protocol.Gang:
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
		} else if now-t.ran > sec(w.Cfg.Settings.Workers.GangStartTimeoutS) {
			k.exit(t, protocol.ExitGangIncomplete)
		}
	case protocol.Running:
		j := t.job
		if j.Submission.Kind == protocol.Gang && !w.gangWhole(t) {
			k.exit(t, protocol.ExitPeersGone)
		} else if j.Submission.Kind != protocol.Service && now-t.ran >= j.RunTime-j.Saved[t.Task] {
			j.DoneTasks[t.Task] = true
			if j.Submission.Kind == protocol.Gang {
				for i := range j.Submission.Tasks {
					j.DoneTasks[i] = true
				}
			}
			k.exit(t, protocol.ExitDone)
		}
	case protocol.Checkpointing:
		if now >= t.saveBy {
			t.Checkpointed = true
			t.job.Saved[t.Task] = min(t.job.RunTime, t.job.Saved[t.Task]+t.saveBy-t.ran)
			k.exit(t, protocol.ExitStopped)
		}
	}
}

func (k *Worker) exit(t *work, why protocol.ExitCause) {
	k.leave(t)
	t.State, t.ExitCause = protocol.Exited, why
	k.soon()
}

// soon has a change reported, though not more often than every half second.
func (k *Worker) soon() { k.nextReport = min(k.nextReport, k.w.Now+500*time.Millisecond) }

func (k *Worker) sendReport() {
	w := k.w
	r, sent, session := k.report(), w.Now, k.session
	if w.OnHeartbeat != nil {
		w.OnHeartbeat(*r)
	}
	k.inFlight = true
	k.flight++
	flight := k.flight
	k.nextReport = w.Now + sec(w.Cfg.Settings.Workers.HeartbeatIntervalS)
	node := k.target
	over := func() bool { return k.gone || k.flight != flight || !k.inFlight }
	fail := func() {
		if !over() {
			k.inFlight = false
			k.target = (node + 1) % len(w.Controllers)
			k.nextReport = w.Now + time.Second
		}
	}
	f := w.fate("report", k.m.Name, w.Controllers[node].Name)
	w.After(4*time.Second, fail)
	if f.Copy > 0 {
		// A late copy, whose answer nobody reads.
		w.After(f.Copy, func() {
			w.Controllers[node].deliver(message.HeartbeatRequest{Heartbeat: r}, func(message.Reply) {})
		})
	}
	if f.LoseRequest {
		return
	}
	w.After(f.Request, func() {
		w.Controllers[node].deliver(message.HeartbeatRequest{Heartbeat: r}, func(a message.Reply) {
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
					k.target = (node + 1) % len(w.Controllers)
					to := protocol.DecodeRedirect(a.Body)
					for i, n := range w.Controllers {
						if n.Name == to && i != node {
							k.target, k.nextReport = i, w.Now+100*time.Millisecond
						}
					}
				default:
					fail()
				}
			})
		})
	})
}

func (k *Worker) answered(body []byte, sent time.Duration) {
	a, err := protocol.DecodeCommands(body)
	if err != nil {
		k.w.violation("worker", "an answer that can't be read: %v", err)
		return
	}
	if a.FencingToken < k.token {
		return
	}
	k.sawToken(a.FencingToken)
	k.leaseFrom = max(k.leaseFrom, sent)
	k.run(a.Commands)
}

// sawToken notes a token. A higher one is a change that is reported, though not more often
// than once in half a lease.
func (k *Worker) sawToken(token int64) {
	if token <= k.token {
		return
	}
	k.token = token
	if half := sec(k.w.Cfg.Settings.Workers.LeaseS) / 2; k.tokenAt == 0 || k.w.Now-k.tokenAt >= half {
		k.tokenAt = k.w.Now
		k.soon()
	}
}

func (k *Worker) run(commands []protocol.Command) {
	for _, c := range commands {
		t := k.find(c.Attempt)
		switch c.Verb {
		case protocol.Start:
			if t == nil {
				k.start(c.Attempt)
			}
		case protocol.Stop:
			if t != nil && t.State != protocol.Exited {
				k.stop(t, c.GracePeriodS)
			}
		case protocol.Forget:
			if t != nil && t.State == protocol.Exited {
				k.tasks = slices.DeleteFunc(k.tasks, func(x *work) bool { return x == t })
				k.soon()
			}
		}
	}
}

// stop has a task save what it can within the grace, and exit.
func (k *Worker) stop(t *work, grace float64) {
	saves := t.job != nil && t.job.Submission.CheckpointIntervalS > 0 && t.job.Submission.Kind != protocol.Gang && grace >= t.job.Submission.CheckpointDurationS
	switch {
	case t.State == protocol.Checkpointing:
		if grace == 0 {
			k.exit(t, protocol.ExitStopped)
		}
	case t.State == protocol.Running && saves:
		t.State, t.saveBy = protocol.Checkpointing, k.w.Now+sec(t.job.Submission.CheckpointDurationS)
		k.soon()
	default:
		k.exit(t, protocol.ExitStopped)
	}
}

func (k *Worker) start(at protocol.Attempt) {
	w := k.w
	t := &work{TaskStatus: protocol.TaskStatus{Attempt: at, State: protocol.Fetching}, job: w.Jobs[at.Job], worker: k}
	k.tasks = append(k.tasks, t)
	k.soon()
	if t.job == nil {
		k.exit(t, protocol.ExitUnknownJob)
		return
	}
	if w.OnStart != nil {
		w.OnStart(t.job, t.Task)
	}
	s := t.job.Submission
	cpus, gpus, mem := s.CPUs, s.GPUs, s.MemoryGB
	for _, x := range k.tasks {
		if x == t || x.State == protocol.Exited {
			continue
		}
		if x.Job == at.Job && x.Task == at.Task {
			k.exit(t, protocol.ExitTaskAlreadyPresent)
			return
		}
		cpus, gpus, mem = cpus+x.job.Submission.CPUs, gpus+x.job.Submission.GPUs, mem+x.job.Submission.MemoryGB
	}
	if cpus > k.mt.CPUs+1e-6 || gpus > k.mt.GPUs+1e-6 || mem > k.mt.MemoryGB+1e-6 {
		k.exit(t, protocol.ExitInsufficientResources)
		return
	}
	t.ready = w.Now
	if _, ok := k.images[s.Image]; !ok {
		t.ready += sec(s.ImageGB / k.mt.FetchGBPerS)
	}
}

// execute executes direct commands, however late they come.
func (k *Worker) execute(c message.CommandsCall) message.CommandsResult {
	r := message.CommandsResult{ID: c.ID, Machine: c.Machine}
	if c.FencingToken < k.token || c.Incarnation != k.session {
		r.Outcome = rpc.Conflict
	} else {
		k.sawToken(c.FencingToken)
		o, err := protocol.DecodeCommands(protocol.EncodeCommands(c.FencingToken, c.Incarnation, c.Commands))
		if err != nil {
			k.w.violation("worker", "orders that can't be read: %v", err)
			return r
		}
		k.run(o.Commands)
	}
	r.Heartbeat = k.report()
	return r
}
