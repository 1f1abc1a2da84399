package controller

import (
	"time"

	"oakpick/internal/message"
)

// A controller may stand still for seconds or minutes while its clocks run on. What it
// hasn't heard meanwhile says nothing of machines or peers: they count as silent from the
// end of the pause at the earliest, and the fleet is left as it is until whoever is there
// has had the time to report. Proofs that a task is gone are no affair of this file: they
// count from the last answer that a worker can have had.

// notePause finds out, at the beginning of a step, whether the process has stood still.
func (n *Controller) notePause() {
	stood := n.pauses.Step(n.now.Monotonic)
	if stood == 0 {
		return
	}
	total := n.pauses.Totals()
	n.Stats.Pauses, n.Stats.PausedMs, n.Stats.LongestPauseMs = total.Count, total.Sum.Milliseconds(), total.Longest.Milliseconds()
	n.log(message.Info, "process stood still", "for", stood.Round(time.Millisecond).String(), "role", n.Role(), "calls", n.callsInFlight())
	if n.term.own == 0 {
		// Another may stand still less often: it has the first turn at a free term, so
		// that terms don't follow one another at the pace of this node's pauses.
		n.term.backOff = max(n.term.backOff, n.now.Monotonic+n.rules.pausedBackOff)
	}
}

// callsInFlight is how many calls to other components have had no answer yet.
func (n *Controller) callsInFlight() int {
	calls := len(n.term.calls)
	if n.engine != nil {
		calls += len(n.engine.fleet.calls)
		for _, h := range n.engine.byName {
			if h.call != 0 {
				calls++
			}
		}
	}
	return calls
}

// silentFor is for how long a machine has been silent while it could have been heard.
func (e *engine) silentFor(h *host) time.Duration {
	return e.n.now.Monotonic - e.n.pauses.Since(h.heard)
}

// catchingUp tells whether the process has stood still a moment ago, so that machines
// that are well may not have reported since.
func (e *engine) catchingUp() bool {
	return e.n.pauses.Within(e.n.now.Monotonic, e.rules.silent)
}
