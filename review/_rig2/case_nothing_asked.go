package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["nothing-asked"] = nothingAsked }

// restartDelay is how long a process that ended stays away.
const restartDelay = 5 * time.Second

// nothingAsked has a job that takes nothing of its machine wait for another. With trouble, the cloud's
// interface is down and the leader is killed while it waits. No controller may end by itself.
func nothingAsked(r *rig) (int, error) {
	if err := r.begin(); err != nil {
		return couldNot, err
	}
	const standing, first, marker = "wk-000301", "wk-000302", "wk-000303"
	if a := r.users.submit(replicas(standing, 2), 0); a.status != 201 {
		return couldNot, fmt.Errorf("%s was not accepted: %d", standing, a.status)
	}
	if a := r.users.submit(scrub(first), 15*time.Second); a.status != 201 {
		return couldNot, fmt.Errorf("%s was not accepted: %d", first, a.status)
	}
	end := scrub(marker)
	end.CPUs, end.GPUs, end.MemoryGB, end.Prerequisites = 0, 0, 0, []string{first}
	a := r.users.submit(end, time.Second)
	if a.status == 400 || a.status == 422 {
		r.rec.add("check", "the job that takes nothing was refused: %d %s", a.status, a.err)
		return held, nil
	}
	if a.status != 201 {
		return couldNot, fmt.Errorf("%s was not accepted: %d", marker, a.status)
	}
	if !waitUntil(20*time.Second, func() bool { return r.running(first) == 1 }) {
		return couldNot, errors.New("the first job doesn't run")
	}
	over := time.Now().Add(45 * time.Second)
	cloudBack := time.Now().Add(30 * time.Second)
	if r.trouble {
		r.cloud.setDown(true)
		leader := r.controllers.leader()
		if leader < 0 {
			return couldNot, errors.New("no controller leads")
		}
		r.controllers.kill(leader)
		go func() {
			time.Sleep(restartDelay)
			_ = r.controllers.start(leader)
		}()
	}
	return r.watchProcesses(over, cloudBack, []string{standing, first, marker}), nil
}

// watchProcesses polls jobs and starts controllers that ended by themselves again, until the end.
func (r *rig) watchProcesses(end, cloudBack time.Time, jobs []string) int {
	code := held
	back := map[int]time.Time{} // when an ended controller is started again
	for i := 0; time.Now().Before(end); i++ {
		r.users.poll(jobs[i%len(jobs)])
		time.Sleep(300 * time.Millisecond)
		if time.Now().After(cloudBack) {
			r.cloud.setDown(false)
		}
		for _, n := range r.controllers.crashedNumbers() {
			if at, known := back[n]; !known {
				r.rec.add("check", "%s has ended by itself", nodeNames[n])
				back[n] = time.Now().Add(restartDelay)
				code = broken
			} else if time.Now().After(at) {
				delete(back, n)
				_ = r.controllers.start(n)
			}
		}
	}
	for _, line := range r.controllers.logLines("panic:", 6) {
		r.rec.add("log", "%s", line)
	}
	for _, line := range r.controllers.logLines("oakpick/internal/scheduling.(*Scheduler)", 6) {
		r.rec.add("log", "%s", line)
	}
	return code
}
