package cluster

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/resources"
)

// Team holds a team's settings and usage.
type Team struct {
	config.Team
	// BestEffort is whether the team has no guarantee while others have one. Its tasks run on
	// capacity that the others leave idle.
	BestEffort bool
	Used       resources.Amount // resources requested by its tasks on machines
	Stopping   resources.Amount // part of Used that belongs to stopping tasks
	// Reserved is the part of Stopping that the current scheduling cycle has reserved for jobs that
	// wait for it.
	Reserved resources.Amount
	// FailingJobNotBefore is the earliest time of the next attempt of any job that fails on every
	// machine.
	FailingJobNotBefore time.Duration
	// FiniteUsed is the usage of finite jobs (arrays and gangs, which end by themselves), and
	// FiniteWaiting the amount that their idle tasks request, as of the last scheduling cycle.
	FiniteUsed, FiniteWaiting resources.Amount
}

// hasGuarantee reports whether a team has any guaranteed resources.
func hasGuarantee(t config.Team) bool { return t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 }

// Allows reports whether the additional amount stays within the team's limit.
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

// Limit returns the team's limit; a resource without a limit is unlimited.
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
