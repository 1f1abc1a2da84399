// Package workers is a leader's exchange with the machines' workers: it answers heartbeats,
// squares what they report with the records, sends commands, and finds out which workers'
// leases have certainly expired. A task counts as gone only on proof.
package workers

import (
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/jobs"
	"oakpick/internal/step"
	"oakpick/internal/timing"
)

// Leadership is what the manager has to know of the term, and how it ends it.
type Leadership interface {
	// HoldsLease reports whether no other node can lead.
	HoldsLease() bool
	// LeaseUntil is until when the leader's lease certainly lasts.
	LeaseUntil() time.Duration
	// Token is the fencing token, FirstToken that with which the term began.
	Token() int64
	FirstToken() int64
	// EarlierLeadersSilentAt is when every earlier leader had stopped answering workers.
	EarlierLeadersSilentAt() time.Duration
	// AdvanceToken advances the token if needed, or goes on with an advance under way.
	AdvanceToken(needed bool, writesInFlight func() bool)
	// StepDown ends the term at this node; Resign also lets another begin one at once.
	StepDown(reason string)
	Resign(reason string)
}

// Manager changes the worker and command state of a cluster's machines.
type Manager struct {
	context        *step.Context
	state          *cluster.State
	jobs           *jobs.Manager
	timing         timing.Workers
	leadership     Leadership
	writesInFlight func() bool
	checkAt        time.Duration // when all machines are checked next
}

// NewManager returns the manager of a cluster's workers. writesInFlight reports whether
// writes are under way that are conditional on the present token.
func NewManager(
	context *step.Context, state *cluster.State, jobs *jobs.Manager, timing timing.Workers, leadership Leadership, writesInFlight func() bool,
) *Manager {
	return &Manager{context: context, state: state, jobs: jobs, timing: timing, leadership: leadership, writesInFlight: writesInFlight}
}

// newerTokenSeen is why a leader steps down to which a worker names a higher token.
const newerTokenSeen = "a worker has seen a newer fencing token"
