package fake

import (
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

type attempt struct {
	protocol.TaskStatus
	job              *Job
	worker           *Worker
	onMachine        bool          // has its image and is on its machine, see occupy
	imageReadyAt     time.Duration // when it has
	startedAt        time.Duration // when it began to run
	checkpointDoneAt time.Duration
}

// Worker is one machine's.
type Worker struct {
	world           *World
	machine         *machine
	machineType     protocol.MachineType
	terminated      bool
	controllerIndex int // index of the node it reports to

	incarnation, sequence, fencingToken int64
	tokenReportedAt                     time.Duration // when a higher token last counted as a change
	leaseRenewedAt                      time.Duration // when the last answered report was sent
	attempts                            []*attempt
	nextHeartbeatAt                     time.Duration
	heartbeatInFlight                   bool
	heartbeatID                         int64
	images                              map[string]time.Duration
	interruptionAt                      time.Duration // when it is taken; 0: no notice

	// Hang stops it until the time; its lease goes on.
	HangUntil time.Duration
	// FailsTasks makes every task fail that it starts.
	FailsTasks bool
}

func (w *World) addWorker(m *machine, mt protocol.MachineType) {
	wk := &Worker{world: w, machine: m, machineType: mt, incarnation: 1, leaseRenewedAt: w.Now, images: map[string]time.Duration{}, nextHeartbeatAt: w.Now}
	w.Workers[m.Name] = wk
	w.workerNames = append(w.workerNames, m.Name)
	if w.OnBoot != nil {
		w.OnBoot(m.Machine)
	}
	slices.Sort(w.workerNames)
}

func (k *Worker) terminate() {
	k.terminated = true
	k.world.TasksLostWithMachine += k.attemptsOnMachine()
	k.dropAttempts()
}

// dropAttempts has every task gone at once.
func (k *Worker) dropAttempts() {
	for _, t := range k.attempts {
		k.removeFromMachine(t)
	}
	k.attempts = nil
}

// attemptsOnMachine counts the tasks that are on the machine.
func (k *Worker) attemptsOnMachine() int {
	n := 0
	for _, t := range k.attempts {
		if t.onMachine {
			n++
		}
	}
	return n
}

// addToMachine notes that a task is on its machine from now on.
func (k *Worker) addToMachine(t *attempt) {
	t.onMachine = true
	if t.job.attemptsOnMachines == nil {
		t.job.attemptsOnMachines = map[*attempt]bool{}
	}
	t.job.attemptsOnMachines[t] = true
	k.world.addUsage(t.job.Submission, 1)
}

// removeFromMachine notes that a task is no longer on its machine.
func (k *Worker) removeFromMachine(t *attempt) {
	if !t.onMachine {
		return
	}
	t.onMachine = false
	delete(t.job.attemptsOnMachines, t)
	k.world.addUsage(t.job.Submission, -1)
}

func (k *Worker) find(a protocol.Attempt) *attempt {
	for _, t := range k.attempts {
		if t.Attempt == a {
			return t
		}
	}
	return nil
}

func (k *Worker) heartbeat() *protocol.Heartbeat {
	k.sequence++
	r := &protocol.Heartbeat{
		Machine: k.machine.Name, Addr: k.machine.Addr, Type: k.machine.Type, Zone: k.machine.Zone, Spot: k.machine.Spot,
		Incarnation: k.incarnation, Sequence: k.sequence, FencingToken: k.fencingToken, InterruptionInS: -1,
	}
	if k.interruptionAt > 0 {
		r.InterruptionInS = max(0, (k.interruptionAt - k.world.Now).Seconds())
	}
	for _, t := range k.attempts {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	return r
}

// tick lets the worker's time pass: leases, images, runs, reports.
func (k *Worker) tick() {
	w, now := k.world, k.world.Now
	if k.terminated {
		return
	}
	if k.interruptionAt > 0 && now >= k.interruptionAt {
		w.Cloud.Reclaim(k.machine.Name)
		return
	}
	if now-k.leaseRenewedAt > sec(w.Cfg.Settings.Workers.LeaseS) {
		k.incarnation++
		w.TasksLostToLeaseExpiry += k.attemptsOnMachine()
		k.dropAttempts()
		k.leaseRenewedAt, k.images = now, map[string]time.Duration{}
		k.nextHeartbeatAt = now
	}
	if now < k.HangUntil {
		return
	}
	for _, t := range k.attempts {
		k.advance(t)
	}
	if !k.heartbeatInFlight && now >= k.nextHeartbeatAt {
		k.sendHeartbeat()
	}
}

func (k *Worker) advance(t *attempt) {
	w, now := k.world, k.world.Now
	switch t.State {
	case protocol.Fetching:
		if now < t.imageReadyAt {
			return
		}
		k.images[t.job.Submission.Image] = t.imageReadyAt
		k.addToMachine(t)
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
			t.State, t.startedAt = protocol.Waiting, now
			k.heartbeatSoon()
		default:
			t.State, t.startedAt = protocol.Running, now
			k.heartbeatSoon()
		}
	case protocol.Waiting:
		if w.gangComplete(t) {
			t.State, t.startedAt = protocol.Running, now
			k.heartbeatSoon()
		} else if now-t.startedAt > sec(w.Cfg.Settings.Workers.GangStartTimeoutS) {
			k.exit(t, protocol.ExitGangIncomplete)
		}
	case protocol.Running:
		j := t.job
		if j.Submission.Kind == protocol.Gang && !w.gangWhole(t) {
			k.exit(t, protocol.ExitPeersGone)
		} else if j.Submission.Kind != protocol.Service && now-t.startedAt >= j.RunTime-j.Saved[t.Task] {
			j.DoneTasks[t.Task] = true
			if j.Submission.Kind == protocol.Gang {
				for i := range j.Submission.Tasks {
					j.DoneTasks[i] = true
				}
			}
			k.exit(t, protocol.ExitDone)
		}
	case protocol.Checkpointing:
		if now >= t.checkpointDoneAt {
			t.Checkpointed = true
			t.job.Saved[t.Task] = min(t.job.RunTime, t.job.Saved[t.Task]+t.checkpointDoneAt-t.startedAt)
			k.exit(t, protocol.ExitStopped)
		}
	}
}

func (k *Worker) exit(t *attempt, why protocol.ExitCause) {
	k.removeFromMachine(t)
	t.State, t.ExitCause = protocol.Exited, why
	k.heartbeatSoon()
}

// heartbeatSoon has a change reported, though not more often than every half second.
func (k *Worker) heartbeatSoon() {
	k.nextHeartbeatAt = min(k.nextHeartbeatAt, k.world.Now+500*time.Millisecond)
}

func (k *Worker) sendHeartbeat() {
	w := k.world
	r, sent, session := k.heartbeat(), w.Now, k.incarnation
	if w.OnHeartbeat != nil {
		w.OnHeartbeat(*r)
	}
	k.heartbeatInFlight = true
	k.heartbeatID++
	flight := k.heartbeatID
	k.nextHeartbeatAt = w.Now + sec(w.Cfg.Settings.Workers.HeartbeatIntervalS)
	node := k.controllerIndex
	over := func() bool { return k.terminated || k.heartbeatID != flight || !k.heartbeatInFlight }
	fail := func() {
		if !over() {
			k.heartbeatInFlight = false
			k.controllerIndex = (node + 1) % len(w.Controllers)
			k.nextHeartbeatAt = w.Now + time.Second
		}
	}
	f := w.deliveryOf("report", k.machine.Name, w.Controllers[node].Name)
	w.After(4*time.Second, fail)
	if f.DuplicateAfter > 0 {
		// A late copy, whose answer nobody reads.
		w.After(f.DuplicateAfter, func() {
			w.Controllers[node].receive(message.HeartbeatRequest{Heartbeat: r}, func(message.Reply) {})
		})
	}
	if f.LoseRequest {
		return
	}
	w.After(f.RequestDelay, func() {
		w.Controllers[node].receive(message.HeartbeatRequest{Heartbeat: r}, func(a message.Reply) {
			if f.LoseResponse {
				return
			}
			w.After(f.ResponseDelay, func() {
				if over() || w.Now < k.HangUntil {
					return
				}
				switch a.Status {
				case 200:
					k.heartbeatInFlight = false
					if session == k.incarnation {
						k.handleResponse(a.Body, sent)
					}
				case 421:
					k.heartbeatInFlight = false
					k.nextHeartbeatAt = w.Now + time.Second
					k.controllerIndex = (node + 1) % len(w.Controllers)
					to := protocol.DecodeRedirect(a.Body)
					for i, n := range w.Controllers {
						if n.Name == to && i != node {
							k.controllerIndex, k.nextHeartbeatAt = i, w.Now+100*time.Millisecond
						}
					}
				default:
					fail()
				}
			})
		})
	})
}

func (k *Worker) handleResponse(body []byte, sent time.Duration) {
	a, err := protocol.DecodeCommands(body)
	if err != nil {
		k.world.violation("worker", "an answer that can't be read: %v", err)
		return
	}
	if a.FencingToken < k.fencingToken {
		return
	}
	k.observeToken(a.FencingToken)
	k.leaseRenewedAt = max(k.leaseRenewedAt, sent)
	k.runCommands(a.Commands)
}

// observeToken notes a token. A higher one is a change that is reported, though not more often
// than once in half a lease.
func (k *Worker) observeToken(token int64) {
	if token <= k.fencingToken {
		return
	}
	k.fencingToken = token
	if half := sec(k.world.Cfg.Settings.Workers.LeaseS) / 2; k.tokenReportedAt == 0 || k.world.Now-k.tokenReportedAt >= half {
		k.tokenReportedAt = k.world.Now
		k.heartbeatSoon()
	}
}

func (k *Worker) runCommands(commands []protocol.Command) {
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
				k.attempts = slices.DeleteFunc(k.attempts, func(x *attempt) bool { return x == t })
				k.heartbeatSoon()
			}
		}
	}
}

// stop has a task save what it can within the grace, and exit.
func (k *Worker) stop(t *attempt, grace float64) {
	saves := t.job != nil && t.job.Submission.CheckpointIntervalS > 0 && t.job.Submission.Kind != protocol.Gang && grace >= t.job.Submission.CheckpointDurationS
	switch {
	case t.State == protocol.Checkpointing:
		if grace == 0 {
			k.exit(t, protocol.ExitStopped)
		}
	case t.State == protocol.Running && saves:
		t.State, t.checkpointDoneAt = protocol.Checkpointing, k.world.Now+sec(t.job.Submission.CheckpointDurationS)
		k.heartbeatSoon()
	default:
		k.exit(t, protocol.ExitStopped)
	}
}

func (k *Worker) start(at protocol.Attempt) {
	w := k.world
	t := &attempt{TaskStatus: protocol.TaskStatus{Attempt: at, State: protocol.Fetching}, job: w.Jobs[at.Job], worker: k}
	k.attempts = append(k.attempts, t)
	k.heartbeatSoon()
	if t.job == nil {
		k.exit(t, protocol.ExitUnknownJob)
		return
	}
	if w.OnStart != nil {
		w.OnStart(t.job, t.Task)
	}
	s := t.job.Submission
	cpus, gpus, mem := s.CPUs, s.GPUs, s.MemoryGB
	for _, x := range k.attempts {
		if x == t || x.State == protocol.Exited {
			continue
		}
		if x.Job == at.Job && x.Task == at.Task {
			k.exit(t, protocol.ExitTaskAlreadyPresent)
			return
		}
		cpus, gpus, mem = cpus+x.job.Submission.CPUs, gpus+x.job.Submission.GPUs, mem+x.job.Submission.MemoryGB
	}
	if cpus > k.machineType.CPUs+1e-6 || gpus > k.machineType.GPUs+1e-6 || mem > k.machineType.MemoryGB+1e-6 {
		k.exit(t, protocol.ExitInsufficientResources)
		return
	}
	t.imageReadyAt = w.Now
	if _, ok := k.images[s.Image]; !ok {
		t.imageReadyAt += sec(s.ImageGB / k.machineType.FetchGBPerS)
	}
}

// executeDirect executes direct commands, however late they come.
func (k *Worker) executeDirect(c message.CommandsCall) message.CommandsResult {
	r := message.CommandsResult{ID: c.ID, Machine: c.Machine}
	if c.FencingToken < k.fencingToken || c.Incarnation != k.incarnation {
		r.Outcome = rpc.Conflict
	} else {
		k.observeToken(c.FencingToken)
		o, err := protocol.DecodeCommands(protocol.EncodeCommands(c.FencingToken, c.Incarnation, c.Commands))
		if err != nil {
			k.world.violation("worker", "orders that can't be read: %v", err)
			return r
		}
		k.runCommands(o.Commands)
	}
	r.Heartbeat = k.heartbeat()
	return r
}
