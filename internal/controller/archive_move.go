package controller

import (
	"cmp"
	"slices"

	"oakpick/internal/message"
	"oakpick/internal/storage"
)

// move takes ended jobs off the pages that a take-over reads, into the archive: one
// transaction at a time, with what the write budget leaves, and not before every peer has
// said that it looks jobs up there.
func (a *archive) move() {
	if !a.due() || !a.allRead() || a.read != nil {
		return
	}
	e := a.e
	items := a.source()
	if len(items) == 0 {
		a.moveAt = e.n.now.Monotonic + e.rules.report
		return
	}
	room := e.store.MaxArchivePagesPerMove()
	targets := map[*archivePage][]storage.TerminalRecord{}
	var chosen []storage.Item
	for _, f := range items {
		p := a.target(f.ID)
		if p == nil {
			// The pages of one move stay in the cache while the others are read.
			if len(targets) < room && len(targets) < e.rules.archivePages/2 {
				a.send(f.ID)
				return
			}
			continue
		}
		if p.damaged || len(targets) == room && targets[p] == nil {
			continue
		}
		targets[p] = append(targets[p], f.TerminalRecord)
		chosen = append(chosen, f)
	}
	a.write(targets, chosen, room)
}

// due tells whether there are ended jobs to be moved, and nothing speaks against it now.
func (a *archive) due() bool {
	e := a.e
	n, now := e.n, e.n.now.Monotonic
	ended := len(e.finals)
	if ended <= e.rules.endedKept || len(a.moving) > 0 || e.raising != nil || e.drain {
		return false
	}
	if n.cfg.Settings.State.Smallest().TxnOps < moveLeast || now < max(a.retryAt, a.moveAt) {
		return false
	}
	if ended > pressing*e.rules.endedKept {
		return e.store.CanWrite(now, 1+e.store.MaxArchivePagesPerMove())
	}
	return e.store.Idle(now)
}

// allRead tells whether every peer has said that it reads the archive, and asks those that
// haven't.
func (a *archive) allRead() bool {
	n := a.e.n
	all, asks := true, n.now.Monotonic >= a.askAt
	for _, p := range n.cfg.Peers {
		if a.readers[p.Name] {
			continue
		}
		all = false
		if asks {
			a.askAt = n.now.Monotonic + a.e.rules.probe
			n.emit(message.PeerCall{Peer: p.Name, Term: n.term.own, SentAt: n.now.Monotonic, AsksArchive: true})
		}
	}
	return all
}

// source picks a page of records in turns, and gives what of it may be moved, in the order
// of the archive: ended jobs of which nothing else is recorded, and which no job names that
// isn't over.
func (a *archive) source() []*final {
	e := a.e
	named := map[string]bool{}
	for _, j := range e.jobs {
		for _, id := range j.prerequisites {
			named[id] = true
		}
	}
	for range e.store.PageCount() {
		page := a.sources
		a.sources = (a.sources + 1) % e.store.PageCount()
		var out []*final
		for _, item := range e.store.Items(page) {
			if f, ok := item.(*final); ok && e.finals[f.ID] == f && !f.rest && !named[f.ID] {
				out = append(out, f)
			}
		}
		if len(out) > 0 {
			slices.SortFunc(out, func(x, y *final) int { return cmp.Compare(x.ID, y.ID) })
			a.sources = page // until it has no more
			return out
		}
	}
	return nil
}

// target is the page of the archive that a job goes to, if it is in memory.
func (a *archive) target(id string) *archivePage {
	if !a.exists && len(a.cache) == 0 {
		a.cache = []*archivePage{{ArchivePage: &storage.ArchivePage{UpperBound: storage.LastUpperBound}}}
	}
	return a.page(id)
}

// write sends the move of some ended jobs. Pages that would have to be divided into more
// than one transaction takes are left out.
func (a *archive) write(targets map[*archivePage][]storage.TerminalRecord, chosen []storage.Item, room int) {
	e := a.e
	var pages []*storage.ArchivePage
	lows := map[string]string{} // by bound
	gone := map[string]bool{}
	sorted := make([]*archivePage, 0, len(targets))
	for p := range targets {
		sorted = append(sorted, p)
	}
	slices.SortFunc(sorted, func(x, y *archivePage) int { return cmp.Compare(x.UpperBound, y.UpperBound) })
	left := e.store.MaxArchiveBytesPerMove()
	for _, p := range sorted {
		parts := p.Merge(targets[p], e.store.MaxArchivePageSize())
		size := 0
		for _, part := range parts {
			size += part.TransactionSize()
		}
		if len(pages)+len(parts) > room || size > left {
			continue
		}
		left -= size
		low := p.low
		for _, part := range parts {
			lows[part.UpperBound] = low
			low = part.UpperBound
		}
		pages = append(pages, parts...)
		for _, r := range targets[p] {
			gone[r.ID] = true
		}
	}
	chosen = slices.DeleteFunc(chosen, func(x storage.Item) bool { return !gone[x.(*final).ID] })
	if len(chosen) == 0 {
		a.skipSource()
		return
	}
	var w *storage.Write
	w = e.store.Move(e.n.now.Monotonic, e.termCondition(), chosen, pages, storage.OnBackgroundCommit(func() {
		a.moved(chosen, pages, lows, w.Version)
	}))
	if w == nil {
		a.skipSource()
		return
	}
	for _, item := range chosen {
		a.moving[item.(*final).ID] = true
	}
	e.send(w)
}

// skipSource leaves the page of records that is being looked at to a later turn: what is on
// it can't be moved now, and needn't be looked at again in the next step.
func (a *archive) skipSource() {
	a.moveAt = a.e.n.now.Monotonic + a.e.rules.retry
	a.sources = (a.sources + 1) % max(1, a.e.store.PageCount())
}

// moved notes that a move is durable: from now on the jobs are looked up.
func (a *archive) moved(chosen []storage.Item, pages []*storage.ArchivePage, lows map[string]string, version int64) {
	e := a.e
	a.exists = true
	a.changes++
	a.moving = map[string]bool{}
	for _, item := range chosen {
		f := item.(*final)
		delete(e.finals, f.ID)
		for _, x := range a.asks {
			if _, asked := x.found[f.ID]; asked {
				x.found[f.ID] = f // it wasn't there before
			}
		}
	}
	for _, p := range pages {
		p.Version = version
		a.replace(&archivePage{ArchivePage: p, low: lows[p.UpperBound], used: e.n.now.Monotonic})
	}
}

// replace puts a page that was written into the cache. What an earlier copy of a page spoke
// for may be divided between several now.
func (a *archive) replace(p *archivePage) {
	a.cache = slices.DeleteFunc(a.cache, func(old *archivePage) bool { return old.UpperBound == p.UpperBound })
	a.keep(p)
}
