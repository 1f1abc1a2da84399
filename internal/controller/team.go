package controller

import (
	"time"

	"oakpick/internal/config"
)

// team is a team's use and limits.
type team struct {
	config.Team
	guest   bool // has no guarantee while others do, see guests.go
	used    need
	tryAt   time.Duration // no job that fails everywhere is tried before, see failures.go
	leaving need          // of that, what stopping tasks are about to leave
	owed    need          // of that, what the present pass has promised to jobs that wait for it
	// As of the last pass: what work that ends takes, and what waits of it.
	ends, endsWait need
}

// allows tells whether so much more stays within the limit.
func (t *team) allows(n need) bool {
	return (t.CPULimit == 0 || t.used.cpus+n.cpus <= t.CPULimit+slack) &&
		(t.GPULimit == 0 || t.used.gpus+n.gpus <= t.GPULimit+slack)
}
