package main

import (
	"net/http"
	"time"
)

func init() {
	cases["zero"] = caseFunc{shopWatch, func() []flavor { return shopWatchFlavors(24 * time.Second) }, playZero}
}

// playZero: two jobs wait for their first machine, one of them with tasks that take nothing of it.
// While the machine boots, the cloud's interface goes down for 20 s and the leader crashes.
func playZero(b *bench) {
	leader := b.startAll()
	if leader == nil {
		return
	}
	for _, c := range b.controllers {
		go c.revive(6 * time.Second)
	}
	first := newJob("wk-000001", "complaints")
	first["jobclass"], first["shape"], first["rank"] = "gate-svc", "service", "production"
	b.upload(first, 0)
	join := newJob("wk-000002", "inspection")
	join["jobclass"], join["vcpus"], join["gpus"], join["mem_gb"] = "audit-join", 0.0, 0.0, 0.0
	b.upload(join, 5*time.Second)
	for _, j := range []object{first, join} {
		a := b.persist(http.MethodPost, "/v2/runs", j, 20*time.Second)
		b.record.line("user: submits %s: %d %v %v", text(j["id"]), a.status, a.body, a.err)
		if a.status != http.StatusCreated {
			b.fail("%s is not accepted", text(j["id"]))
			return
		}
	}
	time.Sleep(15 * time.Second)
	if b.trouble {
		b.record.line("disruption: the cloud's interface is down for 20 s, the leader crashes and is back after 6 s")
		b.cloud.setDown(true)
		b.after(20*time.Second, func() {
			b.record.line("disruption: the cloud's interface is back")
			b.cloud.setDown(false)
		})
		leader.kill()
		b.after(6*time.Second, leader.start)
	}
	time.Sleep(45 * time.Second)
	for _, c := range b.controllers {
		if n := c.crashCount(); n > 0 {
			b.breach("%s ended by itself %d times", c.name, n)
		}
	}
	for _, id := range []string{"wk-000001", "wk-000002"} {
		a := b.persist(http.MethodGet, "/v2/runs/"+id, nil, 10*time.Second)
		b.record.line("user: asks for %s: %d %v %v", id, a.status, a.body, a.err)
		if a.status != http.StatusOK || text(a.body["status"]) == "queued" {
			b.fail("%s has not run", id)
		}
	}
}
