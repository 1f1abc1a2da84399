package storage

// CommitWaiter calls a function once all pages that it was registered for are committed, unless
// the term ends before that. It also sets the write priority of these pages.
type CommitWaiter struct {
	pendingPages      int
	onCommit          func()
	maxDelayIntervals int
}

// Maximum write delays of a page, in retry intervals, by the priority of its waiter. They are
// relative to a page that a user's response waits for. Changes made to a page during the delay
// share one write.
const (
	startDelayIntervals          = 5
	deferredDelayIntervals       = 10
	backgroundDelayIntervals     = 100
	lowestPriorityDelayIntervals = 100_000
)

// OnCommit returns a waiter of the highest priority, for a commit that a user's response
// depends on. It is passed to MarkDirty, Replace, Remove or MoveToArchive for each page that
// it waits for.
func OnCommit(then func()) *CommitWaiter { return &CommitWaiter{onCommit: then} }

// OnStartCommit returns a waiter for a commit that the start of a task depends on. The
// latency objective for starts is seconds and that for users' responses is fractions of a
// second, so responses have priority.
func OnStartCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayIntervals: startDelayIntervals}
}

// OnDeferredCommit returns a waiter for a commit that no user and no task start depends on.
func OnDeferredCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayIntervals: deferredDelayIntervals}
}

// OnBackgroundCommit returns a waiter for records that a new leader could derive from other
// records. Until the delay has passed, they are written only with budget that other pages
// leave unused.
func OnBackgroundCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayIntervals: backgroundDelayIntervals}
}

// OnLowestPriorityCommit returns a waiter for pages that are written only when no other
// page is dirty, in the order in which they became dirty.
func OnLowestPriorityCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayIntervals: lowestPriorityDelayIntervals}
}

// pageCommitted counts a committed page and calls the function after the last one.
func (w *CommitWaiter) pageCommitted() {
	w.pendingPages--
	if w.pendingPages == 0 {
		w.onCommit()
	}
}
