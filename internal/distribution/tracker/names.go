package tracker

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/coordination"
	"oakpick/internal/distribution"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// NamesPrefix is the prefix of the keys that hold which manifest a name has. It lies outside
// what a take-over of the scheduler reads.
const NamesPrefix = "oakpick/weights/"

// storedName is what a name's key holds.
type storedName struct {
	Manifest string `msgpack:"manifest"`
	WriteID  string `msgpack:"write"` // names the write, so that a lost answer can be made up for
}

// names keeps which manifest each name has, and writes changes one at a time.
type nameStore struct {
	tracker    *Tracker
	records    map[string]distribution.NameRecord
	loaded     bool
	listCursor string // of the list that is being read

	pendingCallID  uint64 // the call to the state service that is awaited; 0: none
	retryAt        time.Duration
	retryScheduled bool // the call is to be repeated at again
	lastCall       storage.StateCall
	queue          []UseCall // the first is being written
	writeID        string
	writeCount     int
	writeToken     int64 // by which the write was sent
	baseRevision   int64 // the revision that it replaces
}

func newNames(t *Tracker) *nameStore {
	return &nameStore{tracker: t, records: map[string]distribution.NameRecord{}}
}

// load begins to read all names.
func (n *nameStore) load() { n.send(storage.StateCall{Op: storage.StateList, Key: NamesPrefix}) }

func (n *nameStore) send(c storage.StateCall) {
	n.tracker.lastCallID++
	c.ID = n.tracker.lastCallID
	n.pendingCallID, n.lastCall, n.retryScheduled = c.ID, c, false
	n.tracker.emit(StateCall{c})
}

// repeatLater has the last call sent again, the same to the byte.
func (n *nameStore) scheduleRetry() {
	n.pendingCallID, n.retryScheduled = 0, true
	n.retryAt = n.tracker.now + n.tracker.parameters.RetryInterval
}

// tick repeats what was lost.
func (n *nameStore) retryIfDue() {
	if n.retryScheduled && n.tracker.now >= n.retryAt {
		n.send(n.lastCall)
	}
}

// abandon refuses all who wait: what they asked may have been written, or may not.
func (n *nameStore) refuseQueued() {
	for _, c := range n.queue {
		n.tracker.refuse(c.ID, http.StatusServiceUnavailable, "the term has ended; ask what the name has")
	}
}

// record is what a name has.
func (n *nameStore) record(name string) (distribution.NameRecord, bool) {
	r := n.records[name]
	return r, r.Manifest != ""
}

// all are the records in the order of names.
func (n *nameStore) sorted() []distribution.NameRecord {
	out := make([]distribution.NameRecord, 0, len(n.records))
	for _, name := range slices.Sorted(maps.Keys(n.records)) {
		if r, known := n.record(name); known {
			out = append(out, r)
		}
	}
	return out
}

// set notes what is durable.
func (n *nameStore) update(r distribution.NameRecord) {
	old, known := n.records[r.Name]
	if known && old.Manifest != "" && old.Revision >= r.Revision {
		return
	}
	n.records[r.Name] = r
}

// use has a name's manifest written, unless it has it already.
func (n *nameStore) change(c UseCall) {
	if len(n.queue) == 0 && n.records[c.Name].Manifest == c.Manifest {
		n.tracker.reply(c.ID, n.records[c.Name])
		return
	}
	if len(n.queue) >= maxQueuedChanges {
		n.tracker.refuse(c.ID, http.StatusServiceUnavailable, "too many changes wait")
		return
	}
	n.queue = append(n.queue, c)
	if len(n.queue) == 1 {
		n.writeHead()
	}
}

// changesWaiting is how many changes may wait for those before them: they are operators'.
const maxQueuedChanges = 64

// writeFirst sends the write of the queue's first change, as a new write.
func (n *nameStore) writeHead() {
	c := n.queue[0]
	n.writeCount++
	n.writeToken, n.baseRevision = n.tracker.term.Token, n.records[c.Name].Revision
	n.writeID = fmt.Sprintf("%s-%d-%d", n.tracker.parameters.ProcessID, n.tracker.stateTerm, n.writeCount)
	n.send(storage.StateCall{Op: storage.StateTxn, Txn: protocol.Txn{
		If: []protocol.Condition{
			{Key: coordination.LeaderKey, Version: n.writeToken},
			{Key: NamesPrefix + c.Name, Version: n.baseRevision},
		},
		Then: []protocol.Change{{Put: NamesPrefix + c.Name, Value: storedName{c.Manifest.String(), n.writeID}}},
	}})
}

func (n *nameStore) handleStateResult(r StateResult) {
	if r.ID != n.pendingCallID {
		return // of an earlier reign, or of a call that was given up
	}
	n.pendingCallID = 0
	switch n.lastCall.Op {
	case storage.StateList:
		n.handleList(r)
	case storage.StateTxn:
		n.handleWrite(r)
	default:
		n.handleReadBack(r)
	}
}

// listed takes in a part of all names.
func (n *nameStore) handleList(r StateResult) {
	if r.Outcome != storage.OK {
		n.scheduleRetry()
		return
	}
	for _, e := range r.List.Entries {
		n.listCursor = e.Key
		n.decodeEntry(e)
	}
	if r.List.More && len(r.List.Entries) > 0 {
		n.send(storage.StateCall{Op: storage.StateList, Key: NamesPrefix, After: n.listCursor})
		return
	}
	n.loaded = true
}

// take notes what a key holds, and gives the write that put it there.
func (n *nameStore) decodeEntry(e protocol.Entry) (write string) {
	var v storedName
	name := strings.TrimPrefix(e.Key, NamesPrefix)
	if protocol.Decode(e.Value, &v) != nil || distribution.CheckDigest(digest.Digest(v.Manifest)) != nil || distribution.CheckName(name) != nil {
		n.tracker.emit(Log{"a record of weights can't be read", []any{"key", e.Key}})
		// Its revision is kept, so that the record can be replaced.
		n.records[name] = distribution.NameRecord{Name: name, Revision: e.Version}
		return ""
	}
	n.update(distribution.NameRecord{Name: name, Manifest: digest.Digest(v.Manifest), Revision: e.Version})
	return v.WriteID
}

// written takes in how a write ended.
func (n *nameStore) handleWrite(r StateResult) {
	c := n.queue[0]
	switch r.Outcome {
	case storage.OK:
		n.completeHead(distribution.NameRecord{Name: c.Name, Manifest: c.Manifest, Revision: r.Number})
	case storage.Conflict:
		// An earlier copy of this write may have been carried out, the token may have
		// risen, or another leads: the record tells.
		n.send(storage.StateCall{Op: storage.StateGet, Key: NamesPrefix + c.Name})
	case storage.Invalid:
		n.tracker.refuse(c.ID, http.StatusInternalServerError, "the state service calls the write malformed")
		n.advanceQueue()
	default:
		n.scheduleRetry()
	}
}

// looked takes in what a record holds after a write met a conflict.
func (n *nameStore) handleReadBack(r StateResult) {
	c := n.queue[0]
	switch r.Outcome {
	case storage.OK:
		if n.decodeEntry(r.Entry) == n.writeID {
			n.completeHead(n.records[c.Name])
			return
		}
	case storage.NotFound:
		n.records[c.Name] = distribution.NameRecord{Name: c.Name}
	default:
		n.scheduleRetry()
		return
	}
	if n.writeToken == n.tracker.term.Token && n.records[c.Name].Revision == n.baseRevision {
		// Neither has changed: this controller's term has ended, and it will hear of it.
		n.scheduleRetry()
		return
	}
	n.writeHead()
}

// done answers the first change and begins the next.
func (n *nameStore) completeHead(r distribution.NameRecord) {
	n.update(r)
	n.replyIfLeaseHeld(n.queue[0].ID, r)
	n.tracker.emit(Log{"weights changed", []any{"name", r.Name, "manifest", r.Manifest.String(), "revision", r.Revision}})
	n.advanceQueue()
}

// next begins the change behind the first.
func (n *nameStore) advanceQueue() {
	n.queue = n.queue[1:]
	for len(n.queue) > 0 {
		c := n.queue[0]
		if n.records[c.Name].Manifest != c.Manifest {
			n.writeHead()
			return
		}
		n.replyIfLeaseHeld(c.ID, n.records[c.Name])
		n.queue = n.queue[1:]
	}
}

// tell answers with a record that is durable, unless another controller may have replaced it.
func (n *nameStore) replyIfLeaseHeld(id uint64, r distribution.NameRecord) {
	if n.tracker.holdsLease() {
		n.tracker.reply(id, r)
		return
	}
	n.tracker.refuse(id, http.StatusServiceUnavailable, "the term is in doubt")
}
