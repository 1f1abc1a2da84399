package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"oakpick/internal/protocol"
)

func init() { cases["after-mistakes"] = afterMistakes }

// afterMistakes has two batches that may run on the two machines of one type in one zone only. With
// trouble, both were submitted with a mistake and fail on every machine, until their users cancel them.
// After that, a standing replica of another team has to start on these machines, which have room.
func afterMistakes(r *rig) (int, error) {
	r.cloud.capacity = func(kind, zone string, _ bool) int {
		if kind == ownedType && zone == ownedZone {
			return 2 // the zone has no further machines of this type
		}
		return 11
	}
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
	// A standing replica on each of the two machines keeps both in use.
	standing := owned(replicas("wk-000500", 2), 26, 1, 60)
	standing.Spread, standing.ImageGB = false, 1
	if a := r.users.submit(standing, 0); a.status != 201 {
		return couldNot, fmt.Errorf("%s was not accepted: %d", standing.ID, a.status)
	}
	if !waitUntil(10*time.Second, func() bool { return r.running(standing.ID) == 2 }) {
		return couldNot, errors.New("the standing replicas don't run")
	}
	batches := []protocol.Submission{owned(digest("wk-000501", 2), 10, 4, 40), owned(digest("wk-000502", 2), 6, 3, 30)}
	for _, s := range batches {
		if r.trouble {
			book.fail(s.ID)
		}
		if a := r.users.submit(s, 300*time.Millisecond); a.status != 201 {
			return couldNot, fmt.Errorf("%s was not accepted: %d", s.ID, a.status)
		}
	}
	// Sound jobs of the same class, so that two of fifty have a mistake. They run on other machines.
	others, err := r.submitSome(600, 48, func(id string) protocol.Submission {
		s := digest(id, 1)
		s.Types, s.ImageGB = []string{"hal-32"}, 1
		return s
	})
	if err != nil {
		return couldNot, err
	}
	if !r.allDone(others, 20*time.Second) {
		return couldNot, errors.New("the sound jobs are not done")
	}
	time.Sleep(2 * time.Second) // the users look at their jobs
	if r.trouble {
		for _, s := range batches {
			if a := r.users.cancel(s.ID, time.Now().Add(20*time.Second)); a.job.Status != protocol.StatusCancelled {
				return couldNot, fmt.Errorf("%s was not cancelled: %d %s", s.ID, a.status, a.job.Status)
			}
		}
	} else if !r.allDone([]string{batches[0].ID, batches[1].ID}, 10*time.Second) {
		return couldNot, errors.New("the batches are not done")
	}
	one := replicas("wk-000503", 1)
	one.Class, one.Team, one.Image, one.ImageGB, one.Spread = "frontdesk-large", "member-care", "img-frontdesk", 68.7, false
	one = owned(one, 8, 2, 25)
	if a := r.users.submit(one, 0); a.status != 201 {
		return couldNot, fmt.Errorf("%s was not accepted: %d", one.ID, a.status)
	}
	return r.startsUnderLimit(one.ID, one.Team, 152, waitLimit, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !started[one.ID].IsZero()
	}), nil
}

// The type and zone of two machines.
const ownedType, ownedZone = "sal-48", "odense-own"

// owned restricts a job to the two machines, and sets what each of its tasks takes.
func owned(s protocol.Submission, cpus, gpus, mem float64) protocol.Submission {
	s.Types, s.Zone, s.Spot = []string{ownedType}, ownedZone, false
	s.CPUs, s.GPUs, s.MemoryGB = cpus, gpus, mem
	if s.Class == "churn-digest" {
		s.ImageGB = 1
	}
	return s
}
