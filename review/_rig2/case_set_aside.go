package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"oakpick/internal/protocol"
)

func init() { cases["set-aside"] = setAside }

// setAside has one of the two machines of a type in a zone fail every task that it starts, with trouble, for a
// while. After that a standing replica has to start there: the other machine is full.
func setAside(r *rig) (int, error) {
	r.cloud.capacity = func(kind, zone string, _ bool) int {
		if kind == ownedType && zone == ownedZone {
			return 2
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
	submit := func(s protocol.Submission, runs time.Duration) error {
		if a := r.users.submit(s, runs); a.status != 201 {
			return fmt.Errorf("%s was not accepted: %d", s.ID, a.status)
		}
		return nil
	}
	standing := func(id string, tasks int, cpus, gpus, mem float64) protocol.Submission {
		s := owned(replicas(id, tasks), cpus, gpus, mem)
		s.Spread, s.ImageGB = false, 1
		return s
	}
	if err := submit(standing("wk-000600", 2, 26, 1, 60), 0); err != nil {
		return couldNot, err
	}
	if !waitUntil(10*time.Second, func() bool { return r.running("wk-000600") == 2 }) {
		return couldNot, errors.New("the standing replicas don't run")
	}
	var machines []*worker
	for _, w := range r.cloud.workers() {
		if w.machine.Type == ownedType && w.machine.Zone == ownedZone {
			machines = append(machines, w)
		}
	}
	if r.trouble {
		machines[0].setFaulty(true)
	}
	for _, s := range []protocol.Submission{owned(digest("wk-000601", 2), 10, 4, 40), owned(digest("wk-000602", 2), 6, 3, 30)} {
		if err := submit(s, 2*time.Second); err != nil {
			return couldNot, err
		}
	}
	if !r.allDone([]string{"wk-000601", "wk-000602"}, 20*time.Second) {
		return couldNot, errors.New("the batches are not done")
	}
	machines[0].setFaulty(false)
	// The other machine is filled.
	if err := submit(standing("wk-000603", 1, 20, 6, 60), 0); err != nil {
		return couldNot, err
	}
	if !waitUntil(15*time.Second, func() bool { return r.running("wk-000603") == 1 }) {
		return couldNot, errors.New("the replica that fills a machine doesn't run")
	}
	one := standing("wk-000604", 1, 8, 2, 25)
	if err := submit(one, 0); err != nil {
		return couldNot, err
	}
	return r.startsUnderLimit(one.ID, one.Team, 120, waitLimit, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !started[one.ID].IsZero()
	}), nil
}
