package scale

import (
	"context"
	"time"

	"oakpick/internal/scale/testbed"
)

// sample holds the resource usage and the cumulative counts at one point in time.
type sample struct {
	at      time.Time
	usage   []testbed.Usage // by controller
	traffic map[testbed.TrafficKind]testbed.Traffic
	leader  int              // number of the controller, or testbed.NoLeader
	handled map[string]int64 // messages handled by the leader, by kind
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

// resetMeasurement clears the latencies, the response counts and the service gaps. The testbed's loop
// calls it.
func (e *experiment) resetMeasurement() {
	e.testbed.Meter.Reset()
	e.gaps.reset(e.testbed.World.Now)
}

// measureStep measures the step in consecutive windows.
func (e *experiment) measureStep(ctx context.Context) (*StepReport, error) {
	e.testbed.DoAndWait(e.resetMeasurement)
	r := &StepReport{Fraction: e.fraction}
	first := e.takeSample(ctx)
	previous := first
	for range e.parameters.Windows {
		if err := e.sleep(ctx, "measured", e.parameters.Measure/time.Duration(e.parameters.Windows)); err != nil {
			return nil, err
		}
		next := e.takeSample(ctx)
		if err := ctx.Err(); err != nil {
			return nil, err // the sample is incomplete: some requests to controllers were cancelled
		}
		r.windows = append(r.windows, newWindow(previous, next))
		previous = next
	}
	r.setMeans(newWindow(first, previous))
	r.Latencies, r.ResponseCounts = e.testbed.Meter.Latencies.Summaries(), e.testbed.Meter.ResponseCounts()
	e.testbed.DoAndWait(func() {
		r.StateKeys, r.StateBytes = e.testbed.World.State.Size()
		r.JobsNotAccepted = e.workload.overdueSubmissions()
	})
	return r, nil
}

// setMeans sets the means over the whole measurement, and the memory and sockets at its end.
func (r *StepReport) setMeans(w window) {
	r.Workers, r.Running, r.StartsPerS = w.workers, w.running, w.starts
	r.LeaderChanged = !w.sameLeader
	for controller, usage := range w.usage {
		role := ControllerUsage{Name: testbed.ControllerName(controller), Cores: w.cores[controller], MemoryMB: usage.MemoryMB, Sockets: usage.Sockets}
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
