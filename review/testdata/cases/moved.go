package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["moved"] = caseFunc{wellness, func() []flavor { return wellnessFlavors(0, 0) }, playMoved}
}

const (
	endedJobs    = 18_000 // at the beginning
	namesPerJob  = 25     // prerequisites of each job of the test
	slowResponse = 120 * time.Millisecond
)

// playMoved: many jobs have ended. While the leader moves them to its archive, a user submits jobs that
// name some of them, and the state service answers slowly.
func playMoved(b *bench) {
	if b.startAll() == nil {
		return
	}
	var mu sync.Mutex
	var accepted []string
	var last atomic.Int64
	submit := func(names []string) (id string, a answer) {
		id = fmt.Sprintf("wk-%06d", last.Add(1))
		j := newJob(id, "spa-reception")
		j["prereqs"] = names
		a = b.persist(http.MethodPost, "/v2/runs", j, 60*time.Second)
		if a.status == http.StatusOK || a.status == http.StatusCreated {
			mu.Lock()
			accepted = append(accepted, id)
			mu.Unlock()
		}
		return id, a
	}
	// The first job is cancelled by its user. Each later one names one that is cancelled, so it is
	// accepted and cancelled with it: the shortest way to many ended jobs.
	first, a := submit(nil)
	b.record.line("user: submits %s: %d %v %v", first, a.status, a.body, a.err)
	a = b.persist(http.MethodPost, "/v2/runs/"+first+"/abort", object{}, 30*time.Second)
	b.record.line("user: cancels %s: %d %v %v", first, a.status, a.body, a.err)
	cancelled := func() string {
		mu.Lock()
		defer mu.Unlock()
		if len(accepted) < 2000 {
			return first
		}
		return accepted[len(accepted)-1000]
	}
	var work sync.WaitGroup
	for range 60 {
		work.Go(func() {
			for last.Load() < endedJobs {
				if id, a := submit([]string{cancelled()}); a.status != http.StatusOK && a.status != http.StatusCreated {
					b.record.line("user: submits %s: %d %v %v", id, a.status, a.body, a.err)
				}
			}
		})
	}
	work.Wait()
	b.record.line("users: %d jobs were accepted and have ended", len(accepted))
	if len(accepted) < endedJobs-100 {
		b.fail("too few jobs were accepted")
		return
	}
	if b.trouble {
		b.record.line("disruption: the state service answers slowly, after %s", slowResponse)
		b.state.setDelay(slowResponse)
	}
	time.Sleep(3 * time.Second)
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && len(b.breaches()) == 0; {
		time.Sleep(time.Duration(100+rand.IntN(80)) * time.Millisecond)
		var names []string
		for range namesPerJob {
			names = append(names, accepted[rand.IntN(len(accepted))])
		}
		id, a := submit(names)
		b.record.line("user: submits %s, which names %d accepted jobs: %d %v %v", id, len(names), a.status, a.body, a.err)
		if a.status == http.StatusUnprocessableEntity {
			b.breach("%s names only accepted jobs %v, and the answer is 422 %v", id, names, a.body)
		}
	}
}
