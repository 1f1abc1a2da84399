package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/storage"
)

// Options are the figures that operators may change while it runs. Their ranges keep out
// what makes no sense; none of them bounds the size of a fleet.
type Options struct {
	WriteShare   float64 `json:"write_share" validate:"gte=0.05,lte=0.95"`
	Sample       int     `json:"sample" validate:"gte=1,lte=1000000"`
	IdleS        float64 `json:"idle_s" validate:"gte=0,lte=86400"`
	WarmRoom     float64 `json:"warm_room" validate:"gte=0,lte=20"`
	PreemptMostS float64 `json:"preempt_most_s" validate:"gte=0,lte=1000000"`
	GiveUpBoots  float64 `json:"give_up_boots" validate:"gte=1.5,lte=1000"`
	TakeoverS    float64 `json:"takeover_wait_s" validate:"gte=0,lte=3600"`
	MovesPerMin  float64 `json:"moves_per_min" validate:"gte=0,lte=60000000"`
}

// DefaultOptions derives them from the settings.
func DefaultOptions(cfg *config.Config) Options {
	w := cfg.Settings.Workers
	return Options{
		WriteShare: 0.95, Sample: 64, IdleS: 0, WarmRoom: 3,
		PreemptMostS: 50 * w.LeaseS, GiveUpBoots: 4, TakeoverS: 1.5 * w.HeartbeatIntervalS, MovesPerMin: 6 * cfg.Settings.State.Smallest().WriteRPS,
	}
}

var optionRules = sync.OnceValue(func() *validator.Validate { return config.NewValidator("json") })

// With changes the figures that a JSON object names, and checks them.
func (o Options) With(patch []byte) (Options, error) {
	d := json.NewDecoder(bytes.NewReader(patch))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return o, fmt.Errorf("%s: a %s where a %s belongs", te.Field, te.Value, te.Type)
		}
		return o, fmt.Errorf("not a JSON object of settings: %w", err)
	}
	var fields validator.ValidationErrors
	if err := optionRules().Struct(o); errors.As(err, &fields) {
		var all []string
		for _, f := range fields {
			all = append(all, fmt.Sprintf("%s: out of range (%s %s)", f.Field(), f.Tag(), f.Param()))
		}
		return o, errors.New(strings.Join(all, "; "))
	}
	return o, nil
}

// optionsItem keeps what operators have changed, as facts are kept.
type optionsItem struct{ text string }

// AppendTo writes it.
func (o *optionsItem) AppendTo(v *storage.PageValue) { v.Options = o.text }

// EncodedSize is the space that every figure together may take.
func (o *optionsItem) EncodedSize() int { return storage.OptionsReservedSize }

// ReservedSize leaves room for every figure to be changed.
func (o *optionsItem) ReservedSize() int { return storage.OptionsReservedSize }

func (n *Controller) admin(c message.AdminRequest) {
	switch {
	case c.Kind == message.AdminStatus:
		n.emit(message.Reply{ID: c.ID, Status: 200, Body: asJSON(n.status())})
	case n.engine != nil && n.certain():
		n.engine.admin(c)
	case n.engine == nil && n.otherLeader() != "":
		n.emit(message.Forward{ID: c.ID, Peer: n.otherLeader()})
	default:
		n.emit(message.Reply{ID: c.ID, Status: 503, Body: asJSON(map[string]string{"error": "no leader"}), RetryAfterS: 1})
	}
}

func asJSON(v any) []byte {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err) // the types here always encode
	}
	return append(b, '\n')
}

func (e *engine) admin(c message.AdminRequest) {
	switch c.Kind {
	case message.AdminRead:
		e.reply(c.ID, 200, asJSON(e.opt))
		return
	case message.AdminJob:
		e.jobStatus(c)
		return
	}
	opt, err := e.opt.With(c.Body)
	if err != nil {
		e.reply(c.ID, 400, asJSON(map[string]string{"error": err.Error()}))
		return
	}
	text, err := json.Marshal(opt)
	if err != nil {
		e.reply(c.ID, 400, asJSON(map[string]string{"error": err.Error()}))
		return
	}
	if e.optItem == nil {
		e.optItem = &optionsItem{}
	}
	e.optItem.text = string(text)
	e.use(opt)
	e.n.log(message.Info, "settings changed", "settings", string(text))
	e.store.MarkDirty(e.n.now.Monotonic, e.optItem, storage.OnCommit(func() { e.reply(c.ID, 200, asJSON(opt)) }))
}

// use puts figures in force.
func (e *engine) use(opt Options) {
	e.opt = opt
	e.store.SetWriteRate(e.n.cfg.Settings.State.Smallest().WriteRPS * opt.WriteShare)
	e.schedule = true
}

// Status is what a node says of itself.
type Status struct {
	Node   string        `json:"node"`
	Role   string        `json:"role"`
	Term   int64         `json:"term"`
	Leader string        `json:"leader"`
	UpS    float64       `json:"up_s"`
	Counts message.Stats `json:"counts"`
	Leads  *LeaderStatus `json:"leads,omitempty"`
}

// LeaderStatus is what only the leader knows.
type LeaderStatus struct {
	SinceS      float64             `json:"since_s"`
	CertainForS float64             `json:"certain_for_s"`
	Jobs        int                 `json:"jobs"`
	Over        int                 `json:"over"` // ended jobs in memory, that is not in the archive
	Archive     ArchiveStatus       `json:"archive"`
	Classes     map[string]Queue    `json:"classes"`
	Teams       map[string]TeamUse  `json:"teams"`
	Machines    map[string]Machines `json:"machines"`
	Doubts      []string            `json:"machines_in_doubt"`
	Cordoned    []string            `json:"machines_set_aside"`
	Failing     []string            `json:"jobs_failing_everywhere"`
	Backlog     int                 `json:"pages_to_write"`
	BacklogS    float64             `json:"oldest_page_waits_s"`
	Pages       int                 `json:"pages"`
	Unsplit     int                 `json:"pages_above_limits_to_come"`
	SteppedDown []string            `json:"peers_let_go"`
}

// Queue is a class's tasks.
type Queue struct {
	Jobs    int `json:"jobs"`
	Waiting int `json:"waiting"`
	Placed  int `json:"placed"`
	Running int `json:"running"`
	Blocked int `json:"waiting_for_prerequisites"` // jobs
}

// TeamUse is a team's use and bounds.
type TeamUse struct {
	Waiting    int     `json:"waiting"`
	CPUs       float64 `json:"cpus"`
	CPUsSure   float64 `json:"cpus_guaranteed"`
	CPUsAtMost float64 `json:"cpus_at_most"`
	GPUs       float64 `json:"gpus"`
	GPUsSure   float64 `json:"gpus_guaranteed"`
	GPUsAtMost float64 `json:"gpus_at_most"`
}

// Machines counts a type's machines.
type Machines struct {
	Booting int `json:"booting"`
	Up      int `json:"up"`
	Silent  int `json:"silent"`
	Spot    int `json:"spot"`
	Empty   int `json:"empty"`
}

func (n *Controller) status() Status {
	s := Status{
		Node: n.cfg.Node, Role: n.Role(), Term: n.term.own, Leader: n.term.leader, UpS: n.now.Monotonic.Seconds(), Counts: n.Stats,
	}
	if n.engine != nil {
		s.Leads = n.engine.status()
	}
	return s
}

func (e *engine) status() *LeaderStatus {
	now := e.n.now.Monotonic
	pages, oldest := e.store.Backlog(now)
	l := &LeaderStatus{
		SinceS: (now - e.ledAt).Seconds(), CertainForS: max(0, e.n.term.until-now).Seconds(), Jobs: len(e.order), Over: len(e.finals), Archive: e.archive.status(),
		Classes: map[string]Queue{}, Teams: map[string]TeamUse{}, Machines: map[string]Machines{},
		Doubts: []string{}, Cordoned: []string{}, Failing: e.failingJobs(), SteppedDown: []string{}, Backlog: pages, BacklogS: oldest.Seconds(), Pages: e.store.PageCount(), Unsplit: e.store.OversizedPages(),
	}
	for name, t := range e.teams {
		l.Teams[name] = TeamUse{
			CPUs: t.used.cpus, CPUsSure: t.GuaranteedCPUs, CPUsAtMost: t.CPULimit, GPUs: t.used.gpus, GPUsSure: t.GuaranteedGPUs, GPUsAtMost: t.GPULimit,
		}
	}
	for _, j := range e.order {
		q, t := l.Classes[j.Class], l.Teams[j.Team]
		q.Jobs++
		if j.waits() {
			q.Blocked++
		} else {
			q.Waiting += j.idle()
			t.Waiting += j.idle()
		}
		for _, x := range j.tasks {
			q.Placed++
			if x.ranSince >= 0 {
				q.Running++
			}
		}
		l.Classes[j.Class], l.Teams[j.Team] = q, t
	}
	for _, h := range e.byName {
		m := l.Machines[h.kind]
		switch {
		case !h.up:
			m.Booting++
		case h.session <= h.dead || now-h.heard > e.rules.lease:
			m.Silent++
		default:
			m.Up++
		}
		if h.spot {
			m.Spot++
		}
		if h.up && len(h.tasks) == 0 {
			m.Empty++
		}
		l.Machines[h.kind] = m
		if h.doubtTok >= e.token {
			l.Doubts = append(l.Doubts, h.name)
		}
		if h.cordoned {
			l.Cordoned = append(l.Cordoned, h.name)
		}
	}
	for p := range e.n.term.steppedDown {
		l.SteppedDown = append(l.SteppedDown, p)
	}
	slices.Sort(l.SteppedDown)
	return l
}
