// Package timing derives a controller's internal durations and limits from the settings. Each is
// a fixed ratio of a configured value, so that the same binary suits deployments of any size.
package timing

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/retry"
	"oakpick/internal/storage"
)

// MaxClockDrift bounds the drift between the monotonic clocks of two machines, as a fraction of the
// elapsed time. The bound is more than twice the drift that the clocks may actually have.
const MaxClockDrift = 0.0011

// Timing holds a controller's durations and limits, grouped by the component that uses them.
type Timing struct {
	Election           Election
	Workers            Workers
	Scheduling         Scheduling
	Jobs               Jobs
	Archive            Archive
	Requests           Requests
	StateRetryInterval time.Duration // delay before a failed or unanswered state service request is retried
	PauseThreshold     time.Duration // a longer time between two steps means that the process was paused
}

// Election holds the durations of leader election.
type Election struct {
	LeaseTTL             time.Duration // duration of the leader's lease
	RenewInterval        time.Duration // time between renewals of the lease
	CheckInterval        time.Duration // time between a follower's reads of the leader key
	RetryInterval        time.Duration // delay before a failed acquisition of the leader key is retried
	HeartbeatGrace       time.Duration // how long a leader keeps answering workers after its lease may have expired
	StepDownInterval     time.Duration // time between step-down requests to a peer
	TokenInterval        time.Duration // minimum time between two advances of the fencing token
	ProbeInterval        time.Duration // time between probes of a peer
	ProbeTimeout         time.Duration // a leader that does not answer probes for this long counts as unreachable
	HealthyWithoutLeader time.Duration // how long a node that knows no leader still counts as healthy
	ResignBackoff        time.Duration // how long a node that resigned does not try to acquire the leader key
	PausedNodeBackoff    time.Duration // how long a node that was paused does not try to acquire the leader key
}

// Workers holds the durations of heartbeats, worker leases and commands.
type Workers struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // time after its last renewal by which a worker's lease has certainly expired
	HeartbeatTimeout  time.Duration // a machine that has been silent for this long has missed a heartbeat
	CheckInterval     time.Duration // time between checks of all machines
	// CancellationConfirmTimeout is the time after a cancellation within which the job's tasks must
	// have stopped for the cancellation to be confirmed to the user.
	CancellationConfirmTimeout time.Duration
	// RefuseAfterCancellation is the time after a cancellation from which a machine that may still
	// start the job's tasks no longer gets answers to its heartbeats.
	RefuseAfterCancellation time.Duration
}

// Scheduling holds the durations of scheduling cycles.
type Scheduling struct {
	// StarvationThreshold is how long a best-effort job waits before it may use any free resources,
	// and how long a job that fails on every machine waits before a machine is provisioned for it.
	StarvationThreshold time.Duration
	// FailingJobInterval is the minimum time between attempts of a team's jobs that fail on every
	// machine.
	FailingJobInterval time.Duration
	// The delay between two cycles is the sum of UnschedulableBackoff for each unschedulable job
	// and ExaminationBackoff for each machine examined in the last cycle. The latter part is
	// limited to MaxExaminationBackoff.
	UnschedulableBackoff  time.Duration
	ExaminationBackoff    time.Duration
	MaxExaminationBackoff time.Duration
}

// Jobs holds the parameters of job records and of retries after failures.
type Jobs struct {
	FailureBackoff retry.Policy
	BlockTasks     int // number of tasks in a block of a new job
}

// Archive limits the memory that a leader uses for ended jobs and cached archive pages.
type Archive struct {
	MaxEndedJobs   int // number of ended jobs kept in memory before they are moved to the archive
	MaxCachedPages int
}

// Requests limits the requests that wait until a leader is known.
type Requests struct {
	DeferTimeout time.Duration
	MaxDeferred  int
}

// examinationsPerCheck is the number of machines that one core can examine in a check interval.
const examinationsPerCheck = 100_000

const (
	endedJobsMemoryDivisor = 64  // ended jobs may use 1/64 of the memory limit
	endedJobBytes          = 256 // memory that an ended job uses
	// archiveMemoryDivisor limits the stored size of the cached archive pages to 1/512 of the
	// memory limit. A page takes several times its stored size in memory.
	archiveMemoryDivisor = 512
	minArchivePages      = 4
	bytesPerMB           = 1 << 20
	bytesPerKB           = 1024
)

// failureJitter is the maximum relative deviation of the delay after a failure.
const failureJitter = 0.25

// deferredConnectionsDivisor limits deferred requests to this fraction (1/16) of the maximum number
// of connections.
const deferredConnectionsDivisor = 16

// LeaderLease returns the duration of the leader's lease. After a leader fails, no requests can be
// served until its lease has expired.
func LeaderLease(w config.Workers) time.Duration {
	return config.Seconds(min(w.LeaseS/10, w.HeartbeatIntervalS*0.4))
}

// New derives all durations and limits from the settings.
func New(cfg *config.Config) Timing {
	s := cfg.Settings
	workers := newWorkers(s.Workers)
	stateRetry := config.Seconds(s.Workers.HeartbeatIntervalS / 20)
	return Timing{
		Election:   newElection(s.Workers, stateRetry),
		Workers:    workers,
		Scheduling: newScheduling(workers, stateRetry, s.Limits),
		Jobs: Jobs{
			FailureBackoff: retry.Policy{InitialDelay: workers.HeartbeatInterval / 4, MaxDelay: 2 * workers.Lease, Jitter: failureJitter},
			// The current limits decide, even if other limits are to follow: earlier versions that
			// run beside this one, and jobs that they accepted, use blocks of this length.
			BlockTasks: storage.BlockTasks(storage.PageBytes(s.State.ValueKB)),
		},
		Archive: newArchive(s),
		Requests: Requests{
			DeferTimeout: LeaderLease(s.Workers),
			MaxDeferred:  max(1, s.Limits.MaxConnections/deferredConnectionsDivisor),
		},
		StateRetryInterval: stateRetry,
		PauseThreshold:     workers.HeartbeatInterval / 2,
	}
}

func newElection(w config.Workers, stateRetry time.Duration) Election {
	ttl := LeaderLease(w)
	check := config.Seconds(w.LeaseS / 60)
	probe := config.Seconds(w.LeaseS / 12)
	return Election{
		LeaseTTL:             ttl,
		RenewInterval:        ttl / 5,
		CheckInterval:        check,
		RetryInterval:        stateRetry,
		HeartbeatGrace:       config.Seconds(w.LeaseS * 2),
		StepDownInterval:     config.Seconds(w.HeartbeatIntervalS) / 3,
		TokenInterval:        config.Seconds(w.LeaseS / 4),
		ProbeInterval:        probe,
		ProbeTimeout:         probe * 5 / 2,
		HealthyWithoutLeader: ttl * 6,
		ResignBackoff:        ttl * 2,
		PausedNodeBackoff:    check * 2,
	}
}

func newWorkers(w config.Workers) Workers {
	return Workers{
		HeartbeatInterval:          config.Seconds(w.HeartbeatIntervalS),
		Lease:                      config.Seconds(w.LeaseS*(1+MaxClockDrift)) + config.Seconds(w.HeartbeatIntervalS/20),
		HeartbeatTimeout:           config.Seconds(w.HeartbeatIntervalS * 1.5),
		CheckInterval:              config.Seconds(w.HeartbeatIntervalS / 40),
		CancellationConfirmTimeout: config.Seconds(w.CancelWithinS*(1-MaxClockDrift) - w.HeartbeatIntervalS/4),
		RefuseAfterCancellation:    config.Seconds(w.CancelWithinS - w.LeaseS*(1+2*MaxClockDrift) - w.HeartbeatIntervalS),
	}
}

func newScheduling(w Workers, stateRetry time.Duration, limits config.Limits) Scheduling {
	return Scheduling{
		StarvationThreshold:  w.Lease * 4,
		FailingJobInterval:   w.HeartbeatInterval / 8,
		UnschedulableBackoff: w.CheckInterval / 1000,
		// Examining a machine takes a fraction of a microsecond of CPU time. This backoff leaves
		// most of the process's CPU share to its other work.
		ExaminationBackoff:    time.Duration(float64(w.CheckInterval) / examinationsPerCheck / min(1, limits.CPU)),
		MaxExaminationBackoff: stateRetry,
	}
}

func newArchive(s config.Settings) Archive {
	memory := s.Limits.MemoryMB * bytesPerMB
	return Archive{
		MaxEndedJobs:   int(memory / endedJobsMemoryDivisor / endedJobBytes),
		MaxCachedPages: max(minArchivePages, int(memory/archiveMemoryDivisor/(s.State.ValueKB*bytesPerKB))),
	}
}
