package tracker

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// NamesPrefix is the prefix of the keys that hold the manifests of names. It lies outside of the
// keys that the scheduler reads when it takes over.
const NamesPrefix = "oakpick/weights/"

// storedName is the value of a name's key.
type storedName struct {
	Manifest string `msgpack:"manifest"`
	WriteID  string `msgpack:"write"` // to find out whether a write whose response was lost was applied
}

// nameStore holds the durable record of each name, and writes changes one at a time. It belongs to
// one term of the controller.
type nameStore struct {
	tracker    *Tracker
	records    map[string]distribution.NameRecord
	loaded     bool
	listCursor string // last key that was read while loading

	call  pendingCall
	queue []SetManifestCall // changes; the first is being written
	write pendingWrite
}

// pendingCall is the call to the state service that is in flight or waits to be repeated. There is
// at most one.
type pendingCall struct {
	id             uint64 // 0 if no call is in flight
	stateCall      storage.StateCall
	retryScheduled bool
	retryAt        time.Duration
}

func newNameStore(t *Tracker) *nameStore {
	return &nameStore{tracker: t, records: map[string]distribution.NameRecord{}}
}

// load starts to read the records of all names.
func (n *nameStore) load() { n.send(storage.StateCall{Op: storage.StateList, Key: NamesPrefix}) }

// send makes a call to the state service.
func (n *nameStore) send(call storage.StateCall) {
	n.tracker.lastCallID++
	call.ID = n.tracker.lastCallID
	n.call = pendingCall{id: call.ID, stateCall: call, retryAt: n.call.retryAt}
	n.tracker.emit(StateCall{call})
}

// scheduleRetry schedules the last call to be repeated unchanged, so that a write keeps its ID.
func (n *nameStore) scheduleRetry() {
	n.call.id, n.call.retryScheduled = 0, true
	n.call.retryAt = n.tracker.now + n.tracker.parameters.RetryInterval
}

// retryIfDue repeats the last call if its retry is due.
func (n *nameStore) retryIfDue() {
	if n.call.retryScheduled && n.tracker.now >= n.call.retryAt {
		n.send(n.call.stateCall)
	}
}

// handleStateResult processes the result of the call in flight.
func (n *nameStore) handleStateResult(result StateResult) {
	if result.ID != n.call.id {
		return // the result of an earlier term, or of a call that has been repeated since
	}
	n.call.id = 0
	switch n.call.stateCall.Op {
	case storage.StateList:
		n.handleList(result)
	case storage.StateTxn:
		n.handleWrite(result)
	default:
		n.handleReadBack(result)
	}
}

// handleList records a page of the list of all names, and requests the next page.
func (n *nameStore) handleList(result StateResult) {
	if result.Outcome != rpc.OK {
		n.scheduleRetry()
		return
	}
	for _, entry := range result.List.Entries {
		n.listCursor = entry.Key
		n.recordEntry(entry)
	}
	if result.List.More && len(result.List.Entries) > 0 {
		n.send(storage.StateCall{Op: storage.StateList, Key: NamesPrefix, StartAfter: n.listCursor})
		return
	}
	n.loaded = true
}

// recordEntry records the value of a key. It returns the ID of the write that stored the value, or
// an empty one if the value can't be read.
func (n *nameStore) recordEntry(entry protocol.Entry) (writeID string) {
	var stored storedName
	name := strings.TrimPrefix(entry.Key, NamesPrefix)
	if protocol.Decode(entry.Value, &stored) != nil ||
		distribution.CheckDigest(digest.Digest(stored.Manifest)) != nil || distribution.CheckName(name) != nil {
		n.tracker.emit(Log{"a record of weights can't be read", []any{"key", entry.Key}})
		// The revision is kept, so that a write can replace the record.
		n.records[name] = distribution.NameRecord{Name: name, Revision: entry.Version}
		return ""
	}
	n.updateRecord(distribution.NameRecord{Name: name, Manifest: digest.Digest(stored.Manifest), Revision: entry.Version})
	return stored.WriteID
}

// updateRecord stores a durable record in memory, unless it is known with this or a later revision.
func (n *nameStore) updateRecord(record distribution.NameRecord) {
	known, exists := n.records[record.Name]
	if exists && known.Manifest != "" && known.Revision >= record.Revision {
		return
	}
	n.records[record.Name] = record
}

// lookup returns the record of a name and whether the name has a manifest.
func (n *nameStore) lookup(name string) (record distribution.NameRecord, found bool) {
	record = n.records[name]
	return record, record.Manifest != ""
}

// sortedRecords returns the records of all names that have a manifest, sorted by name.
func (n *nameStore) sortedRecords() []distribution.NameRecord {
	records := make([]distribution.NameRecord, 0, len(n.records))
	for _, name := range slices.Sorted(maps.Keys(n.records)) {
		if record, found := n.lookup(name); found {
			records = append(records, record)
		}
	}
	return records
}
