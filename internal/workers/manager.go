// Package workers manages a leader's communication with the workers on machines: it answers
// heartbeats, reconciles the reported tasks with the records, sends commands, and detects workers
// whose leases have certainly expired. A task counts as gone only on proof.
package workers

import (
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/jobs"
	"oakpick/internal/step"
	"oakpick/internal/timing"
)

// Leadership gives the manager access to the leader's lease and fencing token, and ends the term.
type Leadership interface {
	// HoldsLease reports whether it is certain that no other node can lead.
	HoldsLease() bool
	// LeaseUntil returns the time until which the leader's lease certainly lasts.
	LeaseUntil() time.Duration
	// Token returns the current fencing token, and FirstToken the one with which the term began.
	Token() int64
	FirstToken() int64
	// EarlierLeadersSilentAt returns the time by which every earlier leader has certainly stopped
	// answering workers.
	EarlierLeadersSilentAt() time.Duration
	// AdvanceToken advances the token if needed, or continues an advance in progress.
	AdvanceToken(needed bool, writesInFlight func() bool)
	// StepDown ends the term on this node; Resign also lets another node begin one at once.
	StepDown(reason string)
	Resign(reason string)
}

// Manager changes the worker and command state of the machines in a cluster.
type Manager struct {
	context        *step.Context
	state          *cluster.State
	jobs           *jobs.Manager
	timing         timing.Workers
	leadership     Leadership
	writesInFlight func() bool
	nextCheckAt    time.Duration // when all machines are checked next
}

// NewManager returns a manager of a cluster's workers. writesInFlight reports whether writes that
// are conditional on the current token are in progress.
func NewManager(
	context *step.Context, state *cluster.State, jobs *jobs.Manager, timing timing.Workers, leadership Leadership, writesInFlight func() bool,
) *Manager {
	return &Manager{context: context, state: state, jobs: jobs, timing: timing, leadership: leadership, writesInFlight: writesInFlight}
}

// newerTokenSeen is the reason for stepping down when a worker reports a higher token.
const newerTokenSeen = "a worker has seen a newer fencing token"
