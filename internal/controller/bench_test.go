package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// BenchmarkStep measures ticks, requests, a simulated second with waiting tasks, and a takeover at
// several fleet sizes. Where simulated time passes, the results include the cost of the fakes.
func BenchmarkStep(b *testing.B) {
	for _, machines := range []int{100, 400, 1600} {
		_, leader := newFleet(b, machines)
		run := func(name string, request func() message.Request) {
			b.Run(fmt.Sprintf("%s/%d", name, machines), func(b *testing.B) {
				for range b.N {
					leader.Request(request(), func(message.Reply) {})
				}
			})
		}
		b.Run(fmt.Sprintf("tick/%d", machines), func(b *testing.B) {
			for range b.N {
				leader.Tick()
			}
		})
		run("poll", func() message.Request {
			return message.UserRequest{Kind: message.Poll, Job: "wk-000001"}
		})
		sequence := int64(0)
		run("report", func() message.Request {
			sequence++
			return message.HeartbeatRequest{Heartbeat: &protocol.Heartbeat{Machine: "x-000001", Type: "small", Zone: "a", Incarnation: 1, Sequence: sequence}}
		})
		run("submission", func() message.Request {
			sequence++
			s := service(100_000+int(sequence), 1)
			s.Team = "red"
			return message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}
		})
		w, _ := newFleet(b, machines)
		submitUnplaceable(w, 300)
		w.Run(2 * time.Second)
		b.Run(fmt.Sprintf("second with 1200 tasks waiting/%d", machines), func(b *testing.B) {
			for range b.N {
				w.Run(time.Second)
			}
		})
		b.Run(fmt.Sprintf("take-over/%d", machines), func(b *testing.B) {
			for range b.N {
				old := w.Leader()
				old.Crash()
				waitLeader(b, w, 60*time.Second)
				old.Start()
			}
		})
	}
}

// peakLoad is a fleet at peak load, of the size that users plan to reach next. Each machine runs a
// service replica, and arrays are submitted at a constant rate.
type peakLoad struct {
	world           *fake.World
	leader          *fake.Controller
	arraysPerSecond float64
	tasksPerArray   int
	runTime         time.Duration // of each task
	dueArrays       float64       // arrays to submit; the fraction carries over to the next step
	lastID          int
}

// newPeakLoad makes a fleet at peak load with the given numbers of machines, running tasks and task
// starts per second.
func newPeakLoad(tb testing.TB, machines, running int, starts float64) *peakLoad {
	tb.Helper()
	w, leader := newFleet(tb, machines)
	p := &peakLoad{world: w, leader: leader, arraysPerSecond: 3.2, lastID: 10_000}
	p.tasksPerArray = int(starts / p.arraysPerSecond)
	p.runTime = time.Duration(float64(running) / starts * float64(time.Second))
	p.advance(time.Duration(float64(p.runTime) * 1.2))
	return p
}

// advance lets simulated time pass and submits the arrays that become due.
func (p *peakLoad) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		for p.dueArrays += p.arraysPerSecond * step.Seconds(); p.dueArrays >= 1; p.dueArrays-- {
			p.lastID++
			s := job(p.lastID, protocol.Array, p.tasksPerArray)
			s.Team, s.CPUs, s.MemoryGB, s.ImageGB, s.CheckpointIntervalS = "red", 0.05, 0.1, 0.1, 0
			p.world.Submit(s, p.runTime)
		}
		p.world.Run(step)
	}
}

// BenchmarkPeak measures a simulated second at peak load. The results include the cost of the
// fakes; a CPU profile shows the controller's share.
func BenchmarkPeak(b *testing.B) {
	for _, size := range []struct {
		machines, running int
		starts            float64
	}{{600, 6500, 245}, {2400, 26000, 980}} {
		b.Run(fmt.Sprintf("%d machines %d tasks %.0f starts", size.machines, size.running, size.starts), func(b *testing.B) {
			p := newPeakLoad(b, size.machines, size.running, size.starts)
			b.ResetTimer()
			began := p.leader.Stats().TasksStarted
			for range b.N {
				p.advance(time.Second)
			}
			b.ReportMetric(float64(p.leader.Stats().TasksStarted-began)/float64(b.N), "starts/op")
			requireNoViolations(b, p.world)
		})
	}
}
