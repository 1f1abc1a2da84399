package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/protocol"
)

// A machine that runs a member of a gang fails. The other members are stopped, and all members start
// again together in the next attempt.
func TestGangRestartsTogether(t *testing.T) {
	w := newWorld(t)
	s := job(1, protocol.Gang, 3)
	s.CPUs, s.Spread = 3, true
	j := w.Submit(s, 40*time.Second)
	waitRunning(t, w, s.ID, 3)
	w.Cloud.Fail(w.MachinesOf(s.ID)[1])
	w.Run(2 * time.Second)
	waitRunning(t, w, s.ID, 3)
	for range 40 {
		w.Run(2 * time.Second)
		w.PollAll()
	}
	if j.Status != protocol.StatusDone {
		t.Errorf("status %q", j.Status)
	}
	requireNoViolations(t, w)
}

// The leader accepts a gang and crashes after the starts of some blocks of its first attempt are
// durable, but before the record with the attempt's number is. The new leader starts the missing
// members with the attempt number that the others have. Members of different attempts would wait
// for each other until they time out.
func TestGangMembersShareOneAttemptNumber(t *testing.T) {
	for lost := 2; lost <= 5; lost++ {
		t.Run(fmt.Sprint("lost from write ", lost), func(t *testing.T) {
			w := newWorldWith(t, onePagePerTransaction())
			provisionIdleMachines(t, w)
			w.Run(5 * time.Second)
			attempts := map[int64]bool{}
			w.OnHeartbeat = func(r protocol.Heartbeat) {
				for _, task := range r.Tasks {
					if task.Job == "wk-000001" {
						attempts[task.Number] = true
					}
				}
			}
			w.Network = loseNthWrite(w, lost)
			j := w.Submit(multiBlockJob(1, protocol.Gang), 5*time.Second)
			w.Run(300 * time.Millisecond)
			w.Leader().Crash()
			w.Network = nil
			runAndPoll(w, 60*time.Second)
			requireNoViolations(t, w)
			if len(attempts) != 1 {
				t.Errorf("members of %d attempts were started", len(attempts))
			}
			if j.Status != protocol.StatusDone {
				t.Errorf("the gang has status %q", j.Status)
			}
		})
	}
}
