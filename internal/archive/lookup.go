package archive

import (
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// lookup is a user request that waits for archive pages. A submission's lookup continues after
// the request was refused, so that its results are available when the user retries.
type lookup struct {
	request     message.UserRequest
	userWaiting bool // false once the request has been refused
	refuseAt    time.Duration
	expiresAt   time.Duration // time from which the lookup is removed if no user is waiting for it
	unresolved  []string      // jobs whose archive pages haven't been read yet
	results     LookupResults
}

// Reasons for refusing a request.
const (
	corruptPage    = "its page of ended jobs is damaged"
	tooManyPending = "too many ended jobs are asked for"
	alreadyPending = "asked already"
	readTimedOut   = "the ended jobs can't be read in time"
)

// retentionLeases is how long the lookup of a submission is kept, as a multiple of the worker lease.
const retentionLeases = 2

// findCached looks jobs up in the cached pages and adds their records to results. It returns the
// jobs whose pages aren't cached. corrupt is true if a page that covers one of the jobs is corrupt.
func (a *Archive) findCached(ids []string, results LookupResults) (unresolved []string, corrupt bool) {
	for _, id := range ids {
		if _, ok := results[id]; ok || a.state.HasJob(id) {
			continue
		}
		p := a.cachedPageFor(id)
		if p == nil {
			unresolved = append(unresolved, id)
			continue
		}
		if p.corrupt {
			return nil, true
		}
		results[id] = nil
		if record, ok := p.Lookup(id); ok {
			results[id] = &cluster.EndedJob{TerminalRecord: record}
		}
	}
	return unresolved, false
}

// requestedJobs returns the IDs of the jobs that a request refers to.
func (a *Archive) requestedJobs(request message.UserRequest) []string {
	if request.Kind != message.Submit {
		return []string{request.Job}
	}
	if a.state.HasJob(request.Submission.ID) {
		return nil
	}
	return append([]string{request.Submission.ID}, request.Submission.Prerequisites...)
}

// Handle answers a user request, or queues it until the pages that it needs have been read.
func (a *Archive) Handle(request message.UserRequest) {
	if !a.nonEmpty {
		a.callbacks.HandleRequest(request, nil)
		return
	}
	earlier := a.pendingSubmission(request)
	results := LookupResults{}
	if earlier != nil {
		results = earlier.results
	}
	unresolved, corrupt := a.findCached(a.requestedJobs(request), results)
	switch {
	case corrupt:
		a.context.Refuse(request.ID, corruptPage)
	case len(unresolved) == 0:
		if earlier != nil && !earlier.userWaiting {
			a.remove(earlier)
		}
		a.callbacks.HandleRequest(request, results)
	case earlier != nil && earlier.userWaiting:
		a.context.Refuse(request.ID, alreadyPending)
	case earlier != nil:
		earlier.request, earlier.userWaiting, earlier.unresolved = request, true, unresolved
		earlier.refuseAt = a.context.Monotonic() + lookupTimeout(request.Kind)
	case !a.admit(request.Kind):
		a.context.Refuse(request.ID, tooManyPending)
	default:
		now := a.context.Monotonic()
		a.pendingLookups = append(a.pendingLookups, &lookup{
			request: request, userWaiting: true, unresolved: unresolved, results: results,
			refuseAt: now + lookupTimeout(request.Kind), expiresAt: now + retentionLeases*a.timing.Workers.Lease,
		})
	}
}

// lookupTimeout returns how long a request may wait for the archive: half of the user's timeout,
// which leaves enough time for the network round trip.
func lookupTimeout(kind message.UserRequestKind) time.Duration {
	if kind == message.Poll {
		return config.Seconds(protocol.PollTimeoutS / 2.0)
	}
	return config.Seconds(protocol.SubmitTimeoutS / 2.0)
}

// pendingSubmission returns the earlier lookup of the same submission, or nil. Polls and
// cancellations look up a single job each, so their results aren't kept.
func (a *Archive) pendingSubmission(request message.UserRequest) *lookup {
	if request.Kind != message.Submit {
		return nil
	}
	i := slices.IndexFunc(a.pendingLookups, func(x *lookup) bool {
		return x.request.Kind == message.Submit && x.request.Submission.ID == request.Submission.ID
	})
	if i < 0 {
		return nil
	}
	return a.pendingLookups[i]
}

func (a *Archive) remove(x *lookup) {
	a.pendingLookups = slices.DeleteFunc(a.pendingLookups, func(y *lookup) bool { return x == y })
}

// admit reports whether one more lookup may be queued. Polls are limited to a share of the queue,
// so that polls of jobs that were never submitted can't block submissions and cancellations. If
// that share is used up, admit refuses either the new poll or a queued one, chosen at random, so
// that a user who keeps polling isn't refused every time.
func (a *Archive) admit(kind message.UserRequestKind) bool {
	limit := max(minPendingLookupLimit, int(a.limits.RPS*pendingLookupsPerRPS))
	if kind != message.Poll {
		return len(a.pendingLookups) < limit
	}
	var polls []*lookup
	for _, x := range a.pendingLookups {
		if x.request.Kind == message.Poll {
			polls = append(polls, x)
		}
	}
	if len(polls) < int(float64(limit)*pollShare) {
		return true
	}
	drawn := a.context.Random.IntN(len(polls) + 1)
	if drawn == len(polls) {
		return false
	}
	a.remove(polls[drawn])
	a.context.Refuse(polls[drawn].request.ID, tooManyPending)
	return true
}

// nextJobToRead returns a job whose page a lookup waits for, or "" if there is none. Submissions
// and cancellations come before polls.
func (a *Archive) nextJobToRead() string {
	var next *lookup
	for _, x := range a.pendingLookups {
		if len(x.unresolved) > 0 && (next == nil || next.request.Kind == message.Poll && x.request.Kind != message.Poll) {
			next = x
		}
	}
	if next == nil {
		return ""
	}
	return next.unresolved[0]
}

// answerLookups answers the lookups whose pages have all been read, and refuses those with a corrupt
// page. It answers only while the lease is held, because another leader may have changed the
// pages since.
func (a *Archive) answerLookups() {
	for _, x := range slices.Clone(a.pendingLookups) {
		var corrupt bool
		x.unresolved, corrupt = a.findCached(x.unresolved, x.results)
		switch {
		case corrupt:
			a.remove(x)
			if x.userWaiting {
				a.context.Refuse(x.request.ID, corruptPage)
			}
		case len(x.unresolved) == 0 && x.userWaiting && a.leadership.HoldsLease():
			a.remove(x)
			a.callbacks.HandleRequest(x.request, x.results)
		}
	}
}

// refuseTimedOut refuses lookups whose timeout has passed, or all lookups if the lease may have
// expired. It also removes expired lookups that no user is waiting for.
func (a *Archive) refuseTimedOut() {
	now := a.context.Monotonic()
	for _, x := range slices.Clone(a.pendingLookups) {
		if x.userWaiting && (now >= x.refuseAt || !a.leadership.HoldsLease()) {
			x.userWaiting = false
			a.context.Refuse(x.request.ID, readTimedOut)
			if x.request.Kind != message.Submit {
				a.remove(x)
			}
		}
		if now >= x.expiresAt && !x.userWaiting {
			a.remove(x)
		}
	}
}
