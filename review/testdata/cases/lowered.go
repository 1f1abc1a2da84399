package main

import (
	"net/http"
	"time"
)

func init() {
	cases["lowered"] = caseFunc{shopWatch, func() []flavor { return shopWatchFlavors(2 * time.Second) }, playLowered}
}

// playLowered: the state service's limits are lowered as announced. The controllers are restarted one
// after the other, first with the limits to come as state.next, and once these are in force with
// them as the limits.
func playLowered(b *bench) {
	if b.startAll() == nil {
		return
	}
	replicas := newJob("wk-000001", "complaints")
	replicas["jobclass"], replicas["shape"], replicas["rank"], replicas["pieces"] = "gate-svc", "service", "production", 30
	b.upload(replicas, 0)
	a := b.persist(http.MethodPost, "/v2/runs", replicas, 20*time.Second)
	b.record.line("user: submits wk-000001: %d %v %v", a.status, a.body, a.err)
	for until := time.Now().Add(15 * time.Second); integer(a.body["running"]) != 30; time.Sleep(time.Second) {
		if a = b.ask(b.controllers[0], http.MethodGet, "/v2/runs/wk-000001", nil); time.Now().After(until) {
			b.fail("wk-000001 doesn't run: %d %v", a.status, a.body)
			return
		}
	}
	b.record.line("user: asks for wk-000001: %d %v", a.status, a.body)
	lower := stateLimits{RPS: 250, WriteRPS: 18, ValueKB: 4, TxnOps: 4}
	b.settings.State.Next = &lower
	b.record.line("the limits of the state service are to be lowered: the controllers are restarted with them as state.next")
	b.roll()
	b.state.setLimits(lower)
	b.record.line("the limits are lowered")
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.settings.State = lower
		b.record.line("disruption: the controllers are restarted with the limits that are in force as settings")
	} else {
		b.record.line("the controllers are restarted with the same settings")
	}
	b.roll()
	quietSince := time.Now()
	for time.Since(quietSince) < 76*time.Second {
		c := b.controllers[time.Now().Second()%len(b.controllers)]
		a = b.ask(c, http.MethodGet, "/v2/runs/wk-000001", nil)
		b.record.line("user: asks %s for wk-000001: %d %v %v", c.name, a.status, a.body, a.err)
		if a.status == http.StatusOK {
			return
		}
		time.Sleep(5 * time.Second)
	}
	b.breach("forgotten: the troubles are over, and no question about wk-000001 was answered for 75 s")
}

// roll restarts all controllers, one after the other.
func (b *bench) roll() {
	for _, c := range b.controllers {
		c.kill()
		time.Sleep(300 * time.Millisecond)
		c.start()
		time.Sleep(3 * time.Second)
	}
}
