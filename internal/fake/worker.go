package fake

import (
	"slices"
	"time"

	"oakpick/internal/protocol"
)

// Worker is the worker of a machine.
type Worker struct {
	// HangUntil is when the worker goes on; until then only its lease does.
	HangUntil time.Duration
	// FailsTasks makes every task fail that it starts.
	FailsTasks bool

	world          *World
	machine        *machine
	machineType    protocol.MachineType
	terminated     bool
	interruptionAt time.Duration // when the cloud takes the machine; 0: no notice

	incarnation     int64
	sequence        int64 // of the last heartbeat
	fencingToken    int64
	tokenReportedAt time.Duration // when a higher token last counted as a change
	leaseRenewedAt  time.Duration // when the last answered heartbeat was sent

	attempts []*attempt
	images   map[string]time.Duration // when each image was fetched

	controllerIndex   int // of the controller that the next heartbeat goes to
	nextHeartbeatAt   time.Duration
	heartbeatInFlight bool
	heartbeatID       int64 // of the last heartbeat that was sent, counted over all incarnations
}

func (w *World) addWorker(m *machine, machineType protocol.MachineType) {
	w.Workers[m.Name] = &Worker{
		world: w, machine: m, machineType: machineType, incarnation: 1,
		leaseRenewedAt: w.Now, nextHeartbeatAt: w.Now, images: map[string]time.Duration{},
	}
	w.workerNames = append(w.workerNames, m.Name)
	if w.OnBoot != nil {
		w.OnBoot(m.Machine)
	}
	slices.Sort(w.workerNames)
}

// tick has the worker handle what has become due: interruption, lease expiry, the steps of
// its tasks, heartbeats.
func (worker *Worker) tick() {
	now := worker.world.Now
	if worker.terminated {
		return
	}
	if worker.interruptionAt > 0 && now >= worker.interruptionAt {
		worker.world.Cloud.Reclaim(worker.machine.Name)
		return
	}
	if now-worker.leaseRenewedAt > worker.leaseDuration() {
		worker.expireLease()
	}
	if worker.hangs() {
		return
	}
	for _, a := range worker.attempts {
		worker.advance(a)
	}
	if !worker.heartbeatInFlight && now >= worker.nextHeartbeatAt {
		worker.sendHeartbeat()
	}
}

func (worker *Worker) leaseDuration() time.Duration {
	return seconds(worker.world.Cfg.Settings.Workers.LeaseS)
}

func (worker *Worker) hangs() bool { return worker.world.Now < worker.HangUntil }

// expireLease ends all tasks and begins a new incarnation.
func (worker *Worker) expireLease() {
	now := worker.world.Now
	worker.incarnation++
	worker.world.TasksLostToLeaseExpiry += worker.attemptsOnMachine()
	worker.dropAttempts()
	worker.leaseRenewedAt, worker.images = now, map[string]time.Duration{}
	worker.nextHeartbeatAt = now
}

// terminate ends the machine with all that is on it.
func (worker *Worker) terminate() {
	worker.terminated = true
	worker.world.TasksLostWithMachine += worker.attemptsOnMachine()
	worker.dropAttempts()
}

// dropAttempts removes every task at once.
func (worker *Worker) dropAttempts() {
	for _, a := range worker.attempts {
		worker.removeFromMachine(a)
	}
	worker.attempts = nil
}

// attemptsOnMachine counts the tasks that are on the machine.
func (worker *Worker) attemptsOnMachine() int {
	count := 0
	for _, a := range worker.attempts {
		if a.onMachine {
			count++
		}
	}
	return count
}

func (worker *Worker) findAttempt(id protocol.Attempt) *attempt {
	for _, a := range worker.attempts {
		if a.Attempt == id {
			return a
		}
	}
	return nil
}
