package coordination_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/coordination"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// world makes one in which n0 leads.
func world(t *testing.T) *fake.World {
	t.Helper()
	return worldOf(t, fake.Settings())
}

// worldOf makes one with such settings in which n0 leads.
func worldOf(t *testing.T, s config.Settings) *fake.World {
	t.Helper()
	w := fake.NewWorld(s)
	for _, n := range w.Nodes[1:] {
		n.Crash()
	}
	if !w.Until(5*time.Second, w.Nodes[0].Leads) {
		t.Fatal("nobody leads")
	}
	for _, n := range w.Nodes[1:] {
		n.Start()
	}
	return w
}

func runs(t *testing.T, w *fake.World, id string, tasks int) {
	t.Helper()
	if !w.Until(90*time.Second, func() bool { return w.Running(id) == tasks }) {
		t.Fatalf("%s: %d of %d run\n%s", id, w.Running(id), tasks, strings.Join(w.Log, "\n"))
	}
}

func service(id, tasks int) protocol.Submission {
	s := job(id, protocol.Service, tasks)
	s.SaveEach = 0
	return s
}

// A job is cancelled, and the leader ends before any worker has heard of it.
func TestSuccessorStopsWhatWasCancelled(t *testing.T) {
	w := world(t)
	j := w.Submit(service(1, 2), 0)
	runs(t, w, j.Sub.ID, 2)
	w.Network = func(kind, _, _ string) fake.Fate { // no commands arrive from now on
		f := fake.Well()
		f.LoseAnswer = kind == "report"
		f.LoseRequest = kind == "orders"
		return f
	}
	w.CancelJob(j)
	if !w.Until(time.Second, func() bool { return j.Cancelled }) {
		t.Fatal("never told that it is cancelled")
	}
	w.Nodes[0].Crash()
	w.Network = nil
	w.Run(40 * time.Second)
	if n := len(w.On(j.Sub.ID)); n != 0 {
		t.Errorf("%d tasks are left", n)
	}
	check(t, w)
}

// A start is carried out, the task ends, and then a copy of the start arrives:
// first within the term, then after the job has moved on.
func TestCopyOfAStartDoesNotRunAgain(t *testing.T) {
	w := world(t)
	w.Network = func(kind, _, _ string) fake.Fate {
		f := fake.Well()
		if kind == "orders" {
			f.Copy = 25 * time.Second
		}
		return f
	}
	j := w.Submit(job(1, protocol.Array, 3), 2*time.Second)
	for range 30 {
		w.Run(2 * time.Second)
		w.PollAll()
		for _, id := range w.On(j.Sub.ID) {
			if w.Now > 45*time.Second {
				t.Fatalf("runs again on %s", id)
			}
		}
	}
	check(t, w)
	served(t, w)
}

// spare makes a world with two empty machines that are up, and gives their names.
func spare(t *testing.T, w *fake.World) []string {
	t.Helper()
	s := service(90, 2)
	s.CPUs = 4
	j := w.Submit(s, 0)
	runs(t, w, s.ID, 2)
	hosts := w.On(s.ID)
	w.CancelJob(j)
	w.Run(4 * time.Second)
	return hosts
}

// A start gets no answer, and further commands don't arrive either. Reports do,
// and don't name the task: it must not run elsewhere until the start is void,
// which a raised token makes it; it may arrive just before, or much later. The
// job comes at any time between two reports, so that one falls between the
// commands that are given up and the next try.
func TestStartWithoutAnswerIsVoidedFirst(t *testing.T) {
	for at := range 40 {
		late := []time.Duration{2500, 2900, 3300, 30_000}[at%4]
		t.Run(fmt.Sprint(late*time.Millisecond, " ", at), func(t *testing.T) {
			w := world(t)
			spare(t, w)
			w.Run(time.Duration(at) * 50 * time.Millisecond)
			host := ""
			w.Network = func(kind, _, to string) fake.Fate {
				f := fake.Well()
				switch {
				case kind != "orders" || host != "" && to != host:
				case host == "":
					host, f.Request = to, late*time.Millisecond
				case w.Now < 60*time.Second:
					f.LoseRequest = true
				}
				return f
			}
			j := w.Submit(service(1, 1), 0)
			runs(t, w, j.Sub.ID, 1)
			w.Run(60 * time.Second)
			if w.Running(j.Sub.ID) != 1 || len(w.On(j.Sub.ID)) != 1 {
				t.Errorf("on %v", w.On(j.Sub.ID))
			}
			check(t, w)
		})
	}
}

// A start is on its way when the leader ends. The successor hears from the
// machine, which has not seen the new token and does not have the task: that
// proves nothing, since the start may still arrive.
func TestReportWithoutTheNewTokenProvesNoAbsence(t *testing.T) {
	w := world(t)
	spare(t, w)
	var crashed time.Duration
	w.Network = func(kind, from, _ string) fake.Fate {
		f := fake.Well()
		if kind == "orders" && from == "n0" {
			f.Request = 8 * time.Second
		}
		// The successor's answers are lost at first.
		f.LoseAnswer = kind == "report" && crashed > 0 && w.Now < crashed+9*time.Second
		return f
	}
	j := w.Submit(service(1, 1), 0)
	w.Run(time.Second)
	if !j.Accepted {
		t.Fatal("not accepted")
	}
	w.Nodes[0].Crash()
	crashed = w.Now
	w.Run(7500 * time.Millisecond)
	if w.Leader() == nil {
		t.Fatal("nobody took over")
	}
	if log := strings.Join(w.Log, "\n"); strings.Contains(log, "task lost [job wk-000001") {
		t.Errorf("absence believed\n%s", log)
	}
	runs(t, w, j.Sub.ID, 1)
	w.Run(30 * time.Second)
	check(t, w)
}

// The state service is gone just as a user cancels: nobody is told that the job
// is cancelled before that is durable.
func TestCancellationIsNotToldBeforeItIsDurable(t *testing.T) {
	w := world(t)
	j := w.Submit(service(1, 1), 0)
	runs(t, w, j.Sub.ID, 1)
	w.State.Outage(true)
	w.CancelJob(j)
	for range 10 {
		w.Run(100 * time.Millisecond)
		w.PollAll()
	}
	if j.Told != protocol.StatusRunning {
		t.Errorf("told %q during the outage", j.Told)
	}
	w.State.Outage(false)
	w.Run(20 * time.Second)
	if !j.Cancelled || len(w.On(j.Sub.ID)) != 0 {
		t.Errorf("told %q, on %v", j.Told, w.On(j.Sub.ID))
	}
	check(t, w)
}

// The state service is down, and one peer can't say whether it has led. For less
// than what the hold and a worker's lease allow: no replica is lost. For longer:
// all are, and none runs twice. While all peers say that they haven't led, none
// is lost however long it takes; but a peer whose process has begun since then
// can't know.
func TestStateOutageOnBothSidesOfTheHold(t *testing.T) {
	for _, x := range []struct {
		down    time.Duration
		trouble string
		kept    bool
	}{{12 * time.Second, "cut", true}, {20 * time.Second, "cut", true}, {45 * time.Second, "cut", false},
		{90 * time.Second, "", true}, {45 * time.Second, "restart", false}} {
		t.Run(x.down.String()+x.trouble, func(t *testing.T) {
			w := world(t)
			j := w.Submit(service(1, 2), 0)
			runs(t, w, j.Sub.ID, 2)
			w.Run(10 * time.Second)
			hosts := w.On(j.Sub.ID)
			w.State.Outage(true)
			w.Network = func(kind, from, to string) fake.Fate {
				f := fake.Well()
				f.LoseRequest = x.trouble == "cut" && kind == "peer" && (from == "n1" || to == "n1")
				return f
			}
			if x.trouble == "restart" {
				w.After(3*time.Second, w.Nodes[1].Crash)
				w.After(4*time.Second, w.Nodes[1].Start)
			}
			w.After(x.down, func() { w.State.Outage(false) })
			w.Run(x.down + 8*time.Second)
			kept := slices.Equal(w.On(j.Sub.ID), hosts) && w.Session(hosts[0]) == 1
			if kept != x.kept {
				t.Errorf("kept %v\n%s", kept, strings.Join(w.Log[max(0, len(w.Log)-20):], "\n"))
			}
			w.Run(90 * time.Second)
			check(t, w)
			served(t, w)
		})
	}
}

// The state service refuses the leader alone; another takes the term, and before it
// has read the books the service is down for all, for much longer than a lease. It
// asks nobody to let go for that, and nobody has told or started anything: what
// runs is kept, and when the outage is over a job can be cancelled.
func TestSuccessorThatCannotReadTheBooks(t *testing.T) {
	w := world(t)
	j := w.Submit(service(1, 2), 0)
	runs(t, w, j.Sub.ID, 2)
	w.Run(5 * time.Second)
	hosts := w.On(j.Sub.ID)
	taken := func() bool { h := w.State.Holder(coordination.LeaderKey); return h != "n0" && h != "" }
	w.State.Cut["n0"] = true
	w.Network = func(kind, from, _ string) fake.Fate {
		f := fake.Well()
		f.LoseAnswer = kind == "state" && from != "n0" && taken()
		return f
	}
	if !w.Until(5*time.Second, taken) {
		t.Fatal("nobody took the term")
	}
	w.Run(100 * time.Millisecond)
	w.State.Outage(true)
	w.Run(40 * time.Second)
	if w.Session(hosts[0]) != 1 || !slices.Equal(w.On(j.Sub.ID), hosts) {
		t.Errorf("what ran was lost in the outage\n%s", strings.Join(w.Log[max(0, len(w.Log)-20):], "\n"))
	}
	w.Network = nil
	delete(w.State.Cut, "n0")
	w.State.Outage(false)
	w.Run(5 * time.Second)
	w.CancelEverywhere(j)
	w.Run(20 * time.Second)
	if !j.Cancelled || len(w.On(j.Sub.ID)) != 0 {
		t.Errorf("told %q, on %v", j.Told, w.On(j.Sub.ID))
	}
	check(t, w)
}

// onlyItsWorker makes a world in which the leader, n0, reaches nothing any more but
// the worker that runs a job's replica, which nobody else reaches.
func onlyItsWorker(t *testing.T) (*fake.World, *fake.Job) {
	t.Helper()
	w := world(t)
	spare(t, w)
	j := w.Submit(service(1, 1), 0)
	runs(t, w, j.Sub.ID, 1)
	host := w.On(j.Sub.ID)[0]
	w.Network = func(_, from, to string) fake.Fate {
		f := fake.Well()
		alone := func(x string) bool { return x == "n0" || x == host }
		f.LoseRequest = alone(from) != alone(to)
		return f
	}
	return w, j
}

// The leader keeps nothing but one worker. It goes on answering that one for
// its hold; the successor, which hears nothing of either, waits that long.
func TestLeaderWithOnlyItsWorkersLeft(t *testing.T) {
	w, j := onlyItsWorker(t)
	w.Run(80 * time.Second)
	check(t, w)
	if w.Leader() == nil || w.Leader().Name == "n0" {
		t.Fatal("nobody took over")
	}
	if w.Running(j.Sub.ID) != 1 {
		t.Error("the replica was not replaced")
	}
	w.Network = nil
	w.Run(30 * time.Second)
	check(t, w)
}

// The predecessor has ended and its next process says so: the wait is shorter.
func TestPeersLettingGoShortensTheWait(t *testing.T) {
	w := world(t)
	j := w.Submit(service(1, 1), 0)
	runs(t, w, j.Sub.ID, 1)
	host := w.On(j.Sub.ID)[0]
	w.Nodes[0].Crash()
	w.After(3*time.Second, w.Nodes[0].Start)
	w.Cloud.Die(host)
	if !w.Until(22*time.Second, func() bool { return w.Running(j.Sub.ID) == 1 }) {
		t.Errorf("not replaced in 22 s\n%s", strings.Join(w.Log, "\n"))
	}
	check(t, w)
}

// The answer to a write is lost, and the write landed: it is recognised by its
// own id, and the leader goes on.
func TestWriteThatLandedWithoutAnAnswer(t *testing.T) {
	w := world(t)
	w.Run(5 * time.Second)
	lost := 0
	w.Network = func(kind, from, _ string) fake.Fate {
		f := fake.Well()
		if kind == "state" && from == "n0" && w.State.PageWrites > 1 && lost < 2 {
			lost++
			f.LoseAnswer = true
		}
		return f
	}
	a := w.Submit(service(1, 1), 0)
	runs(t, w, a.Sub.ID, 1)
	if lost == 0 || !w.Nodes[0].Leads() || w.Nodes[0].Stats().Terms != 1 {
		t.Errorf("%d answers lost, terms %d", lost, w.Nodes[0].Stats().Terms)
	}
	check(t, w)
}

// A rental is carried out and its answer lost: it is asked again under its own
// name, and nothing is rented twice.
func TestRentalWithoutAnswerIsRepeatedUnderItsName(t *testing.T) {
	w := world(t)
	w.Run(4 * time.Second)
	lost, until := 0, w.Now+7*time.Second
	w.Network = func(kind, _, _ string) fake.Fate {
		f := fake.Well()
		if kind == "cloud" && w.Now < until {
			lost++
			f.LoseAnswer = true
		}
		return f
	}
	s := service(1, 1)
	s.CPUs = 4
	w.Submit(s, 0)
	runs(t, w, s.ID, 1)
	w.Run(10 * time.Second)
	if st := w.Nodes[0].Stats(); lost == 0 || int64(len(w.Names())) != st.Rented-st.Returned {
		n := st.Rented - st.Returned
		t.Errorf("%d lost answers, %d machines known of %d", lost, n, len(w.Names()))
	}
	check(t, w)
}

// A machine fails every task; others don't. It is set aside and given back.
func TestSickMachineIsSetAside(t *testing.T) {
	w := world(t)
	a := w.Submit(service(1, 1), 0)
	runs(t, w, a.Sub.ID, 1)
	sick := w.On(a.Sub.ID)[0]
	w.Workers[sick].Sick = true
	for i := range 5 {
		w.Submit(job(i+2, protocol.Array, 2), time.Second)
	}
	for range 25 {
		w.Run(2 * time.Second)
		w.PollAll()
	}
	if !strings.Contains(strings.Join(w.Log, "\n"), "machine cordoned [host "+sick) {
		t.Errorf("not set aside\n%s", strings.Join(w.Log, "\n"))
	}
	served(t, w)
	check(t, w)
}

// A job fails wherever it goes: no machine is blamed, and it is not retried hot.
func TestJobThatAlwaysFailsBlamesNoMachine(t *testing.T) {
	w := world(t)
	for i := range 3 {
		j := w.Submit(service(i+1, 1), 0)
		j.Broken = true
	}
	w.Run(90 * time.Second)
	st := w.Nodes[0].Stats()
	if st.Failed < 6 || st.Failed > 60 {
		t.Errorf("%d failures in 90 s", st.Failed)
	}
	good := w.Submit(service(9, 1), 0)
	runs(t, w, good.Sub.ID, 1)
	check(t, w)
}

// A member of a gang is lost: the rest end, and the next attempt starts as one.
func TestGangStartsAgainTogether(t *testing.T) {
	w := world(t)
	s := job(1, protocol.Gang, 3)
	s.CPUs, s.Spread = 3, true
	j := w.Submit(s, 40*time.Second)
	runs(t, w, s.ID, 3)
	w.Cloud.Die(w.On(s.ID)[1])
	w.Run(2 * time.Second)
	runs(t, w, s.ID, 3)
	for range 40 {
		w.Run(2 * time.Second)
		w.PollAll()
	}
	if j.Told != protocol.StatusDone {
		t.Errorf("told %q", j.Told)
	}
	check(t, w)
}

// More tasks than fit a page, block by block, over a change of leader.
func TestManyTasksFitSmallPages(t *testing.T) {
	w := world(t)
	s := job(1, protocol.Array, 300)
	s.Team, s.SaveEach = "blue", 0
	j := w.Submit(s, time.Second)
	w.Run(25 * time.Second)
	w.Nodes[0].Crash()
	for range 60 {
		w.Run(3 * time.Second)
		w.PollAll()
	}
	if j.Told != protocol.StatusDone || len(j.DoneTasks) != 300 {
		t.Errorf("told %q, %d done\n%s", j.Told, len(j.DoneTasks), strings.Join(w.Log[max(0, len(w.Log)-20):], "\n"))
	}
	check(t, w)
}

// The leader ends when the first of a job's blocks is wholly done and others are
// not. The first block carries the job's own record, which has to stay.
func TestFirstBlockDoneWhenTheLeaderEnds(t *testing.T) {
	w := world(t)
	s := job(1, protocol.Array, 30)
	s.SaveEach, s.Team = 0, "red" // whose limit lets a block's worth run at once
	j := w.Submit(s, 8*time.Second)
	firstDone := func() bool {
		for i := range 12 {
			if !j.DoneTasks[i] {
				return false
			}
		}
		return true
	}
	if !w.Until(60*time.Second, firstDone) || len(j.DoneTasks) == 30 {
		t.Fatalf("%d tasks done", len(j.DoneTasks))
	}
	w.Run(3 * time.Second) // that is reported and written
	w.Nodes[0].Crash()
	for range 20 {
		w.Run(3 * time.Second)
		w.PollAll()
	}
	check(t, w)
	served(t, w)
}

// A job's last task is done, and the leader ends after any of the writes that
// say so: the final state may be durable while other pages still have blocks
// of the job.
func TestLeaderEndsBetweenTheWritesOfAnEnd(t *testing.T) {
	for writes := range 6 {
		settings := fake.Settings()
		settings.State.TxnOps = 1
		w := fake.NewWorld(settings)
		s := job(1, protocol.Array, 30)
		s.SaveEach = 0
		j := w.Submit(s, 3*time.Second)
		if !w.Until(60*time.Second, func() bool { return len(j.DoneTasks) == 30 }) {
			t.Fatalf("%d tasks done", len(j.DoneTasks))
		}
		from, ended := w.State.PageWrites, false
		w.Network = func(kind, _, _ string) fake.Fate {
			if l := w.Leader(); kind == "state" && l != nil && !ended && w.State.PageWrites >= from+writes {
				ended = true
				w.After(0, l.Crash) // its next write goes unsent
				return fake.Fate{LoseRequest: true}
			}
			return fake.Well()
		}
		w.Run(10 * time.Second)
		for _, n := range w.Nodes {
			if !n.Up {
				n.Start()
			}
		}
		for range 8 {
			w.Run(3 * time.Second)
			w.PollAll()
		}
		if !ended || j.Told != protocol.StatusDone {
			t.Errorf("after %d writes: ended %t, told %q\n%s", writes, ended, j.Told, strings.Join(w.Log[max(0, len(w.Log)-10):], "\n"))
		}
		check(t, w)
	}
}

// What is over stays known when every process has ended.
func TestFinalStatesOutliveAllProcesses(t *testing.T) {
	w := world(t)
	a := w.Submit(job(1, protocol.Array, 2), time.Second)
	b := w.Submit(service(2, 1), 0)
	runs(t, w, b.Sub.ID, 1)
	w.CancelJob(b)
	w.Run(10 * time.Second)
	for _, n := range w.Nodes {
		n.Crash()
	}
	w.Run(time.Second)
	for _, n := range w.Nodes {
		n.Start()
	}
	w.Run(10 * time.Second)
	w.Again(a)
	w.Again(b)
	w.PollAll()
	w.Run(5 * time.Second)
	if a.Told != protocol.StatusDone || b.Told != protocol.StatusCancelled {
		t.Errorf("told %q and %q", a.Told, b.Told)
	}
	check(t, w)
}

// A node's next process needn't wait for the term of the one before to run out.
func TestNextProcessOfTheLeaderTakesOverAtOnce(t *testing.T) {
	w := world(t)
	w.Run(time.Second)
	w.Nodes[0].Crash()
	w.Nodes[0].Start()
	if !w.Until(500*time.Millisecond, w.Nodes[0].Leads) {
		t.Error("it does not lead after half a second")
	}
	check(t, w)
}

func admin(w *fake.World, n int, kind coordination.AdminKind, body string) (status int, answer string) {
	w.Nodes[n].Ask(coordination.AdminCall{Kind: kind, Body: []byte(body)}, func(r coordination.Reply) {
		status, answer = r.Status, string(r.Body)
	})
	w.Run(time.Second)
	return status, answer
}

// Operators' settings are checked, named when wrong, in force from any node and
// kept over the end of all processes.
func TestOperatorsSettings(t *testing.T) {
	w := world(t)
	w.Run(2 * time.Second)
	for body, want := range map[string]string{
		`{"sample": 0}`:          "sample",
		`{"idle_s": "long"}`:     "idle_s",
		`{"write_share": 2}`:     "write_share",
		`{"no_such_figure": 1}`:  "no_such_figure",
		`{"warm_room": -1}`:      "warm_room",
		`[1]`:                    "",
		`{"takeover_wait_s": []`: "",
	} {
		if status, answer := admin(w, 0, coordination.AdminChange, body); status != 400 || !strings.Contains(answer, want) {
			t.Errorf("%s: %d %s", body, status, answer)
		}
	}
	if status, answer := admin(w, 1, coordination.AdminChange, `{"sample": 7, "warm_room": 0.5}`); status != 200 {
		t.Fatalf("through a follower: %d %s", status, answer)
	}
	for _, n := range w.Nodes {
		n.Crash()
	}
	for _, n := range w.Nodes {
		n.Start()
	}
	w.Run(6 * time.Second)
	for n := range w.Nodes {
		status, answer := admin(w, n, coordination.AdminRead, "")
		if status != 200 || !strings.Contains(answer, `"sample": 7`) || !strings.Contains(answer, `"warm_room": 0.5`) {
			t.Errorf("node %d: %d %s", n, status, answer)
		}
		if status, answer = admin(w, n, coordination.AdminStatus, ""); status != 200 || !strings.Contains(answer, fmt.Sprintf(`"node": "n%d"`, n)) {
			t.Errorf("status of node %d: %d %s", n, status, answer)
		}
	}
}

// Two jobs of a team that together exceed its limit: the second waits.
func TestTeamLimitCountsWhatMayStillRun(t *testing.T) {
	w := world(t)
	a, b := service(1, 4), service(2, 4)
	a.Team, b.Team, a.CPUs, b.CPUs = "red", "red", 2, 2
	ja := w.Submit(a, 0)
	runs(t, w, a.ID, 4)
	w.Submit(b, 0)
	runs(t, w, b.ID, 2) // 12 CPUs at most
	w.Run(5 * time.Second)
	w.CancelJob(ja)
	runs(t, w, b.ID, 4)
	check(t, w)
}

// Higher priority needs room on a full fleet: the batch task yields, saving.
func TestLowerPriorityYields(t *testing.T) {
	w := world(t)
	w.Cloud.Most = 1
	low := job(1, protocol.Array, 4)
	low.Priority, low.CPUs, low.Types = protocol.Low, 2, []string{"small"}
	j := w.Submit(low, 60*time.Second)
	runs(t, w, low.ID, 4)
	w.Run(5 * time.Second)
	high := service(2, 1)
	high.Priority, high.CPUs, high.Types = protocol.Production, 4, []string{"small"}
	w.Submit(high, 0)
	if !w.Until(6*time.Second, func() bool { return w.Running(high.ID) == 1 }) {
		t.Error("not started in 6 s")
	}
	if len(j.Saved) == 0 {
		t.Error("what yielded saved nothing")
	}
	check(t, w)
}

// A team is at its limit with batch work when a service of its own comes, and more
// batch work waits, in tasks small enough to take what comes free first. There are
// machines enough: as much of the batch yields as the service needs, saving, and
// the limit holds throughout.
func TestTeamsOwnBatchYieldsAtItsLimit(t *testing.T) {
	w := world(t)
	low := job(1, protocol.Array, 12)
	low.Team, low.Priority = "red", protocol.Low
	batch := w.Submit(low, 40*time.Second)
	runs(t, w, low.ID, 12) // red may use 12 CPUs
	more := job(2, protocol.Array, 6)
	more.Team, more.Priority, more.CPUs = "red", protocol.Low, 0.5
	w.Submit(more, 3*time.Second)
	w.Run(5 * time.Second)
	slow := w.On(low.ID)[0] // one machine's tasks are gone later than the others'
	w.Network = func(kind, _, b string) fake.Fate {
		f := fake.Well()
		if kind == "orders" && b == slow {
			f.Request = 700 * time.Millisecond
		}
		return f
	}
	high := service(3, 2)
	high.Team, high.Priority, high.CPUs = "red", protocol.Production, 3
	s := w.Submit(high, 0)
	if !w.Until(6*time.Second, func() bool { return w.Running(high.ID) == 2 }) {
		t.Errorf("%d of 2 run after 6 s", w.Running(high.ID))
	}
	w.Run(2 * time.Second)
	if n := w.Running(low.ID); n != 6 || len(batch.Saved) != 6 {
		t.Errorf("%d of the batch's tasks run on, %d have saved", n, len(batch.Saved))
	}
	w.CancelJob(s)
	for range 30 {
		w.Run(3 * time.Second)
		w.PollAll()
	}
	check(t, w)
	served(t, w)
}

// A team's services take its whole limit and more of them wait, and so does its
// batch work. When one ends, work that ends gets its part of the limit first, since
// services would keep it waiting for good; the waiting service follows it.
func TestServicesLeaveWorkThatEndsItsPart(t *testing.T) {
	w := world(t)
	full := func(id int) *fake.Job {
		s := service(id, 2)
		s.Team, s.Priority, s.CPUs = "red", protocol.Production, 3 // of 12 CPUs at most
		return w.Submit(s, 0)
	}
	a, b := full(1), full(2)
	runs(t, w, a.Sub.ID, 2)
	runs(t, w, b.Sub.ID, 2)
	low := job(3, protocol.Array, 4)
	low.Team, low.Priority = "red", protocol.Low
	w.Submit(low, 8*time.Second)
	c := full(4)
	w.Run(3 * time.Second)
	w.CancelJob(a)
	runs(t, w, low.ID, 4)
	if n := w.Running(c.Sub.ID); n != 0 {
		t.Errorf("%d replicas run that leave no part to the batch", n)
	}
	runs(t, w, c.Sub.ID, 2)
	pollFor(w, 15*time.Second)
	check(t, w)
	served(t, w)
}

// A job within its team's guarantee finds no room; what runs is of a higher
// priority, beyond its own team's guarantee. The queue would give the room
// straight back, so nothing is stopped.
func TestPreemptionFollowsTheQueue(t *testing.T) {
	w := world(t)
	w.Cloud.Most = 1
	beyond := service(1, 2)
	beyond.Priority, beyond.CPUs, beyond.Types, beyond.Zone, beyond.Team = protocol.Production, 2, []string{"small"}, "a", "blue"
	w.Submit(beyond, 0)
	more := service(3, 1) // blue is now beyond its four CPUs
	more.Priority, more.CPUs, more.Types, more.Zone, more.Team = protocol.Production, 2, []string{"small"}, "b", "blue"
	runs(t, w, beyond.ID, 2)
	w.Submit(more, 0)
	runs(t, w, more.ID, 1)
	sure := service(2, 1)
	sure.Priority, sure.CPUs, sure.Types, sure.Zone, sure.Team = protocol.High, 4, []string{"small"}, "b", "red"
	w.Submit(sure, 0)
	w.Run(10 * time.Second)
	if n := w.Nodes[0].Stats().Preempted; n != 0 || w.Running(more.ID) != 1 {
		t.Errorf("%d stopped, %d of 1 run", n, w.Running(more.ID))
	}
	check(t, w)
}

// An empty machine is cut off while the leader ends. The successor hears of it
// only from the cloud's list, where it runs: it is not taken for one that never
// came up, and is there when the cut is over.
func TestCutMachineIsNotTakenForOneThatNeverCameUp(t *testing.T) {
	w := world(t)
	hosts := spare(t, w)
	cut := w.Now + 20*time.Second
	w.Network = func(_, from, to string) fake.Fate {
		f := fake.Well()
		f.LoseRequest = w.Now < cut && (from == hosts[0] || to == hosts[0])
		return f
	}
	w.Nodes[0].Crash()
	w.Run(25 * time.Second)
	if log := strings.Join(w.Log, "\n"); strings.Contains(log, "machine returned [host "+hosts[0]) {
		t.Errorf("given back\n%s", log)
	}
	check(t, w)
}

// Of a job's two tasks, which may not be in one zone, one runs and the other
// waits for a machine elsewhere. The leader ends. The successor hears from an
// empty machine, and not yet from the one that has the task, nor from the
// cloud's list: it doesn't know that both are in the same zone.
func TestUnknownZoneMayBeAnyZone(t *testing.T) {
	w := world(t)
	if status, answer := admin(w, 0, coordination.AdminChange, `{"warm_room": 0}`); status != 200 {
		t.Fatal(answer)
	}
	first := service(1, 2)
	first.CPUs, first.Zone, first.Types = 4, "a", []string{"small"}
	j := w.Submit(first, 0)
	runs(t, w, first.ID, 2)
	w.CancelJob(j) // leaves two empty machines in zone a
	w.Run(3 * time.Second)
	w.Cloud.Down = true
	s := service(2, 2)
	s.CPUs, s.Spread, s.Types = 4, true, []string{"small"}
	w.Submit(s, 0)
	runs(t, w, s.ID, 1)
	w.Run(3 * time.Second)
	cut, calls := w.On(s.ID)[0], 0
	w.Nodes[0].Crash()
	w.Cloud.Down = false
	w.Network = func(kind, from, to string) fake.Fate {
		f := fake.Well()
		f.LoseRequest = from == cut || to == cut
		if kind == "cloud" { // the types are had, and nothing more
			calls++
			f.LoseRequest = calls > 1
		}
		return f
	}
	w.Run(9 * time.Second)
	check(t, w)
	if w.Leader() == nil || w.Running(s.ID) != 1 {
		t.Errorf("%d run", w.Running(s.ID))
	}
	cut = ""
	w.Network = nil
	runs(t, w, s.ID, 2)
	check(t, w)
}

// A leader looks whether an earlier copy of its write landed, loses its lease
// before the answer, and leads again. The answer, which was about the earlier
// term's write, comes then: it says nothing about the new term.
func TestAnswerFromAnEarlierReign(t *testing.T) {
	settings := fake.Settings()
	n := coordination.New(&config.Config{Node: "n0", Settings: settings}, "boot", 1)
	var held, renewal storage.StateCall
	term, writes := int64(0), 0
	now := coordination.Now{}
	var give func(commands ...any)
	give = func(commands ...any) {
		now.Mono += time.Millisecond
		for _, effect := range n.Step(now, commands) {
			c, ok := effect.(storage.StateCall)
			if !ok {
				continue
			}
			r := storage.StateResult{ID: c.ID}
			switch {
			case c.Op == storage.StateGet && c.Key == coordination.LeaderKey:
				r.Outcome = storage.NotFound
			case c.Op == storage.StateGet:
				held = c
				continue
			case c.Op == storage.StateRenew:
				renewal = c
				continue
			case len(c.Txn.Then) > 0 && c.Txn.Then[0].Put == coordination.LeaderKey:
				term += 10
				r.Number = term
			case len(c.Txn.Then) > 0:
				writes++
				r.Outcome = storage.Conflict
			default:
				r.Number = 7
			}
			give(r)
		}
	}
	leads := func() bool { return n.Role() == "leader" }
	tick := func() {
		now.Mono += 500 * time.Millisecond
		give(coordination.Tick{})
	}
	tick()
	if !leads() {
		t.Fatal("does not lead")
	}
	give(coordination.AdminCall{ID: 1, Kind: coordination.AdminChange, Body: []byte(`{"sample": 7}`)})
	if writes != 1 || held.ID == 0 {
		t.Fatalf("%d writes, %+v looked at", writes, held)
	}
	give(storage.StateResult{ID: renewal.ID, Outcome: storage.NotFound})
	if leads() {
		t.Fatal("leads without a lease")
	}
	tick()
	if !leads() || term != 20 {
		t.Fatalf("does not lead again, term %d", term)
	}
	give(storage.StateResult{ID: held.ID, Entry: protocol.Entry{Key: held.Key, Version: 3}})
	if !leads() {
		t.Error("the late answer ended the new term")
	}
}

// A replica that needs no GPU is left alone on a machine with GPUs, and there is
// room on a cheap one: it moves there, and the dear machine is given back. From
// the cheap one it isn't moved to a dear one, however little is used.
func TestReplicasMoveFromDearToCheapMachines(t *testing.T) {
	w := world(t)
	w.Run(2 * time.Second)
	if status, answer := admin(w, 0, coordination.AdminChange, `{"warm_room": 0, "idle_s": 5}`); status != 200 {
		t.Fatal(answer)
	}
	kind := func(j *fake.Job) string { return w.KindOf(w.On(j.Sub.ID)[0]) }
	gpu := service(1, 1)
	gpu.GPUs = 1
	c := w.Submit(gpu, 0)
	runs(t, w, gpu.ID, 1)
	d := w.Submit(service(2, 1), 0)
	runs(t, w, d.Sub.ID, 1)
	small := service(3, 1)
	small.Types = []string{"small"}
	f := w.Submit(small, 0)
	runs(t, w, small.ID, 1)
	if kind(d) != "large" {
		t.Fatalf("on a %s machine at first", kind(d))
	}
	w.CancelJob(c)
	w.Run(60 * time.Second)
	if kind(d) != "small" || len(w.On(d.Sub.ID)) != 1 {
		t.Errorf("still on a %s machine", kind(d))
	}
	w.CancelJob(f)
	gpu.ID = "wk-000004"
	w.Submit(gpu, 0)
	runs(t, w, gpu.ID, 1)
	w.Run(60 * time.Second)
	if kind(d) != "small" {
		t.Errorf("moved to a %s machine", kind(d))
	}
	check(t, w)
	served(t, w)
}

// A first leader finds no machines and rents some; more jobs come at once. Their
// machines are rented then, not when those of the first have had time to report.
func TestFirstLeaderDoesNotWaitForItsOwnMachines(t *testing.T) {
	w := world(t)
	status, answer := admin(w, 0, coordination.AdminChange, `{"takeover_wait_s": 60, "warm_room": 0}`)
	if status != 200 && status != 0 {
		t.Fatal(answer)
	}
	for id := 1; id <= 2; id++ {
		s := service(id, 1)
		s.CPUs = 4
		w.Submit(s, 0)
		w.Run(3 * time.Second)
	}
	if n := w.Nodes[0].Stats().Rented; n != 2 {
		t.Errorf("%d machines rented", n)
	}
	check(t, w)
}

// Controllers refuse each other's connections: a follower sees the leader's key,
// and can't hand it a request. It says that it isn't healthy, so that users go
// to the leader; it is healthy again once the leader answers.
func TestFollowerThatCannotReachTheLeader(t *testing.T) {
	w := world(t)
	w.Run(5 * time.Second)
	healthy := func() []bool { return []bool{w.Nodes[0].Healthy(), w.Nodes[1].Healthy(), w.Nodes[2].Healthy()} }
	if h := healthy(); !slices.Equal(h, []bool{true, true, true}) {
		t.Fatalf("at first %v", h)
	}
	w.Network = func(kind, _, _ string) fake.Fate {
		f := fake.Well()
		f.LoseRequest = kind == "peer" || kind == "forward"
		return f
	}
	w.Run(4 * time.Second)
	if h := healthy(); !slices.Equal(h, []bool{true, false, false}) {
		t.Errorf("cut off from each other: %v", h)
	}
	w.Network = nil
	w.Run(2 * time.Second)
	if h := healthy(); !slices.Equal(h, []bool{true, true, true}) {
		t.Errorf("afterwards %v", h)
	}
	check(t, w)
}

// The state service refuses the leader alone. Another takes the term and tells
// it so: the former leader hands its users on at once, and stays healthy, though
// it can read nothing about who leads.
func TestFormerLeaderRefusedByTheStateServiceFollows(t *testing.T) {
	w := world(t)
	a := w.Submit(service(1, 1), 0)
	runs(t, w, a.Sub.ID, 1)
	w.State.Cut["n0"] = true
	if !w.Until(10*time.Second, func() bool { return w.Nodes[1].Leads() || w.Nodes[2].Leads() }) {
		t.Fatal("nobody else leads")
	}
	w.Run(time.Second)
	for range 10 {
		status := 0
		w.Nodes[0].Ask(coordination.UserCall{Kind: coordination.Poll, Job: a.Sub.ID}, func(r coordination.Reply) { status = r.Status })
		w.Run(time.Second)
		if status != 200 || !w.Nodes[0].Healthy() {
			t.Fatalf("at %v status %d, healthy %t", w.Now, status, w.Nodes[0].Healthy())
		}
	}
	check(t, w)
}

// The leader keeps the state service and its peers, but hears no worker. Every
// worker would be sent back to it until its lease has run out: so it gives the
// term up at once, and nothing that runs is lost.
func TestLeaderThatHearsNoWorkerGivesUp(t *testing.T) {
	s := fake.Settings()
	s.Workers.Report, s.Workers.Lease, s.Workers.Cancel = 3, 14, 34
	w := fake.NewWorld(s)
	for i := range 4 {
		w.Submit(service(i+1, 3), 0)
	}
	w.Run(30 * time.Second)
	leader := w.Leader()
	if leader == nil {
		t.Fatal("nobody leads")
	}
	before := map[string]int64{}
	for _, name := range w.Names() {
		before[name] = w.Session(name)
	}
	if len(before) < 3 {
		t.Fatalf("only %d machines", len(before))
	}
	w.Network = func(kind, from, to string) fake.Fate {
		f := fake.Well()
		f.LoseRequest = kind == "report" && to == leader.Name || kind == "orders" && from == leader.Name
		return f
	}
	w.Run(40 * time.Second)
	if l := w.Leader(); l == nil || l == leader {
		t.Fatal("nobody else leads")
	}
	for name, session := range before {
		if w.Session(name) != session {
			t.Errorf("%s has lost its tasks", name)
		}
	}
	check(t, w)
}

// A process stands still for longer than its hold and then finds workers'
// reports waiting: a successor counts on it not to answer them any more.
func TestReportThatWaitedOutTheHoldIsRefused(t *testing.T) {
	w := world(t)
	j := w.Submit(service(1, 1), 0)
	runs(t, w, j.Sub.ID, 1)
	host := w.On(j.Sub.ID)[0]
	n0 := w.Nodes[0]
	n0.PausedUntil = w.Now + 60*time.Second
	got := -1
	w.After(0, func() { // the first thing that it finds
		r := protocol.Report{Host: host, Type: "small", Zone: "a", Session: 9, Seq: 1}
		n0.Ask(coordination.ReportCall{Report: &r}, func(a coordination.Reply) { got = a.Status })
	})
	w.Run(61 * time.Second)
	if got == 200 || got == -1 {
		t.Errorf("the report was answered %d", got)
	}
}

// A job is cancelled by the successor of a leader that alone still reaches its
// worker. The user may hear of it only once the predecessor's hold and the
// worker's lease will have ended the task in time, and is then told.
func TestCancellationIsToldOnceItCanBeKept(t *testing.T) {
	w, j := onlyItsWorker(t)
	if !w.Until(10*time.Second, func() bool { return w.Nodes[1].Leads() || w.Nodes[2].Leads() }) {
		t.Fatal("nobody took over")
	}
	w.CancelJob(j)
	if !w.Until(25*time.Second, func() bool { return j.Cancelled }) {
		t.Fatal("never told that it is cancelled")
	}
	w.Run(60 * time.Second)
	check(t, w)
}

// Hundreds of tasks find no place at once, as after a zone is lost: the requests
// for machines go out together, not one after the other's answer.
func TestManyMachinesAreRentedTogether(t *testing.T) {
	w := world(t)
	w.Run(2 * time.Second)
	w.Cloud.Most = 300
	for i := range 10 {
		s := service(i+1, 20)
		s.CPUs, s.Types, s.Team = 4, []string{"small"}, "blue"
		w.Submit(s, 0)
	}
	w.Network = func(kind, _, _ string) fake.Fate {
		f := fake.Well()
		if kind == "cloud" {
			f.Answer = 900 * time.Millisecond
		}
		return f
	}
	w.Run(2500 * time.Millisecond)
	if n := w.Nodes[0].Stats().Rented; n < 120 {
		t.Errorf("%d machines rented 2.5 s after 200 tasks came", n)
	}
	check(t, w)
}

// A submission that can't be made durable is refused when that is known, not
// when its user has waited long enough; one that can be, however slowly, waits.
func TestSubmissionIsRefusedAtOnceOrWaitsForItsCommit(t *testing.T) {
	type answer struct {
		status int
		after  time.Duration
	}
	ask := func(w *fake.World, id int) *answer {
		s, a, since := service(id, 3), &answer{}, w.Now
		w.Nodes[0].Ask(coordination.UserCall{Kind: coordination.Submit, Job: s.ID, Submit: &s}, func(r coordination.Reply) {
			*a = answer{r.Status, w.Now - since}
		})
		return a
	}
	t.Run("outage", func(t *testing.T) {
		w := world(t)
		w.Run(5 * time.Second)
		w.State.Outage(true)
		first := ask(w, 1)
		w.Run(1500 * time.Millisecond) // the term's lease is a second
		if first.status != 503 || first.after > 1200*time.Millisecond {
			t.Errorf("when the outage began: %d after %v", first.status, first.after)
		}
		if next := ask(w, 2); next.status != 503 {
			t.Errorf("in the outage: %d", next.status)
		}
		w.State.Outage(false)
		w.Run(5 * time.Second)
		if again := ask(w, 1); again.status != 200 {
			t.Errorf("the first, asked again: %d", again.status)
		}
	})
	t.Run("long queue", func(t *testing.T) {
		w := world(t)
		w.Run(5 * time.Second)
		var all []*answer
		const asked = 600 // more than the write budget lets through while they wait
		for i := range asked {
			all = append(all, ask(w, i+1))
		}
		refused := 0
		for _, a := range all {
			if a.status == 503 {
				refused++
			}
		}
		w.Run(4 * time.Second)
		for i, a := range all {
			if a.status != 503 && a.status != 201 || a.after > protocol.SubmitWaitS*time.Second*3/4 {
				t.Fatalf("number %d: %d after %v", i, a.status, a.after)
			}
		}
		if refused == 0 || refused > 300 {
			t.Errorf("%d of %d refused at once", refused, asked)
		}
	})
	t.Run("slow", func(t *testing.T) {
		w := world(t)
		w.Run(5 * time.Second)
		w.Network = func(kind, _, _ string) fake.Fate {
			f := fake.Well()
			if kind == "state" {
				f.Answer = 300 * time.Millisecond
			}
			return f
		}
		a := ask(w, 1)
		w.Run(2 * time.Second)
		if a.status != 201 || a.after < 300*time.Millisecond {
			t.Errorf("%d after %v", a.status, a.after)
		}
	})
}
