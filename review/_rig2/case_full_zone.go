package main

import (
	"fmt"
	"sync"
	"time"

	"oakpick/internal/protocol"
)

func init() { cases["full-zone"] = fullZone }

// fullZone has a team run 56 urgent replicas under its limit of 72 accelerators while a batch of the
// same team may run only in one zone, whose machines of the wanted type standing replicas of another team
// fill. With trouble, the cloud has no further one. One more urgent replica of the team has to start,
// for which machines have room.
func fullZone(r *rig) (int, error) {
	if r.trouble {
		r.cloud.capacity = func(kind, zone string, spot bool) int {
			if kind == "sal-48" && zone == "odense-own" {
				return 2
			}
			return 11
		}
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
	next := 400
	id := func() string {
		next++
		return fmt.Sprintf("wk-%06d", next)
	}
	submit := func(s protocol.Submission, runs time.Duration) error {
		if a := r.users.submit(s, runs); a.status != 201 {
			return fmt.Errorf("%s was not accepted: %d %s", s.ID, a.status, a.err)
		}
		return nil
	}
	const team, limit = "retention", 72.0
	surge := func(tasks int) protocol.Submission {
		s := replicas(id(), tasks)
		s.Class, s.Team, s.Priority, s.Image, s.Spread = "januar-surge", team, protocol.High, "img-surge", false
		return s
	}
	var standing []string
	for range 4 {
		s := replicas(id(), 4)
		s.Types, s.Zone, s.Spread = []string{"sal-48"}, "odense-own", false
		standing = append(standing, s.ID)
		if err := submit(s, 0); err != nil {
			return couldNot, err
		}
	}
	onMachines := func(ids []string) (n int) {
		for _, j := range ids {
			n += r.onMachines(j)
		}
		return n
	}
	if !waitUntil(10*time.Second, func() bool { return onMachines(standing) == 16 }) {
		return couldNot, fmt.Errorf("%d of 16 standing replicas are on machines", onMachines(standing))
	}
	var surges []string
	for range 14 {
		s := surge(4)
		surges = append(surges, s.ID)
		if err := submit(s, 0); err != nil {
			return couldNot, err
		}
	}
	if !waitUntil(20*time.Second, func() bool { return onMachines(surges) == 56 }) {
		return couldNot, fmt.Errorf("%d of 56 urgent replicas are on machines", onMachines(surges))
	}
	batch := digest(id(), 8)
	batch.Team, batch.Types, batch.Zone, batch.Spot = team, []string{"sal-48"}, "odense-own", false
	if err := submit(batch, 5*time.Second); err != nil {
		return couldNot, err
	}
	time.Sleep(time.Second)
	one := surge(1)
	if err := submit(one, 0); err != nil {
		return couldNot, err
	}
	return r.startsUnderLimit(one.ID, team, limit, waitLimit, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return !started[one.ID].IsZero()
	}), nil
}

// onMachines counts a job's tasks on machines.
func (r *rig) onMachines(job string) int {
	n := 0
	for _, w := range r.cloud.workers() {
		n += w.count(func(t *workerTask) bool { return t.Job == job })
	}
	return n
}

// teamUses sums the accelerators that a team's tasks have.
func (r *rig) teamUses(team string) float64 {
	used := 0.0
	for _, w := range r.cloud.workers() {
		w.count(func(t *workerTask) bool {
			if t.job.Team == team {
				used += t.job.GPUs
			}
			return false
		})
	}
	return used
}

// startsUnderLimit waits until a job starts. Only the time counts in which a machine that fits has room
// and the team would not be over its limit.
func (r *rig) startsUnderLimit(id, team string, limit float64, most time.Duration, started func() bool) int {
	r.rec.add("check", "%s waits; its team uses %.0f of %.0f accelerators", id, r.teamUses(team), limit)
	waited, s := time.Duration(0), book.get(id)
	begun := time.Now()
	for at := begun; waited < most && time.Since(begun) < most+5*time.Second; at = time.Now() {
		if started() {
			r.rec.add("check", "%s has started after %.0f s", id, time.Since(begun).Seconds())
			return held
		}
		time.Sleep(500 * time.Millisecond)
		room := r.machineWithRoom(s)
		used := r.teamUses(team)
		if room != "" && used+s.GPUs <= limit {
			waited += time.Since(at)
		}
		a := r.users.poll(id)
		r.rec.add("check", "%s is %s, %s has room, the team uses %.0f of %.0f", id, a.job.Status, room, used, limit)
	}
	if waited < most {
		r.rec.add("check", "%s has not started, but waited for only %.0f s with room and under the limit", id, waited.Seconds())
		return held
	}
	r.rec.add("check", "%s has been waiting for %.0f s while a machine that fits has room and its team is under its limit", id, waited.Seconds())
	return broken
}
