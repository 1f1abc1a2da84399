package storage

// CommitWaiter runs a function once every page that it was handed in for is committed. Its
// kind sets the priority of these pages. A waiter whose term ends first never runs.
type CommitWaiter struct {
	pendingPages    int
	onCommit        func()
	maxDelayRetries int
}

// How much later than one that a user waits for a page is written, in retry intervals.
// What changes on it meanwhile shares its write.
const (
	startDelayRetries          = 5
	deferredDelayRetries       = 10
	backgroundDelayRetries     = 100
	lowestPriorityDelayRetries = 100_000
)

// OnCommit returns a waiter of the highest priority: a user's answer depends on it. It is
// handed to MarkDirty, Replace, Remove or Move for every page that it waits for.
func OnCommit(then func()) *CommitWaiter { return &CommitWaiter{onCommit: then} }

// OnStartCommit returns a waiter that the start of a task depends on. The objectives for
// starts are seconds, those for users' answers fractions of one, so answers go first.
func OnStartCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayRetries: startDelayRetries}
}

// OnDeferredCommit returns a waiter that nobody outside depends on: others go first.
func OnDeferredCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayRetries: deferredDelayRetries}
}

// OnBackgroundCommit returns a waiter for something that a new leader would conclude from
// other records. For a while it is written only with what the budget leaves.
func OnBackgroundCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayRetries: backgroundDelayRetries}
}

// OnLowestPriorityCommit returns a waiter for pages that are written only when no other
// page is dirty, the oldest first.
func OnLowestPriorityCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayRetries: lowestPriorityDelayRetries}
}

// pageCommitted runs the function if no other page is pending.
func (w *CommitWaiter) pageCommitted() {
	w.pendingPages--
	if w.pendingPages == 0 {
		w.onCommit()
	}
}
