package tracker

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/election"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// NamesPrefix is the prefix of the keys that hold which manifest a name has. It lies outside
// what a take-over of the scheduler reads.
const NamesPrefix = "oakpick/weights/"

// storedName is what a name's key holds.
type storedName struct {
	Manifest string `msgpack:"manifest"`
	Write    string `msgpack:"write"` // names the write, so that a lost answer can be made up for
}

// names keeps which manifest each name has, and writes changes one at a time.
type names struct {
	t       *Tracker
	records map[string]distribution.NameRecord
	loaded  bool
	after   string // of the list that is being read

	call   uint64 // the call to the state service that is awaited; 0: none
	again  time.Duration
	repeat bool // the call is to be repeated at again
	last   storage.StateCall
	queue  []UseCall // the first is being written
	write  string
	writes int
	token  int64 // by which the write was sent
	base   int64 // the revision that it replaces
}

func newNames(t *Tracker) *names {
	return &names{t: t, records: map[string]distribution.NameRecord{}}
}

// load begins to read all names.
func (n *names) load() { n.send(storage.StateCall{Op: storage.StateList, Key: NamesPrefix}) }

func (n *names) send(c storage.StateCall) {
	n.t.nextCall++
	c.ID = n.t.nextCall
	n.call, n.last, n.repeat = c.ID, c, false
	n.t.emit(StateCall{c})
}

// repeatLater has the last call sent again, the same to the byte.
func (n *names) repeatLater() {
	n.call, n.repeat = 0, true
	n.again = n.t.now + n.t.parameters.Retry
}

// tick repeats what was lost.
func (n *names) tick() {
	if n.repeat && n.t.now >= n.again {
		n.send(n.last)
	}
}

// abandon refuses all who wait: what they asked may have been written, or may not.
func (n *names) abandon() {
	for _, c := range n.queue {
		n.t.refuse(c.ID, http.StatusServiceUnavailable, "the term has ended; ask what the name has")
	}
}

// record is what a name has.
func (n *names) record(name string) (distribution.NameRecord, bool) {
	r := n.records[name]
	return r, r.Manifest != ""
}

// all are the records in the order of names.
func (n *names) all() []distribution.NameRecord {
	out := make([]distribution.NameRecord, 0, len(n.records))
	for _, name := range slices.Sorted(maps.Keys(n.records)) {
		if r, known := n.record(name); known {
			out = append(out, r)
		}
	}
	return out
}

// set notes what is durable.
func (n *names) set(r distribution.NameRecord) {
	old, known := n.records[r.Name]
	if known && old.Manifest != "" && old.Revision >= r.Revision {
		return
	}
	n.records[r.Name] = r
}

// use has a name's manifest written, unless it has it already.
func (n *names) use(c UseCall) {
	if len(n.queue) == 0 && n.records[c.Name].Manifest == c.Manifest {
		n.t.reply(c.ID, n.records[c.Name])
		return
	}
	if len(n.queue) >= changesWaiting {
		n.t.refuse(c.ID, http.StatusServiceUnavailable, "too many changes wait")
		return
	}
	n.queue = append(n.queue, c)
	if len(n.queue) == 1 {
		n.writeFirst()
	}
}

// changesWaiting is how many changes may wait for those before them: they are operators'.
const changesWaiting = 64

// writeFirst sends the write of the queue's first change, as a new write.
func (n *names) writeFirst() {
	c := n.queue[0]
	n.writes++
	n.token, n.base = n.t.term.FencingToken, n.records[c.Name].Revision
	n.write = fmt.Sprintf("%s-%d-%d", n.t.parameters.Boot, n.t.reign, n.writes)
	n.send(storage.StateCall{Op: storage.StateTxn, Txn: protocol.Txn{
		If: []protocol.Condition{
			{Key: election.LeaderKey, Version: n.token},
			{Key: NamesPrefix + c.Name, Version: n.base},
		},
		Then: []protocol.Change{{Put: NamesPrefix + c.Name, Value: storedName{c.Manifest.String(), n.write}}},
	}})
}

func (n *names) stateResult(r StateResult) {
	if r.ID != n.call {
		return // of an earlier reign, or of a call that was given up
	}
	n.call = 0
	switch n.last.Op {
	case storage.StateList:
		n.listed(r)
	case storage.StateTxn:
		n.written(r)
	default:
		n.looked(r)
	}
}

// listed takes in a part of all names.
func (n *names) listed(r StateResult) {
	if r.Outcome != rpc.OK {
		n.repeatLater()
		return
	}
	for _, e := range r.List.Entries {
		n.after = e.Key
		n.take(e)
	}
	if r.List.More && len(r.List.Entries) > 0 {
		n.send(storage.StateCall{Op: storage.StateList, Key: NamesPrefix, StartAfter: n.after})
		return
	}
	n.loaded = true
}

// take notes what a key holds, and gives the write that put it there.
func (n *names) take(e protocol.Entry) (write string) {
	var v storedName
	name := strings.TrimPrefix(e.Key, NamesPrefix)
	if protocol.Decode(e.Value, &v) != nil || distribution.CheckDigest(digest.Digest(v.Manifest)) != nil || distribution.CheckName(name) != nil {
		n.t.emit(Log{"a record of weights can't be read", []any{"key", e.Key}})
		// Its revision is kept, so that the record can be replaced.
		n.records[name] = distribution.NameRecord{Name: name, Revision: e.Version}
		return ""
	}
	n.set(distribution.NameRecord{Name: name, Manifest: digest.Digest(v.Manifest), Revision: e.Version})
	return v.Write
}

// written takes in how a write ended.
func (n *names) written(r StateResult) {
	c := n.queue[0]
	switch r.Outcome {
	case rpc.OK:
		n.done(distribution.NameRecord{Name: c.Name, Manifest: c.Manifest, Revision: r.Revision})
	case rpc.Conflict:
		// An earlier copy of this write may have been carried out, the token may have
		// risen, or another leads: the record tells.
		n.send(storage.StateCall{Op: storage.StateGet, Key: NamesPrefix + c.Name})
	case rpc.Invalid:
		n.t.refuse(c.ID, http.StatusInternalServerError, "the state service calls the write malformed")
		n.next()
	default:
		n.repeatLater()
	}
}

// looked takes in what a record holds after a write met a conflict.
func (n *names) looked(r StateResult) {
	c := n.queue[0]
	switch r.Outcome {
	case rpc.OK:
		if n.take(r.Entry) == n.write {
			n.done(n.records[c.Name])
			return
		}
	case rpc.NotFound:
		n.records[c.Name] = distribution.NameRecord{Name: c.Name}
	default:
		n.repeatLater()
		return
	}
	if n.token == n.t.term.FencingToken && n.records[c.Name].Revision == n.base {
		// Neither has changed: this controller's term has ended, and it will hear of it.
		n.repeatLater()
		return
	}
	n.writeFirst()
}

// done answers the first change and begins the next.
func (n *names) done(r distribution.NameRecord) {
	n.set(r)
	n.tell(n.queue[0].ID, r)
	n.t.emit(Log{"weights changed", []any{"name", r.Name, "manifest", r.Manifest.String(), "revision", r.Revision}})
	n.next()
}

// next begins the change behind the first.
func (n *names) next() {
	n.queue = n.queue[1:]
	for len(n.queue) > 0 {
		c := n.queue[0]
		if n.records[c.Name].Manifest != c.Manifest {
			n.writeFirst()
			return
		}
		n.tell(c.ID, n.records[c.Name])
		n.queue = n.queue[1:]
	}
}

// tell answers with a record that is durable, unless another controller may have replaced it.
func (n *names) tell(id uint64, r distribution.NameRecord) {
	if n.t.certain() {
		n.t.reply(id, r)
		return
	}
	n.t.refuse(id, http.StatusServiceUnavailable, "the term is in doubt")
}
