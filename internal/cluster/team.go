package cluster

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/resources"
)

// Team is a team's use and quota.
type Team struct {
	config.Team
	// BestEffort teams have no guarantee while others have one: their work runs on what the
	// others leave idle.
	BestEffort bool
	Used       resources.Amount // by its tasks on machines
	Stopping   resources.Amount // of that, what stopping tasks are about to leave
	// Reserved is, of that, what the present scheduling cycle has promised to jobs that wait
	// for it.
	Reserved resources.Amount
	// FailingJobNotBefore is until when no job that fails on every machine is tried.
	FailingJobNotBefore time.Duration
	// FiniteUsed is what work that ends by itself takes, and FiniteWaiting what waits of it,
	// as of the last cycle.
	FiniteUsed, FiniteWaiting resources.Amount
}

// hasGuarantee reports whether a team is guaranteed anything.
func hasGuarantee(t config.Team) bool { return t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 }

// Allows reports whether so much more stays within the limit.
func (t *Team) Allows(more resources.Amount) bool {
	return (t.CPULimit == 0 || t.Used.CPUs+more.CPUs <= t.CPULimit+resources.Tolerance) &&
		(t.GPULimit == 0 || t.Used.GPUs+more.GPUs <= t.GPULimit+resources.Tolerance)
}

// Guarantees reports whether the guarantee covers an amount.
func (t *Team) Guarantees(amount resources.Amount) bool {
	return hasGuarantee(t.Team) &&
		(t.GuaranteedCPUs == 0 || amount.CPUs <= t.GuaranteedCPUs+resources.Tolerance) &&
		(t.GuaranteedGPUs == 0 || amount.GPUs <= t.GuaranteedGPUs+resources.Tolerance)
}

// Limit is the team's limit, as an amount; what isn't limited is unlimited.
func (t *Team) Limit() resources.Amount {
	limit := resources.Unlimited()
	if t.CPULimit > 0 {
		limit.CPUs = t.CPULimit
	}
	if t.GPULimit > 0 {
		limit.GPUs = t.GPULimit
	}
	return limit
}
