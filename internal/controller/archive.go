package controller

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// archive is what a leader knows of the archive of ended jobs, which it doesn't hold in
// memory: some of its pages, and who waits for others. Only the leader changes it, and every
// change is conditional on its term, so a page once read stays as it is until the leader
// itself writes it.
type archive struct {
	e       *engine
	exists  bool // something is in it
	cache   []*archivePage
	asks    []*ask
	read    *archiveRead  // one at a time, so never two of a page
	retryAt time.Duration // no read before, after one that failed
	moveAt  time.Duration // no move before; reads for users don't wait for that
	budget  *rate.Limiter
	changes int // moves that were committed

	moving  map[string]bool // ids of ended jobs whose move is under way
	sources int             // the page of records to be looked at next
	readers map[string]bool // peers that have said that they read the archive
	askAt   time.Duration
}

// archivePage is a page that was read, and which jobs it speaks for: those from low on and
// before its bound. What lies before low may be on another page.
type archivePage struct {
	*storage.ArchivePage
	low     string
	damaged bool
	used    time.Duration
}

func (p *archivePage) covers(id string) bool { return p.low <= id && id < p.UpperBound }

// archiveRead is a read under way.
type archiveRead struct {
	id      string // of the job whose page is read
	changes int    // when it was sent
}

// ends are the ends of jobs found in the archive; nil: the job isn't there.
type ends map[string]*final

// ask is a user's request that waits for pages of the archive. After its user was refused it
// goes on, so that what was found isn't lost when the user comes back.
type ask struct {
	call    message.UserRequest
	waiting bool // its user
	until   time.Duration
	forget  time.Duration
	needs   []string // jobs that aren't known to be, or not to be, in the archive
	found   ends
}

// The archive's share of what there is.
const (
	lookupShare = 0.25 // of the state service's requests
	asksShare   = 0.1  // requests that wait, for each request a second that the service takes
	pollsShare  = 0.5  // of these may be polls
	asksLeast   = 8
	moveLeast   = 3 // changes a transaction has to take: a page of records and two of the archive
	// pressing is from how many times as many ended jobs as may be kept their move no longer
	// waits for a budget that nobody uses.
	pressing = 2
)

// Why a request is refused.
const (
	damagedPage = "its page of ended jobs is damaged"
	tooManyAsk  = "too many ended jobs are asked for"
)

func newArchive(e *engine) *archive {
	share := e.n.cfg.Settings.State.Smallest().RPS * lookupShare
	return &archive{
		e: e, budget: rate.NewLimiter(rate.Limit(share), max(1, int(share))),
		moving: map[string]bool{}, readers: map[string]bool{},
	}
}

// page finds the page in memory that speaks for a job.
func (a *archive) page(id string) *archivePage {
	for _, p := range a.cache {
		if p.covers(id) {
			p.used = a.e.n.now.Monotonic
			return p
		}
	}
	return nil
}

// lookUp tells which jobs of a request have to be looked up; of the others that are in the
// archive it gives the ends. damaged: a page that is needed can't be read.
func (a *archive) lookUp(ids []string, found ends) (needs []string, damaged bool) {
	for _, id := range ids {
		if a.e.known(id) {
			continue
		}
		if _, ok := found[id]; ok {
			continue
		}
		p := a.page(id)
		if p == nil {
			needs = append(needs, id)
			continue
		}
		if p.damaged {
			return nil, true
		}
		found[id] = nil
		if r, ok := p.Lookup(id); ok {
			found[id] = &final{TerminalRecord: r}
		}
	}
	return needs, false
}

// known tells whether a job is in memory: not over, or its end not yet in the archive.
func (e *engine) known(id string) bool { return e.jobs[id] != nil || e.finals[id] != nil }

// subjects are the jobs that a request is about.
func (e *engine) subjects(c message.UserRequest) []string {
	if c.Kind != message.Submit {
		return []string{c.Job}
	}
	if e.known(c.Submission.ID) {
		return nil
	}
	return append([]string{c.Submission.ID}, c.Submission.Prerequisites...)
}

// request answers a user's request, or lets it wait for what has to be looked up.
func (a *archive) request(c message.UserRequest) {
	e := a.e
	if !a.exists {
		e.decide(c, nil)
		return
	}
	earlier := a.earlier(c)
	found := ends{}
	if earlier != nil {
		found = earlier.found
	}
	needs, damaged := a.lookUp(e.subjects(c), found)
	switch {
	case damaged:
		e.n.refuse(c.ID, damagedPage)
	case len(needs) == 0:
		if earlier != nil && !earlier.waiting {
			a.drop(earlier)
		}
		e.decide(c, found)
	case earlier != nil && earlier.waiting:
		e.n.refuse(c.ID, "asked already")
	case earlier != nil:
		earlier.call, earlier.waiting, earlier.needs = c, true, needs
		earlier.until = e.n.now.Monotonic + waitOf(c.Kind)
	case !a.admits(c.Kind):
		e.n.refuse(c.ID, tooManyAsk)
	default:
		now := e.n.now.Monotonic
		a.asks = append(a.asks, &ask{call: c, waiting: true, until: now + waitOf(c.Kind), forget: now + 2*e.rules.lease, needs: needs, found: found})
	}
}

// waitOf is how long a request waits for the archive: as long as for a commit.
func waitOf(kind message.UserRequestKind) time.Duration {
	if kind == message.Poll {
		return config.Seconds(protocol.PollTimeoutS / 2.0)
	}
	return config.Seconds(commitWithinS)
}

// earlier is the same submission that came before. Polls and cancellations ask for one job
// each, and needn't be remembered.
func (a *archive) earlier(c message.UserRequest) *ask {
	if c.Kind != message.Submit {
		return nil
	}
	i := slices.IndexFunc(a.asks, func(x *ask) bool { return x.call.Kind == message.Submit && x.call.Submission.ID == c.Submission.ID })
	if i < 0 {
		return nil
	}
	return a.asks[i]
}

func (a *archive) drop(x *ask) {
	a.asks = slices.DeleteFunc(a.asks, func(y *ask) bool { return x == y })
}

// admits tells whether one more request may wait. Polls leave room for submissions and
// cancellations: users ask about jobs that nobody has submitted. If there are too many of
// them, one that waits is refused in the newcomer's place, drawn so that nobody who asks
// again and again is always the one.
func (a *archive) admits(kind message.UserRequestKind) bool {
	most := max(asksLeast, int(a.e.n.cfg.Settings.State.Smallest().RPS*asksShare))
	if kind != message.Poll {
		return len(a.asks) < most
	}
	var polls []*ask
	for _, x := range a.asks {
		if x.call.Kind == message.Poll {
			polls = append(polls, x)
		}
	}
	if len(polls) < int(float64(most)*pollsShare) {
		return true
	}
	n := a.e.n
	drawn := n.rng.IntN(len(polls) + 1)
	if drawn == len(polls) {
		return false
	}
	a.drop(polls[drawn])
	n.refuse(polls[drawn].call.ID, tooManyAsk)
	return true
}

// tick reads the next page that somebody waits for, and moves ended jobs if nobody does.
func (a *archive) tick() {
	n := a.e.n
	a.refuseLate()
	if !n.certain() || n.engine != a.e {
		return
	}
	if a.read == nil && n.now.Monotonic >= a.retryAt {
		if id := a.nextNeed(); id != "" {
			a.send(id)
		}
	}
	a.move()
}

// nextNeed is a job whose page somebody waits for: of submissions and cancellations first.
func (a *archive) nextNeed() string {
	var next *ask
	for _, x := range a.asks {
		if len(x.needs) > 0 && (next == nil || next.call.Kind == message.Poll && x.call.Kind != message.Poll) {
			next = x
		}
	}
	if next == nil {
		return ""
	}
	return next.needs[0]
}

// send reads the page of a job.
func (a *archive) send(id string) {
	n := a.e.n
	if !a.budget.AllowN(n.now.LimiterTime(), 1) {
		return
	}
	a.read = &archiveRead{id: id, changes: a.changes}
	n.state(forArchivePage, storage.StateCall{Op: storage.StateList, Key: storage.ArchivePrefix, StartAfter: storage.ArchivePrefix + id, Limit: 1})
}

// pageRead takes a page in, and answers whoever waited for it.
func (a *archive) pageRead(r storage.StateResult) {
	read := a.read
	a.read = nil
	if read == nil || read.changes != a.changes {
		return // it may have been read before a move was carried out
	}
	if r.Outcome != rpc.OK || len(r.List.Entries) == 0 {
		a.retryAt = a.e.n.now.Monotonic + a.e.rules.retry
		if r.Outcome == rpc.OK {
			a.e.n.log(message.Error, "the last page of ended jobs is missing", "job", read.id)
		}
		return
	}
	page, err := storage.ReadArchivePage(r.List.Entries[0])
	if err != nil {
		a.e.n.log(message.Error, "a page of ended jobs can't be read, its jobs get 503", "error", err.Error())
	}
	a.keep(&archivePage{ArchivePage: page, low: read.id, damaged: err != nil, used: a.e.n.now.Monotonic})
	a.answer()
}

// keep puts a page into the cache, in the place of an earlier copy, and drops the one that
// was used longest ago if there are too many.
func (a *archive) keep(p *archivePage) {
	for i, old := range a.cache {
		if old.UpperBound == p.UpperBound {
			p.low = min(p.low, old.low)
			a.cache[i] = p
			return
		}
	}
	a.cache = append(a.cache, p)
	if len(a.cache) > a.e.rules.archivePages {
		oldest := slices.MinFunc(a.cache, func(x, y *archivePage) int { return cmp.Compare(x.used, y.used) })
		a.cache = slices.DeleteFunc(a.cache, func(x *archivePage) bool { return x == oldest })
	}
}

// answer decides the requests for which nothing more has to be read. They are answered only
// while the term is certain: what was read is of this term.
func (a *archive) answer() {
	e := a.e
	for _, x := range slices.Clone(a.asks) {
		var damaged bool
		x.needs, damaged = a.lookUp(x.needs, x.found)
		switch {
		case damaged:
			a.drop(x)
			if x.waiting {
				e.n.refuse(x.call.ID, damagedPage)
			}
		case len(x.needs) == 0 && x.waiting && e.n.certain():
			a.drop(x)
			e.decide(x.call, x.found)
		}
	}
}

// refuseLate refuses those who have waited too long, or all while the term is in doubt.
func (a *archive) refuseLate() {
	n := a.e.n
	for _, x := range slices.Clone(a.asks) {
		if x.waiting && (n.now.Monotonic >= x.until || !n.certain()) {
			x.waiting = false
			n.refuse(x.call.ID, "the ended jobs can't be read in time")
			if x.call.Kind != message.Submit {
				a.drop(x)
			}
		}
		if n.now.Monotonic >= x.forget && !x.waiting {
			a.drop(x)
		}
	}
}

// ArchiveStatus is what an operator is told of the archive of ended jobs.
type ArchiveStatus struct {
	Used         bool `json:"used"`
	Kept         int  `json:"kept"` // how many ended jobs are kept out of it
	PagesHeld    int  `json:"pages_held"`
	Waiting      int  `json:"requests_waiting"`
	Moving       int  `json:"jobs_being_moved"`
	PeersReading int  `json:"peers_reading"` // asked only once there is something to be moved
}

func (a *archive) status() ArchiveStatus {
	return ArchiveStatus{
		Used: a.exists, Kept: a.e.rules.endedKept, PagesHeld: len(a.cache), Waiting: len(a.asks), Moving: len(a.moving), PeersReading: len(a.readers),
	}
}
