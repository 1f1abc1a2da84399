package main

import (
	"net/http"
	"time"
)

func init() {
	cases["stops"] = caseFunc{shopWatch, func() []flavor { return shopWatchFlavors(2 * time.Second) }, playStops}
}

const (
	standingReplicas = 60
	// mostStops is the number of replicas that may be stopped for the one task that waits. One makes
	// room for it; the rest is margin.
	mostStops = 5
)

// playStops: production replicas run, and a production task becomes ready while a leader that has just
// begun can't ask the cloud for its machine types. Its machines have room for the task.
func playStops(b *bench) {
	leader := b.startAll()
	if leader == nil {
		return
	}
	kinds := []string{"gpu-48"}
	replicas := newJob("wk-000001", "model-ops")
	replicas["jobclass"], replicas["shape"], replicas["rank"], replicas["pieces"], replicas["vcpus"], replicas["kinds_of_host"] =
		"gate-svc", "service", "production", standingReplicas, 2.0, kinds
	b.upload(replicas, 0)
	first := newJob("wk-000002", "complaints")
	first["kinds_of_host"] = kinds
	b.upload(first, 14*time.Second)
	second := newJob("wk-000003", "complaints")
	second["rank"], second["vcpus"], second["kinds_of_host"], second["prereqs"] = "production", 2.0, kinds, []string{"wk-000002"}
	b.upload(second, 10*time.Second)
	for _, j := range []object{replicas, first, second} {
		a := b.persist(http.MethodPost, "/v2/runs", j, 20*time.Second)
		b.record.line("user: submits %s: %d %v %v", text(j["id"]), a.status, a.body, a.err)
	}
	ask := func(id string) answer {
		a := b.persist(http.MethodGet, "/v2/runs/"+id, nil, 10*time.Second)
		b.record.line("user: asks for %s: %d %v %v", id, a.status, a.body, a.err)
		return a
	}
	time.Sleep(10 * time.Second)
	if a := ask("wk-000001"); integer(a.body["running"]) != standingReplicas {
		b.fail("the replicas don't run")
		return
	}
	for _, w := range b.cloud.workers() {
		b.record.line("worker: %s has %.0f of %.0f CPUs free", w.id, w.freeCPUs(), w.kind.cpus)
	}
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
	for range 12 {
		time.Sleep(1500 * time.Millisecond)
		ask("wk-000001")
		ask("wk-000003")
	}
	stopped := b.stops("wk-000001")
	if stopped > mostStops {
		b.breach("%d of %d production replicas were stopped for one production task of 2 CPUs, while machines had room for it", stopped, standingReplicas)
	}
	time.Sleep(15 * time.Second)
	ask("wk-000001")
	if a := ask("wk-000003"); text(a.body["status"]) != "done" {
		b.fail("wk-000003 has not run")
	}
}
