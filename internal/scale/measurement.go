package scale

import (
	"context"
	"time"

	"oakpick/internal/scale/testbed"
)

// sample is what has been taken and counted until a moment.
type sample struct {
	at      time.Time
	usage   []testbed.Usage // by controller
	traffic map[testbed.TrafficKind]testbed.Traffic
	leader  int
	handled map[string]int64 // messages by kind, by the leader
	starts  int64
	puts    int // keys written to the state service
	workers int
	tasks   int
}

func (e *experiment) takeSample(ctx context.Context) sample {
	controllers := e.testbed.Controllers
	s := sample{at: time.Now(), usage: controllers.Usage(), leader: controllers.Leader(ctx)}
	if s.leader != testbed.NoLeader {
		s.handled = controllers.HandledMessages(ctx, s.leader)
	}
	s.traffic = e.testbed.Meter.Traffic()
	e.testbed.DoAndWait(func() {
		world := e.testbed.World
		s.starts, s.puts = e.gaps.totalStarts, world.State.Puts
		s.workers, s.tasks = len(world.MachineNames()), world.TasksOnMachines()
	})
	return s
}

// resetMeasurement empties what is measured. The testbed's loop calls it.
func (e *experiment) resetMeasurement() {
	e.testbed.Meter.Reset()
	e.gaps.reset(e.testbed.World.Now)
}

// measureStep measures the step in windows.
func (e *experiment) measureStep(ctx context.Context) (*StepReport, error) {
	e.testbed.DoAndWait(e.resetMeasurement)
	r := &StepReport{Part: e.part}
	first := e.takeSample(ctx)
	previous := first
	for range e.parameters.Windows {
		if err := e.sleep(ctx, "measured", e.parameters.Measure/time.Duration(e.parameters.Windows)); err != nil {
			return nil, err
		}
		next := e.takeSample(ctx)
		if err := ctx.Err(); err != nil {
			return nil, err // the sample may lack what controllers weren't asked
		}
		r.windows = append(r.windows, newWindow(previous, next))
		previous = next
	}
	r.setMeans(newWindow(first, previous))
	r.Times, r.Answers = e.testbed.Meter.Latencies.Summaries(), e.testbed.Meter.ResponseCounts()
	e.testbed.DoAndWait(func() {
		r.StateKeys, r.StateBytes = e.testbed.World.State.Size()
		r.JobsNotAccepted = e.workload.overdueSubmissions()
	})
	return r, nil
}

// setMeans fills in the means of the whole measurement.
func (r *StepReport) setMeans(w window) {
	r.Workers, r.Running, r.Starts = w.workers, w.running, w.starts
	r.LeaderChanged = !w.sameLeader
	for controller, usage := range w.usage {
		role := RoleUsage{Name: testbed.ControllerName(controller), Cores: w.cores[controller], MemoryMB: usage.MemoryMB, Sockets: usage.Sockets}
		if controller == w.leader {
			r.Leader = role
		} else {
			r.Followers = append(r.Followers, role)
		}
	}
	r.MessagesPerS, r.BytesPerS, r.HandledPerS = map[string]float64{}, map[string]float64{}, w.handled
	for kind, rates := range w.traffic {
		r.MessagesPerS[string(kind)], r.BytesPerS[string(kind)] = rates.messages, rates.bytes
	}
	r.StateWritesPerS = w.puts
	if w.workers > 0 {
		r.WorkerMessagesPerS = w.workerMessages() / w.workers
		r.WorkerBytesPerS = w.workerBytes() / w.workers
	}
}
