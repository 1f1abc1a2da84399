package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/message"
)

// The numbers of machines and jobs that the leader examines may grow with the number of machines or
// with the number of waiting tasks, but not with their product. For polls, they must be
// independent of both.
func TestDecisionCostScalesLinearly(t *testing.T) {
	for _, machines := range []int{100, 400} {
		t.Run(fmt.Sprint(machines, " machines"), func(t *testing.T) {
			w, leader := newFleet(t, machines)
			measure := func(action func()) (examined, jobs int64) {
				before := leader.Stats()
				action()
				after := leader.Stats()
				return after.MachinesExamined - before.MachinesExamined, after.JobsExamined - before.JobsExamined
			}
			examined, jobs := measure(func() {
				for range 100 {
					leader.Request(message.UserRequest{Kind: message.Poll, Job: "wk-000001"}, func(message.Reply) {})
				}
			})
			if examined > int64(2*machines) || jobs > int64(2*machines) {
				t.Errorf("100 polls: %d machines and %d jobs examined", examined, jobs)
			}
			examined, _ = measure(func() { w.Run(time.Second) })
			if examined > int64(15*machines) {
				t.Errorf("one second without requests: %d machines examined", examined)
			}
			// A submission that can be placed costs one scheduling pass, which examines each
			// machine a few times, regardless of the other jobs.
			examined, jobs = measure(func() {
				for i := range 20 {
					s := service(500+i, 1)
					s.Team = "red"
					leader.Request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(message.Reply) {})
				}
			})
			if examined > int64(20*4*(machines+64)) || jobs > int64(20*(machines/50+20)) {
				t.Errorf("20 submissions: %d machines and %d jobs examined", examined, jobs)
			}
			t.Logf("a submission examines %d machines and %d jobs", examined/20, jobs/20)
			submitUnplaceable(w, 10)
			w.Run(2 * time.Second)
			few, _ := measure(func() { w.Run(2 * time.Second) })
			submitUnplaceable(w, 100)
			w.Run(2 * time.Second)
			many, jobs := measure(func() { w.Run(2 * time.Second) })
			if many > 3*few+int64(30*machines) {
				t.Errorf("two seconds with 440 tasks waiting: %d machines examined; with 40: %d", many, few)
			}
			if jobs > 100*int64(110+machines/50) {
				t.Errorf("two seconds with 110 jobs waiting: %d jobs examined", jobs)
			}
			requireNoViolations(t, w)
		})
	}
}
