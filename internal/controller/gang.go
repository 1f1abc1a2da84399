package controller

// placeGang starts a gang if every member has a place, or replaces members of
// an attempt that has not begun to run.
func (e *engine) placeGang(j *job) {
	if j.gangEnding {
		return
	}
	idle := j.idle()
	if idle < j.Tasks-j.done && j.gangRan {
		return
	}
	if j.awaitsRecord(idle) > 0 {
		e.fleet.unplaced = append(e.fleet.unplaced, wait{j, e.withinLimit(j, idle)})
		return
	}
	if left := e.withinLimit(j, idle); left < idle {
		e.makeWayInLimit(j, idle-left)
		return
	}
	hosts := e.placesForGang(j, idle)
	if hosts == nil && j.failures.jobsFault {
		e.waitsAfterFailures(j, idle)
		return
	}
	if hosts == nil {
		e.fleet.unplaced = append(e.fleet.unplaced, wait{j, idle})
		e.makeRoom(j, idle, j.zoneUse())
		return
	}
	e.startGang(j, hosts)
}

// placesForGang finds a machine for each of so many members, or none at all.
func (e *engine) placesForGang(j *job, members int) []*host {
	if !j.OneZone || len(j.tasks) > 0 {
		return e.placesIn(j, members, "")
	}
	for _, zone := range e.n.cfg.Settings.Zones {
		if hosts := e.placesIn(j, members, zone); hosts != nil {
			return hosts
		}
	}
	return nil
}

// placesIn is placesForGang within a zone; empty: in any.
func (e *engine) placesIn(j *job, members int, zone string) []*host {
	use := j.zoneUse()
	var hosts []*host
	saved := map[*host]need{}
	for range members {
		h := e.chooseIn(j, use, zone)
		if h == nil {
			e.giveRoomBack(saved)
			return nil
		}
		if _, ok := saved[h]; !ok {
			saved[h] = h.virtual
		}
		h.virtual = h.virtual.minus(j.need)
		use[h.zone]++
		hosts = append(hosts, h)
	}
	return hosts
}

// chooseIn is choose within a zone; empty: in any.
func (e *engine) chooseIn(j *job, use map[string]int, zone string) *host {
	if zone == "" {
		return e.choose(j, use)
	}
	own := j.Zone
	if own != "" && own != zone {
		return nil
	}
	j.Zone = zone
	h := e.choose(j, use)
	j.Zone = own
	return h
}

// startGang records the starts of all members that are missing. None is sent before
// all are durable.
func (e *engine) startGang(j *job, hosts []*host) {
	if len(j.tasks) == 0 {
		j.GangAttempt++
		j.gangRan = false
		e.store.MarkDirty(e.n.now.Monotonic, j.blocks[0], nil)
	}
	var placed []*task
	w := j.onCommitStart(func() {
		for _, t := range placed {
			e.started(t)
		}
	})
	e.tried(j)
	for _, h := range hosts {
		placed = append(placed, e.place(j, j.nextIdle(), h, w))
	}
}
