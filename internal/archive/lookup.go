package archive

import (
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// lookup is a user's request that waits for pages of the archive. After its user was refused
// it goes on, so that what was found isn't lost when the user comes back.
type lookup struct {
	request   message.UserRequest
	userWaits bool
	refuseAt  time.Duration
	forgetAt  time.Duration
	unknown   []string // jobs that aren't known to be, or not to be, in the archive
	found     LookupResults
}

// Why a request is refused.
const (
	corruptPage    = "its page of ended jobs is damaged"
	tooManyLookups = "too many ended jobs are asked for"
	pendingAlready = "asked already"
	notInTime      = "the ended jobs can't be read in time"
)

// forgetLeases is for how many worker leases a submission's lookups are remembered.
const forgetLeases = 2

// find tells which of some jobs have to be looked up; of the others that are in the archive it
// adds the ends to found. corrupt: a page that is needed can't be read.
func (a *Archive) find(ids []string, found LookupResults) (unknown []string, corrupt bool) {
	for _, id := range ids {
		if _, ok := found[id]; ok || a.state.KnowsJob(id) {
			continue
		}
		p := a.page(id)
		if p == nil {
			unknown = append(unknown, id)
			continue
		}
		if p.corrupt {
			return nil, true
		}
		found[id] = nil
		if record, ok := p.Lookup(id); ok {
			found[id] = &cluster.EndedJob{TerminalRecord: record}
		}
	}
	return unknown, false
}

// subjects are the jobs that a request is about.
func (a *Archive) subjects(request message.UserRequest) []string {
	if request.Kind != message.Submit {
		return []string{request.Job}
	}
	if a.state.KnowsJob(request.Submission.ID) {
		return nil
	}
	return append([]string{request.Submission.ID}, request.Submission.Prerequisites...)
}

// Handle has a user's request decided, or lets it wait for what has to be looked up.
func (a *Archive) Handle(request message.UserRequest) {
	if !a.exists {
		a.callbacks.Decide(request, nil)
		return
	}
	earlier := a.earlierLookup(request)
	found := LookupResults{}
	if earlier != nil {
		found = earlier.found
	}
	unknown, corrupt := a.find(a.subjects(request), found)
	switch {
	case corrupt:
		a.context.Refuse(request.ID, corruptPage)
	case len(unknown) == 0:
		if earlier != nil && !earlier.userWaits {
			a.drop(earlier)
		}
		a.callbacks.Decide(request, found)
	case earlier != nil && earlier.userWaits:
		a.context.Refuse(request.ID, pendingAlready)
	case earlier != nil:
		earlier.request, earlier.userWaits, earlier.unknown = request, true, unknown
		earlier.refuseAt = a.context.Monotonic() + lookupTimeout(request.Kind)
	case !a.admits(request.Kind):
		a.context.Refuse(request.ID, tooManyLookups)
	default:
		now := a.context.Monotonic()
		a.lookups = append(a.lookups, &lookup{
			request: request, userWaits: true, unknown: unknown, found: found,
			refuseAt: now + lookupTimeout(request.Kind), forgetAt: now + forgetLeases*a.timing.Workers.Lease,
		})
	}
}

// lookupTimeout is how long a request waits for the archive: half of the time that its user
// does, as for a commit.
func lookupTimeout(kind message.UserRequestKind) time.Duration {
	if kind == message.Poll {
		return config.Seconds(protocol.PollTimeoutS / 2.0)
	}
	return config.Seconds(protocol.SubmitTimeoutS / 2.0)
}

// earlierLookup is the same submission that came before. Polls and cancellations ask for one
// job each, and needn't be remembered.
func (a *Archive) earlierLookup(request message.UserRequest) *lookup {
	if request.Kind != message.Submit {
		return nil
	}
	i := slices.IndexFunc(a.lookups, func(x *lookup) bool {
		return x.request.Kind == message.Submit && x.request.Submission.ID == request.Submission.ID
	})
	if i < 0 {
		return nil
	}
	return a.lookups[i]
}

func (a *Archive) drop(x *lookup) {
	a.lookups = slices.DeleteFunc(a.lookups, func(y *lookup) bool { return x == y })
}

// admits reports whether one more request may wait. Polls leave room for submissions and
// cancellations: users ask about jobs that nobody has submitted. If there are too many of
// them, one that waits is refused in the newcomer's place, drawn so that nobody who asks again
// and again is always the one.
func (a *Archive) admits(kind message.UserRequestKind) bool {
	most := max(minLookups, int(a.limits.RPS*lookupsPerRPS))
	if kind != message.Poll {
		return len(a.lookups) < most
	}
	var polls []*lookup
	for _, x := range a.lookups {
		if x.request.Kind == message.Poll {
			polls = append(polls, x)
		}
	}
	if len(polls) < int(float64(most)*pollsShare) {
		return true
	}
	drawn := a.context.Random.IntN(len(polls) + 1)
	if drawn == len(polls) {
		return false
	}
	a.drop(polls[drawn])
	a.context.Refuse(polls[drawn].request.ID, tooManyLookups)
	return true
}

// nextLookup is a job whose page somebody waits for: of submissions and cancellations first.
func (a *Archive) nextLookup() string {
	var next *lookup
	for _, x := range a.lookups {
		if len(x.unknown) > 0 && (next == nil || next.request.Kind == message.Poll && x.request.Kind != message.Poll) {
			next = x
		}
	}
	if next == nil {
		return ""
	}
	return next.unknown[0]
}

// answerLookups decides the requests for which nothing more has to be read. They are answered
// only while the lease is held: what was read is of this term.
func (a *Archive) answerLookups() {
	for _, x := range slices.Clone(a.lookups) {
		var corrupt bool
		x.unknown, corrupt = a.find(x.unknown, x.found)
		switch {
		case corrupt:
			a.drop(x)
			if x.userWaits {
				a.context.Refuse(x.request.ID, corruptPage)
			}
		case len(x.unknown) == 0 && x.userWaits && a.leadership.HoldsLease():
			a.drop(x)
			a.callbacks.Decide(x.request, x.found)
		}
	}
}

// refuseLate refuses those who have waited too long, or all while the lease may have expired.
func (a *Archive) refuseLate() {
	now := a.context.Monotonic()
	for _, x := range slices.Clone(a.lookups) {
		if x.userWaits && (now >= x.refuseAt || !a.leadership.HoldsLease()) {
			x.userWaits = false
			a.context.Refuse(x.request.ID, notInTime)
			if x.request.Kind != message.Submit {
				a.drop(x)
			}
		}
		if now >= x.forgetAt && !x.userWaits {
			a.drop(x)
		}
	}
}
