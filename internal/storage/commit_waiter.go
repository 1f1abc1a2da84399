package storage

// CommitWaiter runs a function once so many pages have been committed.
type CommitWaiter struct {
	pending         int
	onCommit        func()
	maxDelayRetries int // by how many retry times its pages may be written after others
}

// By how many retry times a page may be written later than one that somebody waits for.
// What comes to it meanwhile shares its write.
const (
	startDelayRetries          = 5
	deferredDelayRetries       = 10
	backgroundDelayRetries     = 100
	lowestPriorityDelayRetries = 100_000
)

// OnCommit makes a wait; it is handed to Touch for every page that it waits for. A
// user's answer depends on it.
func OnCommit(then func()) *CommitWaiter { return &CommitWaiter{onCommit: then} }

// OnStartCommit makes a wait that the start of a task depends on. The aims for starts are
// seconds, and those for users' answers parts of one, so that answers go first.
func OnStartCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayRetries: startDelayRetries}
}

// OnDeferredCommit makes a wait that nobody outside depends on: others go first.
func OnDeferredCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayRetries: deferredDelayRetries}
}

// OnBackgroundCommit makes a wait for something that a successor would conclude from
// other records. It is written with what the budget leaves, for a while.
func OnBackgroundCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayRetries: backgroundDelayRetries}
}

// OnLowestPriorityCommit makes a wait for what is written only when nothing else is to be, the
// oldest first.
func OnLowestPriorityCommit(then func()) *CommitWaiter {
	return &CommitWaiter{onCommit: then, maxDelayRetries: lowestPriorityDelayRetries}
}
