package coordination

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"oakpick/internal/bookkeeping"
	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// need is an amount of a machine's resources.
type need struct{ cpus, gpus, mem float64 }

const slack = 1e-6 // amounts arrive as decimal numbers

func (a need) plus(b need) need  { return need{a.cpus + b.cpus, a.gpus + b.gpus, a.mem + b.mem} }
func (a need) minus(b need) need { return need{a.cpus - b.cpus, a.gpus - b.gpus, a.mem - b.mem} }
func (a need) times(k float64) need {
	return need{a.cpus * k, a.gpus * k, a.mem * k}
}
func (a need) fits(b need) bool {
	return a.cpus <= b.cpus+slack && a.gpus <= b.gpus+slack && a.mem <= b.mem+slack
}

// count is how often a fits into b, at most limit.
func (a need) count(b need, limit int) int {
	n := limit
	for _, p := range [][2]float64{{a.cpus, b.cpus}, {a.gpus, b.gpus}, {a.mem, b.mem}} {
		if p[0] > 0 {
			n = min(n, int((p[1]+slack)/p[0]))
		}
	}
	return max(0, n)
}

// job is a job that isn't over: the recorded facts, and what is rebuilt.
type job struct {
	bookkeeping.JobRecord
	e      *engine
	team   *team
	need   need
	kinds  string // the types that it allows, in one word
	full   bookkeeping.Bits
	blocks map[int]*block
	tasks  map[int]*task // active ones
	done   int
	within bool // its team's guarantee, as of the last pass

	committed   bool // its submission is durable
	cancelKnown bool // its cancellation is durable
	cancelledAt time.Duration
	over        bool
	cursor      int // no task below is idle, unless in requeue
	requeue     []int
	failures    int
	failedOn    map[string]bool
	retryAt     time.Duration
	gangRan     bool // the present attempt has begun to run
	gangEnding  bool // and is to end before the next
	idleSince   time.Duration
	holdUntil   time.Duration // until when it may wait for a better machine; 0: hasn't
	prefer      *host         // where a replica that is being moved is to go
}

// block is a run of a job's tasks, recorded together.
type block struct {
	job    *job
	number int
	try    int64
	done   bookkeeping.Bits
	starts []*task
}

// Emit writes the block, and with the first also the job.
func (b *block) Emit(v *bookkeeping.PageValue) {
	j := b.job
	if b.number == 0 {
		r := j.JobRecord
		r.Full = j.full.Text()
		v.Jobs = append(v.Jobs, r)
		if len(b.starts) == 0 && (j.full.Has(0) || b.try == 0 && len(b.done) == 0) {
			return
		}
	}
	r := bookkeeping.BlockRecord{Job: j.ID, Block: b.number, Try: b.try, Done: b.done.Text()}
	for _, t := range b.starts {
		r.Starts = append(r.Starts, bookkeeping.StartRecord{Task: t.index, Try: t.try, Host: t.host.name, Session: t.session})
	}
	v.Blocks = append(v.Blocks, r)
}

// Reserve is the space it may come to need.
func (b *block) Reserve() int {
	n := bookkeeping.BlockReserve(b.job.ID, b.job.blockLen(b.number))
	if b.number == 0 {
		n += b.job.JobRecord.Reserve(b.job.blockCount())
	}
	return n
}

// final is a job that is over.
type final struct{ bookkeeping.FinalRecord }

// Emit writes it.
func (f *final) Emit(v *bookkeeping.PageValue) { v.Finals = append(v.Finals, f.FinalRecord) }

// rental is a request for machines that is being made.
type rental struct {
	bookkeeping.RentalRecord
	calling bool
	again   time.Duration
	ready   bool // durable, so that it may be sent
}

// Emit writes it.
func (r *rental) Emit(v *bookkeeping.PageValue) { v.Rentals = append(v.Rentals, r.RentalRecord) }

// task is one started task that may be on a machine.
type task struct {
	job     *job
	block   *block
	index   int
	try     int64
	host    *host
	session int64

	inherited bool  // recorded by an earlier term
	committed bool  // its start is durable
	sentToken int64 // highest token with which a start was sent; 0: never
	prevToken int64 // the same before the call under way
	answered  bool  // a worker's answer has confirmed the start
	seen      bool
	state     protocol.TaskState
	placedAt  time.Duration
	ranSince  time.Duration
	stopping  bool
	stopAt    time.Duration
	grace     float64
	stopSent  time.Duration
}

func (t *task) attempt() protocol.Attempt {
	return protocol.Attempt{Job: t.job.ID, Task: t.index, Try: t.try}
}

// team is a team's use and limits.
type team struct {
	config.Team
	used    need
	leaving need // of that, what stopping tasks are about to leave
	owed    need // of that, what the present pass has promised to jobs that wait for it
	// As of the last pass: what work that ends takes, and what waits of it.
	ends, endsWait need
}

// allows tells whether so much more stays within the limit.
func (t *team) allows(n need) bool {
	return (t.CPUsMax == 0 || t.used.cpus+n.cpus <= t.CPUsMax+slack) &&
		(t.GPUsMax == 0 || t.used.gpus+n.gpus <= t.GPUsMax+slack)
}

// engine is a leader's picture of everything, and what it does about it.
type engine struct {
	n       *Node
	rules   Rules
	opt     Options
	optItem *optionsItem
	token   int64
	firstT  int64
	ledAt   time.Duration
	book    *bookkeeping.Book
	jobs    map[string]*job
	order   []*job // by submission
	finals  map[string]*final
	teams   map[string]*team
	hosts   map[string]*host
	byName  []*host
	gone    map[string]time.Duration // machines returned, by when

	flights   map[uint64]*bookkeeping.Flight // by the call that carries them, or asks about them
	drain     bool                           // no new writes: the token is to be raised
	asking    map[uint64]bool                // users' requests that wait for a commit
	raising   *protocol.Txn
	raiseSent bool
	raiseNext time.Duration
	raiseRev  int64
	raisedAt  time.Duration
	moveAt    time.Duration
	hostsAt   time.Duration // when all machines are looked at next
	woken     []*host       // machines that are to be told something
	pass      pass
	passAt    time.Duration // no placement pass before

	schedule bool // something changed that may let a task start
	fleet    fleet
	classes  map[string]*class
	within   map[string]float64 // seconds within which a class's tasks should start
}

func newEngine(n *Node, entries []protocol.Entry) (*engine, error) {
	s := n.cfg.Settings
	e := &engine{
		n: n, rules: n.rules, opt: DefaultOptions(n.cfg), token: n.term.own, firstT: n.term.own, ledAt: n.now.Mono,
		jobs: map[string]*job{}, finals: map[string]*final{}, teams: map[string]*team{}, hosts: map[string]*host{},
		gone: map[string]time.Duration{}, flights: map[uint64]*bookkeeping.Flight{}, asking: map[uint64]bool{}, schedule: true, classes: map[string]*class{}, within: map[string]float64{},
	}
	for _, o := range s.Objectives {
		if o.Kind == "wait" {
			e.within[o.Class] = o.Within
		}
	}
	for _, t := range s.Teams {
		e.teams[t.Name] = &team{Team: t}
	}
	e.book = bookkeeping.NewBook(s.State.ValueKB, s.State.TxnOps, s.State.WriteRPS*e.opt.WriteShare,
		fmt.Sprintf("%d", e.token), n.rules.retry)
	e.rules.blockSize = bookkeeping.BlockTasks(bookkeeping.PageBytes(s.State.ValueKB))
	type read struct {
		number  int
		version int64
		value   bookkeeping.PageValue
	}
	var pages []read
	for _, en := range entries {
		number, ok := bookkeeping.PageNumber(en.Key)
		if !ok {
			continue
		}
		p := read{number: number, version: en.Version}
		if err := protocol.Decode(en.Value, &p.value); err != nil {
			return nil, fmt.Errorf("%s: %w", en.Key, err)
		}
		pages = append(pages, p)
	}
	for _, p := range pages { // jobs before blocks, which may be on other pages
		e.book.Load(p.number, p.version)
		if text := p.value.Options; text != "" {
			e.optItem = &optionsItem{text}
			e.book.Load(p.number, p.version, e.optItem)
			opt, err := e.opt.With([]byte(text))
			if err != nil {
				n.log(Error, "kept settings can't be used, defaults are in force", "error", err.Error())
			} else {
				e.use(opt)
			}
		}
		for _, r := range p.value.Finals {
			f := &final{r}
			e.finals[r.ID] = f
			e.book.Load(p.number, p.version, f)
		}
		for _, r := range p.value.Jobs {
			j := e.newJob(r)
			full, err := bookkeeping.ParseBits(r.Full)
			if err != nil {
				return nil, fmt.Errorf("job %s: %w", r.ID, err)
			}
			j.full, j.committed, j.cancelKnown = full, true, r.Cancelled
			j.cancelledAt = n.now.Mono
			for b := range j.blockCount() {
				if full.Has(b) {
					j.done += j.blockLen(b)
				}
			}
			e.book.Load(p.number, p.version, j.blocks[0])
		}
		for _, r := range p.value.Rentals {
			rt := &rental{RentalRecord: r, ready: true}
			e.fleet.rentals = append(e.fleet.rentals, rt)
			e.book.Load(p.number, p.version, rt)
		}
	}
	for _, p := range pages {
		for _, r := range p.value.Blocks {
			j := e.jobs[r.Job]
			if j == nil {
				// The job's final state and the end of its other blocks are on
				// different pages, so the leader may have ended between the two.
				// Anything else is damage, which must not end the whole service:
				// the job is lost, and what it has on machines is stopped.
				if e.finals[r.Job] == nil {
					n.log(Error, "a block of an unknown job is dropped", "job", r.Job, "block", r.Block, "starts", len(r.Starts))
				}
				continue
			}
			b := j.blocks[r.Block]
			if b == nil {
				b = &block{job: j, number: r.Block}
				j.blocks[r.Block] = b
				e.book.Load(p.number, p.version, b)
			}
			if err := e.readBlock(b, r); err != nil {
				return nil, err
			}
		}
	}
	slices.SortStableFunc(e.order, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.SubmittedMs, b.SubmittedMs), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range slices.Clone(e.order) {
		if j.Cancelled {
			e.stopAll(j) // the leader that was told may not have got to it
		}
		e.settle(j, nil)
	}
	for _, rt := range e.fleet.rentals {
		for _, name := range rt.Hosts {
			h := e.host(name)
			h.kind, h.zone, h.spot = rt.Type, rt.Zone, rt.Spot
			h.rentedAt = n.now.Mono - time.Duration(max(0, n.now.WallMs-rt.AtMs))*time.Millisecond
		}
	}
	n.log(Info, "leading", "term", e.token, "jobs", len(e.order), "over", len(e.finals), "hosts", len(e.hosts), "pages", e.book.Pages())
	return e, nil
}

func (e *engine) readBlock(b *block, r bookkeeping.BlockRecord) error {
	j := b.job
	done, err := bookkeeping.ParseBits(r.Done)
	if err != nil {
		return fmt.Errorf("job %s: %w", j.ID, err)
	}
	b.try, b.done = r.Try, done
	if j.full.Has(b.number) {
		// Its completion is recorded in the first block; it was about to go. The
		// first block itself stays, since it carries the job's record.
		if b.number != 0 {
			e.book.Remove(e.n.now.Mono, b, nil)
			delete(j.blocks, b.number)
		}
		return nil
	}
	for i := range j.blockLen(b.number) {
		if done.Has(i) {
			j.done++
		}
	}
	for _, s := range r.Starts {
		h := e.host(s.Host)
		t := &task{
			job: j, block: b, index: s.Task, try: s.Try, host: h, session: s.Session,
			inherited: true, committed: true, placedAt: e.n.now.Mono, ranSince: -1,
		}
		b.starts = append(b.starts, t)
		j.tasks[t.index] = t
		h.tasks = append(h.tasks, t)
		h.used = h.used.plus(j.need)
		h.session = max(h.session, s.Session)
		j.team.used = j.team.used.plus(j.need)
	}
	return nil
}

func (e *engine) newJob(r bookkeeping.JobRecord) *job {
	j := &job{
		JobRecord: r, e: e, blocks: map[int]*block{}, tasks: map[int]*task{}, idleSince: e.n.now.Mono,
		need: need{r.CPUs, r.GPUs, r.MemoryGB}, failedOn: map[string]bool{}, kinds: strings.Join(r.Types, " "),
	}
	if j.team = e.teams[r.Team]; j.team == nil {
		j.team = &team{Team: config.Team{Name: r.Team}} // a team that the settings no longer name
		e.teams[r.Team] = j.team
	}
	j.blocks[0] = &block{job: j}
	e.jobs[r.ID] = j
	e.order = append(e.order, j)
	return j
}

func (j *job) blockCount() int {
	return (j.Tasks + j.e.rules.blockSize - 1) / j.e.rules.blockSize
}

func (j *job) blockLen(b int) int {
	return min(j.e.rules.blockSize, j.Tasks-b*j.e.rules.blockSize)
}

func (j *job) isDone(index int) bool {
	b := index / j.e.rules.blockSize
	if j.full.Has(b) {
		return true
	}
	bl := j.blocks[b]
	return bl != nil && bl.done.Has(index%j.e.rules.blockSize)
}

// idle is how many tasks wait to be started.
func (j *job) idle() int {
	if j.Cancelled || j.over {
		return 0
	}
	n := j.Tasks - j.done
	for _, t := range j.tasks {
		if !j.isDone(t.index) {
			n--
		}
	}
	return n
}

// nextIdle finds a task that waits, and keeps it out of the next search.
func (j *job) nextIdle() int {
	for len(j.requeue) > 0 {
		i := j.requeue[0]
		j.requeue = j.requeue[1:]
		if j.tasks[i] == nil && !j.isDone(i) {
			return i
		}
	}
	for ; j.cursor < j.Tasks; j.cursor++ {
		if i := j.cursor; j.tasks[i] == nil && !j.isDone(i) {
			j.cursor++
			return i
		}
	}
	return -1
}

func (j *job) saves() bool { return j.SaveEach > 0 }

func (e *engine) sorted(j *job) []*task {
	out := make([]*task, 0, len(j.tasks))
	for _, t := range j.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *task) int { return cmp.Compare(a.index, b.index) })
	return out
}

// --- users

func (e *engine) user(c UserCall) {
	switch c.Kind {
	case Submit:
		e.submit(c)
	case Poll:
		e.n.Stats.Polled++
		e.poll(c)
	case Cancel:
		e.cancel(c)
	}
}

func (e *engine) reply(id uint64, status int, body []byte) {
	delete(e.asking, id)
	e.n.emit(Reply{ID: id, Status: status, Body: body})
}

func (e *engine) answerJob(id uint64, status int, j *job, counts bool) {
	if j.Cancelled && j.cancelKnown && !e.mayTell(j) {
		// Another leader may have told it already: nothing else may be said either.
		delete(e.asking, id)
		e.n.refuse(id, "its tasks can't be stopped yet")
		return
	}
	a := protocol.JobAnswer{ID: j.ID, Status: protocol.StatusQueued}
	running := 0
	for _, t := range j.tasks {
		if t.seen && (t.state == protocol.Running || t.state == protocol.Saving) {
			running++
		}
	}
	switch {
	case j.Cancelled && j.cancelKnown:
		a.Status, running = protocol.StatusCancelled, 0
	case running > 0:
		a.Status = protocol.StatusRunning
	}
	if counts {
		a.Done, a.Running = &j.done, &running
	}
	e.reply(id, status, protocol.Encode(a))
}

func (e *engine) answerFinal(id uint64, f *final, counts bool) {
	a := protocol.JobAnswer{ID: f.ID, Status: protocol.StatusDone}
	done, running := f.Tasks, 0
	if f.Cancelled {
		a.Status, done = protocol.StatusCancelled, 0
	}
	if counts {
		a.Done, a.Running = &done, &running
	}
	e.reply(id, 200, protocol.Encode(a))
}

func (e *engine) submit(c UserCall) {
	s := c.Submit
	if f := e.finals[s.ID]; f != nil {
		e.answerFinal(c.ID, f, false)
		return
	}
	if j := e.jobs[s.ID]; j != nil {
		if j.over {
			e.n.refuse(c.ID, "not settled yet")
			return
		}
		if j.committed {
			e.answerJob(c.ID, 200, j, false)
			return
		}
		e.asking[c.ID] = true
		e.book.Touch(e.n.now.Mono, j.blocks[0], bookkeeping.NewWait(func() { e.answerJob(c.ID, 200, j, false) }))
		return
	}
	if e.behind() {
		e.n.refuse(c.ID, "too much to be written")
		return
	}
	if len(e.fleet.types) == 0 {
		e.n.refuse(c.ID, "machine types not known yet")
		return
	}
	if why := e.impossible(s); why != "" {
		e.reply(c.ID, 422, protocol.EncodeError(why))
		return
	}
	e.n.Stats.Submitted++
	j := e.newJob(bookkeeping.NewJobRecord(s, e.n.now.WallMs))
	e.arrived(j)
	e.schedule = true
	e.asking[c.ID] = true
	e.book.Touch(e.n.now.Mono, j.blocks[0], bookkeeping.NewWait(func() {
		j.committed = true
		e.answerJob(c.ID, 201, j, false)
	}))
}

// behind tells whether a new record could not be committed while its user waits.
func (e *engine) behind() bool {
	pages, _ := e.book.Backlog(e.n.now.Mono)
	return float64(pages) > e.n.cfg.Settings.State.WriteRPS*e.opt.WriteShare*protocol.SubmitWaitS/2
}

// refuseAsking answers at once whoever waits for a commit that isn't to be
// expected: what was asked may be durable all the same, and is found so when the
// user comes back.
func (e *engine) refuseAsking() {
	for _, id := range slices.Sorted(maps.Keys(e.asking)) {
		e.n.refuse(id, "the state service does not answer")
	}
	clear(e.asking)
}

// impossible says why a job can never run, or nothing.
func (e *engine) impossible(s *protocol.Submission) string {
	t := e.teams[s.Team]
	if t == nil {
		return "unknown team"
	}
	n := need{s.CPUs, s.GPUs, s.MemoryGB}
	fits := false
	for _, mt := range e.fleet.types {
		if s.Types != nil && !slices.Contains(s.Types, mt.Name) || s.Zone != "" && !slices.Contains(mt.Zones, s.Zone) {
			continue
		}
		fits = fits || n.fits(need{mt.CPUs, mt.GPUs, mt.MemoryGB})
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	whole := n
	if s.Shape != protocol.Array {
		whole = n.times(float64(s.Tasks))
		if s.Spread && s.Tasks > 1 && (s.OneZone || s.Zone != "") {
			return "cannot be both in one zone and spread"
		}
	}
	if t.CPUsMax > 0 && whole.cpus > t.CPUsMax+slack || t.GPUsMax > 0 && whole.gpus > t.GPUsMax+slack {
		return "needs more than the team's limit"
	}
	probe := &block{job: &job{e: e, JobRecord: bookkeeping.NewJobRecord(s, e.n.now.WallMs)}}
	if !e.book.Fits(probe) {
		return "its description is too long to be kept"
	}
	return ""
}

func (e *engine) poll(c UserCall) {
	if f := e.finals[c.Job]; f != nil {
		e.answerFinal(c.ID, f, true)
	} else if j := e.jobs[c.Job]; j == nil {
		e.reply(c.ID, 404, protocol.EncodeError("no such job"))
	} else if !j.committed || j.over {
		e.n.refuse(c.ID, "not settled yet")
	} else {
		e.answerJob(c.ID, 200, j, true)
	}
}

func (e *engine) cancel(c UserCall) {
	if f := e.finals[c.Job]; f != nil {
		e.answerFinal(c.ID, f, false)
		return
	}
	j := e.jobs[c.Job]
	if j == nil {
		e.reply(c.ID, 404, protocol.EncodeError("no such job"))
		return
	}
	if j.over { // all its tasks are done; the record of that is under way
		e.n.refuse(c.ID, "not settled yet")
		return
	}
	if j.Cancelled && j.cancelKnown {
		e.answerJob(c.ID, 200, j, false)
		return
	}
	if !j.Cancelled {
		e.n.Stats.Cancelled++
		j.Cancelled, j.cancelledAt = true, e.n.now.Mono
	}
	e.asking[c.ID] = true
	// Durable first, then answered, and only then are its tasks stopped: a
	// cancellation that was never told must not have cost the job its tasks.
	e.book.Touch(e.n.now.Mono, j.blocks[0], bookkeeping.NewWait(func() {
		j.committed = true
		if !j.cancelKnown {
			j.cancelKnown, j.cancelledAt = true, e.n.now.Mono
			e.stopAll(j)
		}
		e.answerJob(c.ID, 200, j, false)
		e.settle(j, nil)
	}))
}

// stopAll stops what a cancelled job has on machines. A start that was never
// sent is simply withdrawn.
func (e *engine) stopAll(j *job) {
	for _, t := range e.sorted(j) {
		if t.sentToken == 0 && !t.inherited {
			e.drop(t)
			continue
		}
		e.stop(t, 0)
	}
	e.schedule = true
}

// --- tasks

// place records the start of a task; it is sent once that is durable.
func (e *engine) place(j *job, index int, h *host, w *bookkeeping.Wait) *task {
	bn := index / e.rules.blockSize
	b := j.blocks[bn]
	if b == nil {
		b = &block{job: j, number: bn}
		j.blocks[bn] = b
	}
	try := j.Try
	if j.Shape != protocol.Gang {
		b.try++
		try = b.try
	}
	t := &task{job: j, block: b, index: index, try: try, host: h, session: h.session, placedAt: e.n.now.Mono, ranSince: -1}
	b.starts = append(b.starts, t)
	j.tasks[index] = t
	h.tasks = append(h.tasks, t)
	h.used = h.used.plus(j.need)
	h.emptySince = 0
	j.team.used = j.team.used.plus(j.need)
	h.fetch(e, j)
	if w == nil {
		w = bookkeeping.NewWait(func() { e.started(t) })
	}
	e.book.Touch(e.n.now.Mono, b, w)
	return t
}

// started notes that a start is durable.
func (e *engine) started(t *task) {
	t.committed = true
	if t.job.tasks[t.index] != t {
		return
	}
	if t.job.Cancelled || t.stopping {
		e.drop(t)
		e.settle(t.job, nil)
		return
	}
	e.wake(t.host)
}

// drop forgets a task that is certainly not on its machine, or no longer.
func (e *engine) drop(t *task) {
	j := t.job
	if j.tasks[t.index] != t {
		return
	}
	delete(j.tasks, t.index)
	t.block.starts = slices.DeleteFunc(t.block.starts, func(x *task) bool { return x == t })
	t.host.tasks = slices.DeleteFunc(t.host.tasks, func(x *task) bool { return x == t })
	t.host.used = t.host.used.minus(j.need)
	if t.stopping {
		t.host.leaving = t.host.leaving.minus(j.need)
		j.team.leaving = j.team.leaving.minus(j.need)
	}
	j.team.used = j.team.used.minus(j.need)
	if !j.isDone(t.index) {
		j.requeue = append(j.requeue, t.index)
		j.idleSince = e.n.now.Mono
	}
	if len(t.host.tasks) == 0 {
		t.host.emptySince = e.n.now.Mono
		t.host.used, t.host.leaving = need{}, need{} // no rounding is carried on
	}
	e.schedule = true
	e.book.Touch(e.n.now.Mono, t.block, nil)
	if j.Shape == protocol.Gang {
		e.gangLost(j)
	}
}

// gangLost decides what the loss of a member means: while the attempt has not
// begun to run a replacement joins it; later the rest must go first.
func (e *engine) gangLost(j *job) {
	if j.over || j.Cancelled {
		return
	}
	if len(j.tasks) == 0 {
		j.gangRan, j.gangEnding = false, false
		return
	}
	if j.gangRan {
		j.gangEnding = true
	}
}

// lost is a task that is gone without having told why.
func (e *engine) lost(t *task, proof string) {
	e.n.Stats.Lost++
	e.n.log(Info, "task lost", "job", t.job.ID, "task", t.index, "attempt", t.try, "host", t.host.name, "proof", proof)
	e.drop(t)
	e.settle(t.job, nil)
}

// exited handles a task that its worker reports as ended. The worker is told to
// forget it once what it means is durable.
func (e *engine) exited(t *task, r protocol.TaskReport) {
	j, h, a := t.job, t.host, r.Attempt
	h.forget[a] = forgetting{token: max(t.sentToken, e.firstT-1), since: e.n.now.Mono}
	w := bookkeeping.NewWait(func() { e.forgettable(h, a) })
	now := e.n.now.Mono
	switch r.Cause {
	case protocol.Done:
		e.n.Stats.Finished++
		e.ran(j, now-t.ranSince, t.ranSince >= 0 && !t.inherited)
		j.failures = 0
		e.markDone(j, t.index)
		if j.Shape == protocol.Gang { // complete together
			for i := range j.Tasks {
				e.markDone(j, i)
			}
			for _, m := range e.sorted(j) {
				if m != t {
					e.drop(m)
				}
			}
		}
	case protocol.Failed:
		e.failed(j, h)
	case protocol.NoRoom, protocol.Busy:
		h.pauseUntil = now + e.rules.report
	case protocol.Unknown:
		j.retryAt = now + e.rules.report/2
	case protocol.Alone:
		j.gangEnding = true
	}
	if r.Cause != protocol.Done {
		e.n.log(Debug, "task ended", "job", j.ID, "task", t.index, "host", h.name, "cause", r.Cause.String(), "saved", r.Saved)
	}
	b := t.block
	e.drop(t)
	if j.blocks[b.number] == b {
		e.book.Touch(now, b, w)
	} else {
		e.book.Touch(now, j.blocks[0], w)
	}
	e.settle(j, w)
}

func (e *engine) markDone(j *job, index int) {
	if j.isDone(index) || j.Cancelled {
		return
	}
	bn := index / e.rules.blockSize
	b := j.blocks[bn]
	if b == nil {
		b = &block{job: j, number: bn}
		j.blocks[bn] = b
	}
	b.done.Set(index % e.rules.blockSize)
	j.done++
	now := e.n.now.Mono
	e.book.Touch(now, b, nil)
	for i := range j.blockLen(bn) {
		if !b.done.Has(i) {
			return
		}
	}
	// The whole block is done: the first block says so, and only when that is
	// durable does the block itself go.
	j.full.Set(bn)
	e.book.Touch(now, j.blocks[0], bookkeeping.NewWait(func() {
		if bn != 0 && j.blocks[bn] == b && len(b.starts) == 0 {
			delete(j.blocks, bn)
			e.book.Remove(e.n.now.Mono, b, nil)
		}
	}))
}

// settle closes a job that is over and has nothing on machines any more.
func (e *engine) settle(j *job, w *bookkeeping.Wait) {
	if j.over || len(j.tasks) > 0 || !j.Cancelled && j.done < j.Tasks || j.Cancelled && !j.cancelKnown {
		return
	}
	j.over = true
	f := &final{bookkeeping.FinalRecord{ID: j.ID, Cancelled: j.Cancelled, Tasks: j.Tasks}}
	now := e.n.now.Mono
	e.book.Swap(now, j.blocks[0], f, w)
	e.book.Touch(now, f, bookkeeping.NewWait(func() {
		e.finals[f.ID] = f
		delete(e.jobs, f.ID)
	}))
	for bn := 1; bn < j.blockCount(); bn++ {
		if b := j.blocks[bn]; b != nil {
			e.book.Remove(now, b, nil)
		}
	}
	e.order = slices.DeleteFunc(e.order, func(x *job) bool { return x == j })
	e.schedule = true
}

// failed notes a task's error: a machine where different jobs fail is set
// aside; a job that fails on different machines is retried ever more slowly.
func (e *engine) failed(j *job, h *host) {
	e.n.Stats.Failed++
	now := e.n.now.Mono
	j.failures++
	j.failedOn[h.name] = true
	wait := e.rules.report / 4 << min(j.failures-1, 6)
	j.retryAt = now + min(wait, 2*e.rules.lease)
	if len(j.failedOn) >= 3 {
		// It fails wherever it goes: nothing is said against the machines.
		for _, x := range e.byName {
			delete(x.failedJobs, j.ID)
			x.cordoned = x.cordoned && len(x.failedJobs) >= 2
		}
		return
	}
	h.failedJobs[j.ID] = true
	h.pauseUntil = max(h.pauseUntil, now+e.rules.lease)
	if len(h.failedJobs) >= 2 && !h.cordoned {
		h.cordoned = true
		e.n.log(Info, "machine cordoned", "host", h.name, "why", "tasks of different jobs fail there", "jobs", len(h.failedJobs))
	}
}

// stop tells a task to end; a gang's tasks are told together.
func (e *engine) stop(t *task, grace float64) {
	if t.stopping && (grace >= t.grace || t.grace == 0) {
		return
	}
	if !t.stopping {
		t.host.leaving = t.host.leaving.plus(t.job.need)
		t.job.team.leaving = t.job.team.leaving.plus(t.job.need)
	}
	t.stopping, t.grace = true, grace
	t.stopAt = e.n.now.Mono
	if t.sentToken == 0 && !t.inherited {
		if t.committed {
			e.drop(t) // otherwise started does it
		}
		return
	}
	e.wake(t.host)
}

// preemptTask stops a task so that it saves what it can; of a gang, every task.
func (e *engine) preemptTask(t *task, why string) {
	j := t.job
	if j.tasks[t.index] != t {
		return // gone already, with the gang that it was of
	}
	grace := 0.0
	if j.saves() {
		grace = j.SaveTime + 0.5
	}
	e.n.log(Debug, "task stopped", "job", j.ID, "task", t.index, "host", t.host.name, "why", why)
	if j.Shape != protocol.Gang {
		e.stop(t, grace)
		return
	}
	j.gangEnding = true
	for _, m := range e.sorted(j) {
		e.stop(m, grace)
	}
}

// --- the books

func (e *engine) stateResult(why purpose, r StateResult) {
	n := e.n
	switch why {
	case forPageTxn:
		f := e.flights[r.ID]
		delete(e.flights, r.ID)
		switch r.Outcome {
		case OK:
			e.book.Landed(f, r.Number)
		case Conflict, Invalid:
			// An earlier copy may have landed: the page tells by the write's id.
			e.checkFlight(f)
		default:
			n.Stats.Retries++
			e.book.Again(n.now.Mono, f)
		}
	case forPageCheck:
		f := e.flights[r.ID]
		delete(e.flights, r.ID)
		if r.Outcome != OK && r.Outcome != NotFound {
			e.checkFlight(f)
			return
		}
		var v bookkeeping.PageValue
		if r.Outcome == OK && protocol.Decode(r.Entry.Value, &v) == nil && v.ID == f.ID {
			e.book.Landed(f, r.Entry.Version)
			return
		}
		n.stepDown("a write met another leader's")
	case forRaise, forRaiseCheck:
		e.raiseResult(why, r)
	}
}

func (e *engine) flush() {
	n := e.n
	for e.raising == nil && n.certain() {
		f := e.book.Next(n.now.Mono, protocol.Condition{Key: LeaderKey, Version: e.token}, !e.drain)
		if f == nil {
			return
		}
		n.Stats.Txns++
		n.state(forPageTxn, StateCall{Op: bookkeeping.StateTxn, Txn: f.Txn})
		e.flights[n.nextID] = f
	}
}

func (e *engine) checkFlight(f *bookkeeping.Flight) {
	e.n.state(forPageCheck, StateCall{Op: bookkeeping.StateGet, Key: f.Key()})
	e.flights[e.n.nextID] = f
}

// raiseToken writes the leader's key anew. Its new version is a higher token:
// once a worker has seen it, whatever was sent to it with the old one and never
// answered is certainly void.
func (e *engine) raiseToken() {
	n := e.n
	now := n.now.Mono
	if e.raising == nil {
		if now < e.raisedAt+e.rules.raise || !n.certain() {
			return
		}
		if e.drain = e.book.InFlight(); e.drain {
			return // what is under way is conditional on the token as it is
		}
		e.raiseRev++
		e.raisedAt = now
		e.raising = &protocol.Txn{
			If: []protocol.Condition{{Key: LeaderKey, Version: e.token}},
			Then: []protocol.Change{{
				Put:   LeaderKey,
				Value: leaderValue{Node: n.cfg.Node, Boot: n.boot, Lease: n.term.lease, Raise: e.raiseRev},
				Lease: n.term.lease,
			}},
		}
		e.raiseSent, e.raiseNext = false, now
	}
	if e.raiseSent || now < e.raiseNext {
		return
	}
	e.raiseSent = true
	n.state(forRaise, StateCall{Op: bookkeeping.StateTxn, Txn: *e.raising})
}

func (e *engine) raiseResult(why purpose, r StateResult) {
	n := e.n
	if e.raising == nil {
		return
	}
	if why == forRaise {
		if r.Outcome == OK {
			e.raised(r.Number)
			return
		}
		if r.Outcome != Conflict && r.Outcome != Invalid {
			e.raiseSent, e.raiseNext = false, n.now.Mono+e.rules.retry
			return
		}
		n.state(forRaiseCheck, StateCall{Op: bookkeeping.StateGet, Key: LeaderKey})
		return
	}
	if r.Outcome != OK && r.Outcome != NotFound {
		n.state(forRaiseCheck, StateCall{Op: bookkeeping.StateGet, Key: LeaderKey})
		return
	}
	var v leaderValue
	if r.Outcome == OK && protocol.Decode(r.Entry.Value, &v) == nil && v.Boot == n.boot && v.Lease == n.term.lease && v.Raise == e.raiseRev {
		e.raised(r.Entry.Version)
		return
	}
	n.stepDown("the leader's key is another's")
}

func (e *engine) raised(version int64) {
	e.raising = nil
	e.token, e.n.term.own = version, version
	e.n.Stats.Raised++
	e.n.log(Info, "token raised", "token", version)
	for _, h := range e.byName {
		e.wake(h)
	}
}

// afterBatch does what time and the batch's changes call for.
func (e *engine) afterBatch() {
	if e.n.certain() {
		if e.n.engine != e {
			return
		}
		e.hostsTick()
		if now := e.n.now.Mono; e.schedule && now >= e.passAt {
			e.schedule = false
			e.placeAll()
			// The more waits in vain, the more a pass takes, and the less it matters
			// that the next is a little later.
			e.passAt = now + time.Duration(len(e.fleet.unplaced))*e.rules.passBackOff
		}
		e.fleetTick()
	}
	if e.n.engine == e {
		if len(e.asking) > 0 && !e.n.certain() {
			e.refuseAsking()
		}
		e.flush()
		e.sendOrders()
	}
}
