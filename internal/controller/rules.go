package controller

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/retry"
	"oakpick/internal/storage"
)

// Rules are the node's own times, each a ratio to a figure of the settings.
type Rules struct {
	ttl           time.Duration // of the term's lease
	renew         time.Duration // between renewals
	poll          time.Duration // between a follower's looks at the term's key
	hold          time.Duration // how long a leader in doubt goes on answering workers
	lease         time.Duration // after which a worker's lease has certainly lapsed
	report        time.Duration
	answer        time.Duration // how long a direct command may take
	retry         time.Duration // before a refused or lost write is sent again
	raise         time.Duration // least time between two raises of the token
	healthFor     time.Duration
	probe         time.Duration // between a follower's greetings to the leader
	probeTimeout  time.Duration // after which a leader that doesn't answer them counts as out of reach
	pause         time.Duration // a process that takes longer from one step to the next has stood still
	pausedBackOff time.Duration // how long a node that has stood still leaves a free term to others
	deferFor      time.Duration // how long a request to change something waits for a leader to be known
	deferMost     int           // how many such requests wait
	failure       retry.Policy  // of tasks that fail
	tryApart      time.Duration // between tries of a team's jobs that fail everywhere
	cancelWithin  time.Duration // within which the tasks of a cancelled job have to be gone, from when its user is told
	cancel        time.Duration // after which a machine that may not obey isn't answered
	silent        time.Duration // a machine that has been silent for so long should have reported
	patience      time.Duration // how long a job waits before more is done for it than its team or its failures allow
	backOff       time.Duration // how long a node that gave up the term leaves it to others
	sweep         time.Duration // between looks at all machines
	passBackOff   time.Duration // for each job that waits in vain, between placement passes
	lookBackOff   time.Duration // for each look at a machine in the last one, the same
	looksMost     time.Duration // for all of these, at most
	blockTasks    int           // how many tasks a block of a new job has
	endedKept     int           // ended jobs that a leader keeps in memory, before they are moved to the archive
	archivePages  int           // pages of the archive that a leader keeps in memory
}

// drift is more than twice what the steady clocks of two machines may differ by.
const drift = 0.0011

// looksASweep is how many looks a core could spend a sweep on.
const looksASweep = 100_000

// Ended jobs may take a part of the memory, and so may pages of the archive, which take
// several times in memory what they take as they are stored.
const (
	endedShare        = 64
	endedBytes        = 256
	archiveCacheShare = 512
	archivePagesLeast = 4
)

// failureJitter is by what part of itself the wait after a failure is longer or shorter.
const failureJitter = 0.25

// deferShare is the part of the connections whose requests may wait for a leader.
const deferShare = 16

// TermLease is how long the term's lease lasts: while it runs out after a leader
// has ended, nobody can be served.
func TermLease(w config.Workers) time.Duration {
	return config.Seconds(min(w.LeaseS/10, w.HeartbeatIntervalS*0.4))
}

// NewRules derives the times from the settings.
func NewRules(cfg *config.Config) Rules {
	w := cfg.Settings.Workers
	sec := config.Seconds
	lease := sec(w.LeaseS * (1 + drift))
	ttl := TermLease(w)
	r := Rules{
		ttl:          ttl,
		renew:        ttl / 5,
		poll:         sec(w.LeaseS / 60),
		lease:        lease + sec(w.HeartbeatIntervalS/20),
		report:       sec(w.HeartbeatIntervalS),
		answer:       sec(w.HeartbeatIntervalS * 0.75),
		retry:        sec(w.HeartbeatIntervalS / 20),
		raise:        sec(w.LeaseS / 4),
		cancelWithin: sec(w.CancelWithinS*(1-drift) - w.HeartbeatIntervalS/4),
		sweep:        sec(w.HeartbeatIntervalS / 40),
		silent:       sec(w.HeartbeatIntervalS * 1.5),
		hold:         sec(w.LeaseS * 2),
		cancel:       sec(w.CancelWithinS - w.LeaseS*(1+2*drift) - w.HeartbeatIntervalS),
	}
	// By the limits as they are, also if others are to come: earlier versions that
	// run beside this one, and jobs that they accepted, have blocks of this length.
	r.blockTasks = storage.BlockTasks(storage.PageBytes(cfg.Settings.State.ValueKB))
	memory := cfg.Settings.Limits.MemoryMB * (1 << 20)
	r.endedKept = int(memory / endedShare / endedBytes)
	r.archivePages = max(archivePagesLeast, int(memory/archiveCacheShare/(cfg.Settings.State.ValueKB*1024)))
	r.backOff = r.ttl * 2
	r.failure = retry.Policy{First: r.report / 4, Most: 2 * r.lease, Jitter: failureJitter}
	r.tryApart = r.report / 8
	r.pause = r.report / 2
	r.pausedBackOff = r.poll * 2
	r.deferFor = r.ttl
	r.deferMost = max(1, cfg.Settings.Limits.MaxConnections/deferShare)
	r.patience = r.lease * 4
	r.passBackOff = r.sweep / 1000
	// A look takes a fraction of a microsecond of a core. With this, passes leave most of the
	// process's share of one to the rest.
	r.looksMost = r.retry
	r.lookBackOff = time.Duration(float64(r.sweep) / looksASweep / min(1, cfg.Settings.Limits.CPU))
	r.healthFor = r.ttl * 6
	r.probe = sec(w.LeaseS / 12)
	r.probeTimeout = r.probe * 5 / 2
	return r
}
