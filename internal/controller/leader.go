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

// leader holds the state of a leading controller: the cluster state and the components that change
// it.
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
	options    activeOptions
}

// newLeader returns the leader of a term, with its state restored from the pages that were read
// behind the write barrier of the term.
func newLeader(c *Controller, entries []protocol.Entry) (*leader, error) {
	pages, err := storage.DecodePages(entries)
	if err != nil {
		return nil, err
	}
	l := emptyLeader(c)
	l.state.Catalog.Inherit(c.machineTypes)
	(&stateRestorer{leader: l}).restore(pages)
	return l, nil
}

// emptyLeader returns a leader with an empty cluster state.
func emptyLeader(c *Controller) *leader {
	settings := &c.config.Settings
	options := DefaultOptions(c.config)
	l := &leader{controller: c, options: activeOptions{Options: options}}
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
		archive.Callbacks{HandleRequest: l.requests.decide, SendWrite: l.writer.send})
	return l
}

// newStore returns an empty store. Pages must fit the upcoming limits as well as the current ones,
// because the time of the change isn't known.
func newStore(c *Controller, writeShare float64) *storage.Store {
	limits := c.config.Settings.State.Smallest()
	store := storage.NewStore(storage.Limits{
		PageBytes: storage.PageBytes(limits.ValueKB), ChangesPerTxn: limits.TxnOps, KeysPerS: limits.WriteRPS * writeShare,
	}, fmt.Sprintf("%d", c.elector.Token()), c.timing.StateRetryInterval)
	if c.limitsLowered {
		store.SetLimitsLowered()
	}
	return store
}

// tick runs the periodic work of the leader and sends the writes and commands that are due. No
// decisions are made while another node may lead, or after the term has ended within this step.
func (l *leader) tick() {
	elector := l.controller.elector
	if elector.HoldsLease() {
		l.workers.CheckMachines()
	}
	if l.controller.leader != l {
		return // CheckMachines resigned
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
