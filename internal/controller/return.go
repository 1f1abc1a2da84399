package controller

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// keepIdle is how long an empty machine is kept: unless operators say otherwise,
// as long as another would take to boot, which is when keeping it has cost as much
// as that.
func (e *engine) keepIdle(mt *protocol.MachineType) time.Duration {
	if e.opt.IdleS > 0 || mt == nil {
		return config.Seconds(e.opt.IdleS)
	}
	return config.Seconds(mt.BootS)
}

// returnUnneeded returns machines that are empty, have failed or never came up.
func (e *engine) returnUnneeded(needed map[*host]bool) {
	now := e.n.now.Monotonic
	var back []string
	for _, h := range e.byName {
		mt := e.fleet.kind(h.kind)
		if h.returnCall || len(back) >= protocol.MaxScaleIn {
			continue
		}
		why := ""
		switch {
		case h.returning:
			why = "again"
		case h.failedMachine:
			why = "it has failed"
		case !h.up && h.runningAt > 0:
			// It came up in an earlier term, and is cut off: it may come back.
			if len(h.tasks) == 0 && now-e.n.pauses.Since(h.runningAt) > e.rules.lease*5 {
				why = "it is silent"
			}
		case !h.up && len(h.tasks) == 0 && mt != nil && now-h.rentedAt > config.Seconds(mt.BootS*e.opt.GiveUpBoots):
			why = "it never came up"
		case h.up && h.session <= h.dead && e.silentFor(h) > e.rules.lease*5:
			why = "it is silent"
		case h.up && len(h.tasks) == 0 && h.cordoned:
			why = "it is cordoned"
		case h.up && len(h.tasks) == 0 && len(h.others) == 0 && h.draining:
			why = "it was emptied"
		case h.up && len(h.tasks) == 0 && len(h.others) == 0 && !needed[h] && h.noticeAt == 0 &&
			now-e.n.pauses.Since(max(h.emptySince, e.ledAt)) > e.keepIdle(mt):
			why = "it is idle"
		}
		if why == "" {
			continue
		}
		if !h.returning { // once, however often it has to be asked for
			e.n.log(message.Info, "machine returned", "host", h.name, "type", h.kind, "why", why)
		}
		back = append(back, h.name)
	}
	if len(back) == 0 {
		return
	}
	slices.SortFunc(back, cmp.Compare)
	if e.cloud(message.CloudCall{Op: message.CloudScaleIn, Machines: back}, cloudCall{op: message.CloudScaleIn, hosts: back}) {
		for _, name := range back {
			e.hosts[name].returnCall = true
		}
	}
	for _, name := range back {
		e.hosts[name].returning = true // nothing new goes there, whenever the call gets through
	}
}
