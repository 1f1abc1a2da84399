package controller

import (
	"fmt"

	"oakpick/internal/archive"
	"oakpick/internal/autoscaling"
	"oakpick/internal/cluster"
	"oakpick/internal/jobs"
	"oakpick/internal/protocol"
	"oakpick/internal/scheduling"
	"oakpick/internal/storage"
	"oakpick/internal/workers"
)

// leader is what a controller has while it leads: the picture of the cluster, and the parts
// that change it.
type leader struct {
	controller *Controller
	state      *cluster.State
	store      *storage.Store
	writer     *writer
	jobs       *jobs.Manager
	workers    *workers.Manager
	scheduler  *scheduling.Scheduler
	autoscaler *autoscaling.Autoscaler
	archive    *archive.Archive
	requests   *requestHandler
	options    optionsHolder
}

// newLeader returns the leader of a term, with everything that is recorded on the pages that
// were read behind the barrier of the term.
func newLeader(c *Controller, entries []protocol.Entry) (*leader, error) {
	pages, err := storage.DecodePages(entries)
	if err != nil {
		return nil, err
	}
	l := emptyLeader(c)
	if err := (&loading{leader: l}).load(pages); err != nil {
		return nil, err
	}
	return l, nil
}

// emptyLeader returns the leader of a cluster that has never been used.
func emptyLeader(c *Controller) *leader {
	settings := &c.config.Settings
	options := DefaultOptions(c.config)
	l := &leader{controller: c, options: optionsHolder{Options: options}}
	l.state = cluster.NewState(c.context, settings.Teams)
	l.store = newStore(c, options.WriteShare)
	l.writer = &writer{controller: c, store: l.store}
	l.jobs = jobs.NewManager(c.context, l.state, l.store, c.timing, c.elector, settings.State.Next != nil)
	l.workers = workers.NewManager(c.context, l.state, l.jobs, c.timing.Workers, c.elector, l.store.HasWritesInFlight)
	l.scheduler = scheduling.New(c.context, l.state, l.store, l.jobs, c.timing, c.elector, settings, options.scheduling())
	l.autoscaler = autoscaling.New(
		c.context, l.state, l.store, l.jobs, l.scheduler, c.timing.Workers, c.elector, settings.Cloud, options.autoscaling())
	l.requests = newRequestHandler(l)
	l.archive = archive.New(c.context, l.state, l.store, c.calls, c.timing, c.elector, settings.State.Smallest(), peerNames(c.config.Peers),
		archive.Callbacks{Decide: l.requests.decide, SendWrite: l.writer.send})
	return l
}

// newStore returns an empty store. What is written has to fit the limits to come as well: when
// they come isn't said.
func newStore(c *Controller, writeShare float64) *storage.Store {
	limits := c.config.Settings.State.Smallest()
	store := storage.NewStore(storage.Limits{
		PageBytes: storage.PageBytes(limits.ValueKB), ChangesPerTxn: limits.TxnOps, WritesPerS: limits.WriteRPS * writeShare,
	}, fmt.Sprintf("%d", c.elector.Token()), c.timing.StateRetry)
	if c.limitsLowered {
		store.SetLimitsLowered()
	}
	return store
}

// tick does what time and the step's events call for. Nothing is decided while another node
// may lead, and nothing more once the term has ended in this very step.
func (l *leader) tick() {
	elector := l.controller.elector
	if elector.HoldsLease() {
		l.workers.CheckMachines()
	}
	if l.controller.leader != l {
		return // it has resigned
	}
	if elector.HoldsLease() {
		l.scheduler.RunIfDue()
		l.autoscaler.Tick()
	}
	if !elector.HoldsLease() || l.requests.writesStalled() {
		l.requests.refuseAwaitingCommit()
	}
	l.archive.Tick()
	l.writer.flush()
	l.workers.SendCommands()
}
