package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// BenchmarkStep times the leader's decisions at several sizes. Where time has to
// pass, the stand-ins of everything outside are in the figure too.
func BenchmarkStep(b *testing.B) {
	for _, machines := range []int{100, 400, 1600} {
		_, n := newFleet(b, machines)
		run := func(name string, request func() message.Request) {
			b.Run(fmt.Sprintf("%s/%d", name, machines), func(b *testing.B) {
				for range b.N {
					n.Request(request(), func(message.Reply) {})
				}
			})
		}
		b.Run(fmt.Sprintf("tick/%d", machines), func(b *testing.B) {
			for range b.N {
				n.Tick()
			}
		})
		run("poll", func() message.Request {
			return message.UserRequest{Kind: message.Poll, Job: "wk-000001"}
		})
		seq := int64(0)
		run("report", func() message.Request {
			seq++
			return message.HeartbeatRequest{Heartbeat: &protocol.Heartbeat{Machine: "x-000001", Type: "small", Zone: "a", Incarnation: 1, Sequence: seq}}
		})
		run("submission", func() message.Request {
			seq++
			s := service(100_000+int(seq), 1)
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
				if !w.RunUntil(60*time.Second, func() bool { return w.Leader() != nil }) {
					b.Fatal("nobody leads")
				}
				old.Start()
			}
		})
	}
}

// peakLoad is a fleet at the users' next size: so many machines, half of them with replicas,
// and arrays that make so many starts a second with so many tasks running.
type peakLoad struct {
	w     *fake.World
	n     *fake.Controller
	rate  float64 // arrays a second
	tasks int     // each
	run   time.Duration
	due   float64
	next  int
}

// newPeakLoad makes a fleet at its peak, with so many tasks running and so many starts a
// second.
func newPeakLoad(t testing.TB, machines, running int, starts float64) *peakLoad {
	t.Helper()
	w, n := newFleet(t, machines)
	p := &peakLoad{w: w, n: n, rate: 3.2, next: 10_000}
	p.tasks = int(starts / p.rate)
	p.run = time.Duration(float64(running) / starts * float64(time.Second))
	p.advance(time.Duration(float64(p.run) * 1.2))
	return p
}

// advance lets time pass, with arrays submitted as it does.
func (p *peakLoad) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		for p.due += p.rate * step.Seconds(); p.due >= 1; p.due-- {
			p.next++
			s := job(p.next, protocol.Array, p.tasks)
			s.Team, s.CPUs, s.MemoryGB, s.ImageGB, s.CheckpointIntervalS = "red", 0.05, 0.1, 0.1, 0
			p.w.Submit(s, p.run)
		}
		p.w.Run(step)
	}
}

// BenchmarkPeak times a second at the next size. The stand-ins of everything outside are in
// the figure; the profile tells them apart.
func BenchmarkPeak(b *testing.B) {
	for _, size := range []struct {
		machines, running int
		starts            float64
	}{{600, 6500, 245}, {2400, 26000, 980}} {
		b.Run(fmt.Sprintf("%d machines %d tasks %.0f starts", size.machines, size.running, size.starts), func(b *testing.B) {
			p := newPeakLoad(b, size.machines, size.running, size.starts)
			b.ResetTimer()
			began := p.n.Stats().TasksStarted
			for range b.N {
				p.advance(time.Second)
			}
			b.ReportMetric(float64(p.n.Stats().TasksStarted-began)/float64(b.N), "starts/op")
			requireNoViolations(b, p.w)
		})
	}
}
