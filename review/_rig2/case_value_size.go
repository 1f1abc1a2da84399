package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["value-size"] = valueSize }

// valueSize restarts the controllers one after the other while a job of one block runs; with trouble,
// value_kb in their settings is 2 instead of 4 from then on. Afterwards the users ask about all jobs.
func valueSize(r *rig) (int, error) {
	if err := r.begin(); err != nil {
		return couldNot, err
	}
	jobs := []string{"wk-000101", "wk-000102", "wk-000103"}
	for _, s := range []struct {
		answer
		id string
	}{
		{r.users.submit(replicas(jobs[0], 2), 0), jobs[0]},
		{r.users.submit(digest(jobs[1], 20), 40*time.Second), jobs[1]},
		{r.users.submit(digest(jobs[2], 4), 40*time.Second), jobs[2]},
	} {
		if s.status != 201 && s.status != 200 {
			return couldNot, fmt.Errorf("%s was not accepted: %d", s.id, s.status)
		}
	}
	if !waitUntil(40*time.Second, func() bool { return r.running(jobs[1]) == 20 }) {
		return couldNot, errors.New("the 20 tasks don't run")
	}
	if r.trouble {
		r.controllers.settings["state"] = map[string]any{"rps": 120.0, "write_rps": 25.0, "value_kb": 2.0, "txn_ops": 8}
	}
	if err := r.controllers.restartAll(time.Second, 4*time.Second, []int{0, 1, 2}); err != nil {
		return couldNot, err
	}
	return r.answeredWithin(jobs, 75*time.Second), nil
}

// answeredWithin polls jobs from now on, each every two seconds. A job about which no question is
// answered for the given time counts as forgotten.
func (r *rig) answeredWithin(jobs []string, limit time.Duration) int {
	r.rec.add("check", "all troubles are over; polling %v", jobs)
	over := time.Now()
	var mu sync.Mutex
	last := map[string]time.Time{}
	var pollers sync.WaitGroup
	end := over.Add(limit)
	for _, id := range jobs {
		pollers.Go(func() {
			for time.Now().Before(end) {
				if a := r.users.poll(id); a.status == 200 {
					mu.Lock()
					last[id] = time.Now()
					mu.Unlock()
					if time.Since(over) > 15*time.Second {
						return
					}
				}
				time.Sleep(2 * time.Second)
			}
		})
	}
	pollers.Wait()
	code := held
	for _, id := range jobs {
		if last[id].IsZero() {
			r.rec.add("check", "forgotten: no question about %s was answered for %.0f s", id, time.Since(over).Seconds())
			code = broken
		}
	}
	for _, line := range r.controllers.logLines("cannot load the stored records", 3) {
		r.rec.add("log", "%s", line)
	}
	return code
}
