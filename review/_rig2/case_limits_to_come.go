package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"oakpick/internal/protocol"
)

func init() { cases["limits-to-come"] = limitsToCome }

const (
	// rollEvery is the time from one controller's end to the next one's (node_roll, every_s, of the site file).
	rollEvery = 10 * time.Second
	fanIn     = 160 // jobs that the last job of the pipeline needs, besides the long one
	waitLimit = 90 * time.Second
)

// limitsToCome has a job wait for 161 others while the controllers are restarted one after the other;
// with trouble, their settings announce the lower limits of the state service from then on. Once all
// that it needs is done, and machines have room, the job has to start.
func limitsToCome(r *rig) (int, error) {
	if err := r.begin(); err != nil {
		return couldNot, err
	}
	var mu sync.Mutex
	started := map[string]time.Time{}
	onStart = func(a protocol.Attempt, _ string) {
		mu.Lock()
		defer mu.Unlock()
		started[a.Job] = time.Now()
	}
	const standing, long, last = "wk-000201", "wk-000202", "wk-000203"
	if a := r.users.submit(replicas(standing, 2), 0); a.status != 201 {
		return couldNot, fmt.Errorf("%s was not accepted: %d", standing, a.status)
	}
	needed, err := r.submitMany(3000, fanIn)
	if err != nil {
		return couldNot, err
	}
	lastNeeded := scrub(long)
	if a := r.users.submit(lastNeeded, 21500*time.Millisecond); a.status != 201 {
		return couldNot, fmt.Errorf("%s was not accepted: %d", long, a.status)
	}
	push := scrub(last)
	push.Class, push.Priority, push.EstimatedRunS, push.DeadlineS = "renewal-push", protocol.High, 8, 300
	push.Prerequisites = append(needed, long)
	if a := r.users.submit(push, 3*time.Second); a.status != 201 {
		return couldNot, fmt.Errorf("%s was not accepted: %d %s", last, a.status, a.err)
	}
	if r.trouble {
		r.controllers.settings["state"] = map[string]any{
			"rps": 120.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 8,
			"next": map[string]any{"write_rps": 18.0, "value_kb": 2.0, "txn_ops": 4},
		}
	}
	if err := r.controllers.rollAll(rollEvery, 500*time.Millisecond); err != nil {
		return couldNot, err
	}
	if !r.allDone(append([]string{long}, needed...), 30*time.Second) {
		return couldNot, errors.New("the jobs that it needs are not done")
	}
	return r.startsWithin(last, waitLimit, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !started[last].IsZero()
	}), nil
}

// submitMany submits small jobs, and returns their ids.
func (r *rig) submitMany(first, count int) ([]string, error) {
	return r.submitSome(first, count, scrub)
}

// submitSome submits jobs, whose tasks run for a second, and returns their ids.
func (r *rig) submitSome(first, count int, job func(id string) protocol.Submission) ([]string, error) {
	ids := make([]string, count)
	var mu sync.Mutex
	var failed error
	var submitters sync.WaitGroup
	next := make(chan int)
	for range 12 {
		submitters.Go(func() {
			for i := range next {
				id := fmt.Sprintf("wk-%06d", first+i)
				a := r.users.submit(job(id), time.Second)
				mu.Lock()
				ids[i] = id
				if a.status != 200 && a.status != 201 {
					failed = fmt.Errorf("%s was not accepted: %d %s", id, a.status, a.err)
				}
				mu.Unlock()
			}
		})
	}
	for i := range count {
		next <- i
	}
	close(next)
	submitters.Wait()
	return ids, failed
}

// allDone polls jobs until all are done, or for the given time.
func (r *rig) allDone(ids []string, d time.Duration) bool {
	left := ids
	return waitUntil(d, func() bool {
		for len(left) > 0 && r.users.poll(left[0]).job.Status == protocol.StatusDone {
			left = left[1:]
		}
		if len(left) > 0 {
			time.Sleep(200 * time.Millisecond)
		}
		return len(left) == 0
	})
}

// startsWithin waits until a job starts. While it doesn't, it checks once a second that a machine that
// fits has room; the time without one doesn't count.
func (r *rig) startsWithin(id string, limit time.Duration, started func() bool) int {
	r.rec.add("check", "all troubles are over, and all that %s needs is done", id)
	waited, s := time.Duration(0), book.get(id)
	for at := time.Now(); waited < limit; at = time.Now() {
		if started() {
			r.rec.add("check", "%s has started", id)
			return held
		}
		time.Sleep(500 * time.Millisecond)
		room := r.machineWithRoom(s)
		if room != "" {
			waited += time.Since(at)
		}
		if a := r.users.poll(id); a.job.Status != protocol.StatusQueued {
			r.rec.add("check", "%s is %q (%d)", id, a.job.Status, a.status)
		}
	}
	r.rec.add("check", "%s has been waiting for %.0f s while a machine that fits has room", id, waited.Seconds())
	return broken
}

// machineWithRoom returns a machine that a job allows and that has room for a task of it, by what the
// workers hold, or "".
func (r *rig) machineWithRoom(s *jobEntry) string {
	for _, w := range r.cloud.workers() {
		m := &w.machine
		allowed := (s.Types == nil || slices.Contains(s.Types, m.Type)) && (s.Zone == "" || s.Zone == m.Zone) && (s.Spot || !m.Spot)
		if cpus, gpus, mem := w.free(); allowed && cpus >= s.CPUs && gpus >= s.GPUs && mem >= s.MemoryGB {
			return m.Name
		}
	}
	return ""
}
