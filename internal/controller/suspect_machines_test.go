package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// onLarge restricts a submission to machines of the larger type, and sets the processors of a task.
func onLarge(s protocol.Submission, cpus float64) protocol.Submission {
	s.Types, s.CPUs = []string{"large"}, cpus
	return s
}

// newWorldWithCordonedMachine makes a world in which the cloud has two machines of the larger type, with
// a standing replica on each. One of them has failed tasks and is cordoned; the other one is full. Three
// processors of the cordoned machine are free.
func newWorldWithCordonedMachine(t *testing.T) (w *fake.World, cordoned string) {
	t.Helper()
	w = newWorld(t)
	w.Cloud.CapacityOf = map[string]int{"large": 2}
	standing := w.Submit(onLarge(service(1, 2), 5), 0)
	waitRunning(t, w, standing.Submission.ID, 2)
	cordoned = w.MachinesOf(standing.Submission.ID)[0]
	w.Workers[cordoned].FailsTasks = true
	w.Submit(onLarge(job(2, protocol.Array, 2), 2), 2*time.Second)
	w.Submit(onLarge(job(3, protocol.Array, 4), 0.5), 2*time.Second)
	if !w.RunUntil(time.Minute, func() bool { return logContains(w, "machine cordoned [machine "+cordoned) }) {
		t.Fatal("the machine is not cordoned")
	}
	runAndPoll(w, 10*time.Second)
	requireAllServed(t, w)
	waitRunningOn(t, w, onLarge(service(4, 1), 3), func(machine string) bool { return machine != cordoned })
	return w, cordoned
}

// waitRunningOn submits a job of one task and waits until it runs on a suitable machine.
func waitRunningOn(t *testing.T, w *fake.World, s protocol.Submission, suitable func(machine string) bool) {
	t.Helper()
	w.Submit(s, 0)
	waitRunning(t, w, s.ID, 1)
	if machines := w.MachinesOf(s.ID); !suitable(machines[0]) {
		t.Fatalf("%s runs on %s", s.ID, machines[0])
	}
}

// A cordoned machine has become healthy, and is the only one with room. Guards against a machine that
// gets no task for as long as a standing replica keeps it from being released.
func TestHealthyCordonedMachineGetsTasks(t *testing.T) {
	gang := onLarge(job(5, protocol.Gang, 3), 1)
	gang.CheckpointIntervalS = 0
	for name, waiting := range map[string]protocol.Submission{
		"replica": onLarge(service(5, 1), 3), "replicas": onLarge(service(5, 3), 1),
		"array": onLarge(job(5, protocol.Array, 6), 1), "gang": gang,
	} {
		t.Run(name, func(t *testing.T) {
			w, cordoned := newWorldWithCordonedMachine(t)
			w.Workers[cordoned].FailsTasks = false
			j := w.Submit(waiting, 5*time.Second)
			started := func() bool {
				return w.RunningTasks(waiting.ID) >= min(waiting.Tasks, 3) || j.Status == protocol.StatusDone
			}
			if !w.RunUntil(protocol.MaxWaitWithRoomS*time.Second, started) {
				t.Errorf("%d of %d tasks run\n%s", w.RunningTasks(waiting.ID), waiting.Tasks, logTail(w, 40))
			}
			runAndPoll(w, 20*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
			if logContains(w, "job fails on every machine") {
				t.Error("a job is considered at fault")
			}
		})
	}
}

// A machine fails every task for minutes and is the only one with room. Guards against a machine that
// fails one task after the other, and against jobs that are considered at fault for it.
func TestFaultyMachineWithOnlyRoomFailsFewTasks(t *testing.T) {
	const faultyFor = 3 * time.Minute
	w, faulty := newWorldWithCordonedMachine(t)
	starts := countStarts(w)
	waiting := onLarge(job(5, protocol.Array, 6), 1)
	w.Submit(waiting, 5*time.Second)
	w.Run(faultyFor)
	leases := int(faultyFor.Seconds() / w.Cfg.Settings.Workers.LeaseS)
	if n := starts[waiting.ID]; n == 0 || n > leases/2 {
		t.Errorf("%d tasks were started on the faulty machine within %d leases", n, leases)
	}
	w.Workers[faulty].FailsTasks = false
	if !w.RunUntil(protocol.MaxWaitWithRoomS*time.Second, func() bool { return w.RunningTasks(waiting.ID) == 3 }) {
		t.Errorf("%d tasks run on the machine after it has become healthy", w.RunningTasks(waiting.ID))
	}
	runAndPoll(w, 40*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	if logContains(w, "job fails on every machine") {
		t.Error("the job is considered at fault")
	}
}
