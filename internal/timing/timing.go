// Package timing derives a controller's own times and bounds from the settings. Each is a
// ratio to a figure of the settings, so that one program serves every deployment.
package timing

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/retry"
	"oakpick/internal/storage"
)

// MaxClockDrift is more than twice what the steady clocks of two machines may differ by, as a
// part of the time that passes.
const MaxClockDrift = 0.0011

// Timing is a controller's times and bounds, grouped by who uses them.
type Timing struct {
	Election       Election
	Workers        Workers
	Scheduling     Scheduling
	Jobs           Jobs
	Archive        Archive
	Requests       Requests
	StateRetry     time.Duration // before a refused or unanswered request to the state service is sent again
	PauseThreshold time.Duration // a process that takes longer from one step to the next was paused
}

// Election are the times of the leader election.
type Election struct {
	LeaseTTL             time.Duration // of the leader's lease
	RenewInterval        time.Duration // between renewals of it
	CheckInterval        time.Duration // between a follower's reads of the leader key
	RetryInterval        time.Duration // before another try to take the leader key
	HeartbeatGrace       time.Duration // how long a leader whose lease may have expired goes on answering workers
	StepDownInterval     time.Duration // between requests to a peer to step down
	TokenInterval        time.Duration // least time between two advances of the fencing token
	ProbeInterval        time.Duration // between probes of a peer
	ProbeTimeout         time.Duration // after which a leader that doesn't answer them counts as unreachable
	HealthyWithoutLeader time.Duration // how long a node counts as healthy without hearing of a leader
	ResignBackoff        time.Duration // how long a node that resigned leaves the leader key to others
	PausedNodeBackoff    time.Duration // how long a node that was paused does
}

// Workers are the times of heartbeats, worker leases and commands.
type Workers struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // after which a worker's lease has certainly expired
	HeartbeatTimeout  time.Duration // a machine not heard for so long has missed a heartbeat
	CheckInterval     time.Duration // between checks of all machines
	// CancellationConfirmTimeout is within which the tasks of a cancelled job have to be gone
	// for its user to be told.
	CancellationConfirmTimeout time.Duration
	// RefuseAfterCancellation is how long after a cancellation a machine that may still start
	// the job's tasks isn't answered any more.
	RefuseAfterCancellation time.Duration
}

// Scheduling are the times of scheduling cycles.
type Scheduling struct {
	// StarvationThreshold is how long a job waits before more is done for it than its team or its
	// failures allow.
	StarvationThreshold time.Duration
	// FailingJobInterval is the least time between attempts of a team's jobs that fail on
	// every machine.
	FailingJobInterval time.Duration
	// Between two cycles there is a time for each unschedulable job, and one for each machine
	// examined in the last cycle, the latter at most MaxExaminationBackoff.
	UnschedulableBackoff  time.Duration
	ExaminationBackoff    time.Duration
	MaxExaminationBackoff time.Duration
}

// Jobs are the bounds of jobs' records and failures.
type Jobs struct {
	FailureBackoff retry.Policy
	BlockTasks     int // how many tasks a block of a new job has
}

// Archive are the bounds of what a leader keeps of ended jobs in memory.
type Archive struct {
	MaxEndedJobs   int // before they are moved to the archive
	MaxCachedPages int
}

// Requests are the bounds of requests that wait for a leader to be known.
type Requests struct {
	DeferTimeout time.Duration
	MaxDeferred  int
}

// examinationsPerCheck is how many machines a core could examine in a check interval.
const examinationsPerCheck = 100_000

// Ended jobs may take a part of the memory, and so may pages of the archive, which take
// several times in memory what they take as they are stored.
const (
	endedJobsMemoryShare = 64
	endedJobBytes        = 256
	archiveMemoryShare   = 512
	minArchivePages      = 4
	bytesPerMB           = 1 << 20
	bytesPerKB           = 1024
)

// failureJitter is by what part of itself the wait after a failure is longer or shorter.
const failureJitter = 0.25

// deferredShare is the part of the connections whose requests may wait for a leader.
const deferredShare = 16

// LeaderLease is how long the leader's lease lasts: until it expires after a leader has
// ended, nobody can be served.
func LeaderLease(w config.Workers) time.Duration {
	return config.Seconds(min(w.LeaseS/10, w.HeartbeatIntervalS*0.4))
}

// New derives the times from the settings.
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
			// By the limits as they are, also if others are to come: earlier versions that
			// run beside this one, and jobs that they accepted, have blocks of this length.
			BlockTasks: storage.BlockTasks(storage.PageBytes(s.State.ValueKB)),
		},
		Archive: newArchive(s),
		Requests: Requests{
			DeferTimeout: LeaderLease(s.Workers),
			MaxDeferred:  max(1, s.Limits.MaxConnections/deferredShare),
		},
		StateRetry:     stateRetry,
		PauseThreshold: workers.HeartbeatInterval / 2,
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
		// To examine a machine takes a fraction of a microsecond of a core. With this, cycles
		// leave most of the process's share of one to the rest.
		ExaminationBackoff:    time.Duration(float64(w.CheckInterval) / examinationsPerCheck / min(1, limits.CPU)),
		MaxExaminationBackoff: stateRetry,
	}
}

func newArchive(s config.Settings) Archive {
	memory := s.Limits.MemoryMB * bytesPerMB
	return Archive{
		MaxEndedJobs:   int(memory / endedJobsMemoryShare / endedJobBytes),
		MaxCachedPages: max(minArchivePages, int(memory/archiveMemoryShare/(s.State.ValueKB*bytesPerKB))),
	}
}
