package fake

import (
	"slices"
	"time"

	"oakpick/internal/protocol"
)

// Worker is the worker process of a machine.
type Worker struct {
	// HangUntil is when the worker resumes. While it hangs, only its lease expiry and the
	// interruption of its machine take effect.
	HangUntil time.Duration
	// FailsTasks makes every task of the worker exit with a failure once its image is fetched.
	FailsTasks bool

	world          *World
	machine        *machine
	machineType    protocol.MachineType
	terminated     bool
	interruptionAt time.Duration // when the cloud terminates the machine, or 0 if no interruption is announced

	incarnation     int64
	sequence        int64 // sequence number of the last heartbeat
	fencingToken    int64
	tokenReportedAt time.Duration // when a higher token last caused an early heartbeat
	leaseRenewedAt  time.Duration // when the last heartbeat that renewed the lease was sent

	attempts []*attempt
	images   map[string]time.Duration // when each image was fetched, by name

	controllerIndex   int // controller that gets the next heartbeat
	nextHeartbeatAt   time.Duration
	heartbeatInFlight bool
	heartbeatID       int64 // ID of the last heartbeat sent, counted over all incarnations
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

// tick handles everything that is due: the machine's interruption, lease expiry, the progress of tasks and
// heartbeats.
func (worker *Worker) tick() {
	now := worker.world.Now
	if worker.terminated {
		return
	}
	if worker.interruptionAt > 0 && now >= worker.interruptionAt {
		worker.world.Cloud.Terminate(worker.machine.Name)
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

// expireLease ends all tasks and starts a new incarnation.
func (worker *Worker) expireLease() {
	now := worker.world.Now
	worker.incarnation++
	worker.world.TasksLostToLeaseExpiry += worker.tasksOnMachine()
	worker.dropAttempts()
	worker.leaseRenewedAt, worker.images = now, map[string]time.Duration{}
	worker.nextHeartbeatAt = now
}

// terminate ends the worker and its tasks together with the machine.
func (worker *Worker) terminate() {
	worker.terminated = true
	worker.world.TasksLostWithMachine += worker.tasksOnMachine()
	worker.dropAttempts()
}

// dropAttempts removes all attempts without reporting them as exited.
func (worker *Worker) dropAttempts() {
	for _, a := range worker.attempts {
		worker.removeFromMachine(a)
	}
	worker.attempts = nil
}

// tasksOnMachine returns the number of tasks that occupy the machine.
func (worker *Worker) tasksOnMachine() int {
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
