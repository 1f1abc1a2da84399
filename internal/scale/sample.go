package scale

import (
	"context"
	"time"
)

// sample is what has been taken and counted until a moment.
type sample struct {
	at       time.Time
	usage    []Usage
	messages map[kind]int64
	bytes    map[kind]int64
	handled  map[string]int64 // by the leader
	starts   int64
	puts     int
	workers  int
	tasks    int
	leader   int
}

func (y *play) sample() sample {
	s := sample{at: time.Now(), usage: y.controllers.usage(), leader: y.controllers.leader(), messages: map[kind]int64{}, bytes: map[kind]int64{}}
	if s.leader >= 0 {
		s.handled = y.controllers.messages(s.leader)
	}
	for k, t := range y.meter.traffic {
		s.messages[k], s.bytes[k] = t.messages.Load(), t.bytes.Load()
	}
	y.loop.wait(func() {
		s.starts, s.puts = y.times.startsSeen, y.world.State.Puts
		s.workers, s.tasks = len(y.world.MachineNames()), y.world.TasksOnMachines()
	})
	return s
}

// window is what was between two samples.
type window struct {
	workers, running, starts float64
	cores                    []float64
	usage                    []Usage
	messages, bytes          map[kind]float64 // a second
	handled                  map[string]float64
	puts                     float64
	leader                   int
	sameLeader               bool
}

func between(a, b sample) window {
	s := b.at.Sub(a.at).Seconds()
	w := window{
		workers: float64(a.workers+b.workers) / 2, running: float64(a.tasks+b.tasks) / 2,
		starts: float64(b.starts-a.starts) / s, usage: b.usage, puts: float64(b.puts-a.puts) / s,
		messages: map[kind]float64{}, bytes: map[kind]float64{}, handled: map[string]float64{},
		leader: b.leader, sameLeader: a.leader == b.leader && b.leader >= 0,
	}
	for i := range b.usage {
		w.cores = append(w.cores, (b.usage[i].CPUSeconds-a.usage[i].CPUSeconds)/s)
	}
	for k := range b.messages {
		w.messages[k] = float64(b.messages[k]-a.messages[k]) / s
		w.bytes[k] = float64(b.bytes[k]-a.bytes[k]) / s
	}
	if w.sameLeader {
		for k := range b.handled {
			w.handled[k] = float64(b.handled[k]-a.handled[k]) / s
		}
	}
	return w
}

// step measures in windows.
func (y *play) step(ctx context.Context, part float64) (*StepReport, error) {
	y.loop.wait(func() {
		y.meter.forget()
		y.times.watch(y.world.Now)
	})
	r := &StepReport{Part: part}
	first := y.sample()
	before := first
	for range y.p.Windows {
		if err := y.sleep(ctx, "measured", y.p.Measure/time.Duration(y.p.Windows)); err != nil {
			return nil, err
		}
		now := y.sample()
		r.windows = append(r.windows, between(before, now))
		before = now
	}
	r.sumUp(between(first, before))
	r.Times, r.Answers = y.meter.times.Summaries(), y.meter.answers()
	y.loop.wait(func() {
		r.StateKeys, r.StateBytes = y.world.State.Size()
		for _, j := range y.workload.jobs {
			if !j.Accepted && y.world.Now-j.SubmittedAt > overdue {
				r.JobsNotAccepted++
			}
		}
	})
	return r, nil
}

// overdue is when a submission that isn't accepted counts as such.
const overdue = 5 * time.Second

// sumUp fills in the means of the whole measurement.
func (r *StepReport) sumUp(w window) {
	r.Workers, r.Running, r.Starts = w.workers, w.running, w.starts
	r.LeaderChanged = !w.sameLeader
	for i, u := range w.usage {
		role := Role{Name: controllerName(i), Cores: w.cores[i], MemoryMB: u.MemoryMB, Sockets: u.Sockets}
		if i == w.leader {
			r.Leader = role
		} else {
			r.Followers = append(r.Followers, role)
		}
	}
	r.MessagesPerS, r.BytesPerS, r.HandledPerS = map[string]float64{}, map[string]float64{}, w.handled
	for _, k := range kinds {
		r.MessagesPerS[string(k)], r.BytesPerS[string(k)] = w.messages[k], w.bytes[k]
	}
	r.StateWritesPerS = w.puts
	if w.workers > 0 {
		r.WorkerMessagesPerS = (w.messages[kindReport] + w.messages[kindOrders]) / w.workers
		r.WorkerBytesPerS = (w.bytes[kindReport] + w.bytes[kindOrders]) / w.workers
	}
}

// lines fits what grows against what it may grow with, over the windows of all steps.
func lines(steps []StepReport) []Line {
	var windows []window
	for _, s := range steps {
		for _, w := range s.windows {
			if w.sameLeader {
				windows = append(windows, w)
			}
		}
	}
	column := func(of func(window) float64) []float64 {
		out := make([]float64, len(windows))
		for i, w := range windows {
			out[i] = of(w)
		}
		return out
	}
	follower := func(w window, of func(int) float64) float64 {
		if len(w.cores) < 2 {
			return 0
		}
		return of((w.leader + 1) % len(w.cores))
	}
	against := []struct {
		name string
		of   func(window) float64
	}{
		{"workers", func(w window) float64 { return w.workers }},
		{"tasks running", func(w window) float64 { return w.running }},
		{"starts/s", func(w window) float64 { return w.starts }},
	}
	figures := []struct {
		name string
		of   func(window) float64
	}{
		{"leader cores", func(w window) float64 { return w.cores[w.leader] }},
		{"leader MB", func(w window) float64 { return w.usage[w.leader].MemoryMB }},
		{"leader sockets", func(w window) float64 { return float64(w.usage[w.leader].Sockets) }},
		{"follower cores", func(w window) float64 { return follower(w, func(i int) float64 { return w.cores[i] }) }},
		{"follower MB", func(w window) float64 { return follower(w, func(i int) float64 { return w.usage[i].MemoryMB }) }},
		{"state requests/s", func(w window) float64 { return w.messages[kindState] }},
		{"state bytes/s", func(w window) float64 { return w.bytes[kindState] }},
		{"keys written/s", func(w window) float64 { return w.puts }},
		{"reports/s", func(w window) float64 { return w.messages[kindReport] }},
		{"commands/s", func(w window) float64 { return w.messages[kindOrders] }},
		{"workers' bytes/s", func(w window) float64 { return w.bytes[kindReport] + w.bytes[kindOrders] }},
		{"cloud calls/s", func(w window) float64 { return w.messages[kindCloud] }},
	}
	var out []Line
	for _, x := range against {
		xs := column(x.of)
		for _, y := range figures {
			if l, ok := fit(y.name, x.name, xs, column(y.of)); ok {
				out = append(out, l)
			}
		}
	}
	return out
}
