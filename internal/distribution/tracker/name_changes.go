package tracker

import (
	"fmt"
	"net/http"

	"oakpick/internal/distribution"
	"oakpick/internal/election"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// maxQueuedChanges bounds the queue of name changes, including the one that is being written.
// Operators make the changes, so there are few.
const maxQueuedChanges = 64

// pendingWrite is the write of the first change in the queue.
type pendingWrite struct {
	id           string
	sequence     int   // number of the write in this term
	token        int64 // fencing token that the write requires
	baseRevision int64 // revision of the record that the write replaces
}

// enqueueChange queues a change to be written. If the name already has the manifest and no change
// is queued, it replies at once.
func (n *nameStore) enqueueChange(change SetManifestCall) {
	if len(n.queue) == 0 && n.records[change.Name].Manifest == change.Manifest {
		n.tracker.reply(change.ID, n.records[change.Name])
		return
	}
	if len(n.queue) >= maxQueuedChanges {
		n.tracker.refuse(change.ID, http.StatusServiceUnavailable, "too many changes wait")
		return
	}
	n.queue = append(n.queue, change)
	if len(n.queue) == 1 {
		n.writeFirst()
	}
}

// writeFirst sends the first change of the queue as a new write. The state service applies it only
// if this controller still leads and no other write has changed the record.
func (n *nameStore) writeFirst() {
	change := n.queue[0]
	key := NamesPrefix + change.Name
	n.write.sequence++
	n.write.id = fmt.Sprintf("%s-%d-%d", n.tracker.parameters.ProcessID, n.tracker.stateTerm, n.write.sequence)
	n.write.token, n.write.baseRevision = n.tracker.leadership.FencingToken, n.records[change.Name].Revision
	n.send(storage.StateCall{Op: storage.StateTxn, Txn: protocol.Txn{
		If: []protocol.Condition{
			{Key: election.LeaderKey, Version: n.write.token},
			{Key: key, Version: n.write.baseRevision},
		},
		Then: []protocol.Change{{Put: key, Value: storedName{change.Manifest.String(), n.write.id}}},
	}})
}

// handleWrite processes the result of a write.
func (n *nameStore) handleWrite(result StateResult) {
	change := n.queue[0]
	switch result.Outcome {
	case rpc.OK:
		n.completeFirst(distribution.NameRecord{Name: change.Name, Manifest: change.Manifest, Revision: result.Revision})
	case rpc.Conflict:
		// An earlier attempt of this write may have been applied, the fencing token may have
		// advanced, or another controller may lead. The record is read back to find out.
		n.send(storage.StateCall{Op: storage.StateGet, Key: NamesPrefix + change.Name})
	case rpc.Invalid:
		n.tracker.refuse(change.ID, http.StatusInternalServerError, "the state service calls the write malformed")
		n.advanceQueue()
	default:
		n.scheduleRetry()
	}
}

// handleReadBack processes the record that was read back after a conflict.
func (n *nameStore) handleReadBack(result StateResult) {
	change := n.queue[0]
	switch result.Outcome {
	case rpc.OK:
		if n.recordEntry(result.Entry) == n.write.id {
			n.completeFirst(n.records[change.Name])
			return
		}
	case rpc.NotFound:
		n.records[change.Name] = distribution.NameRecord{Name: change.Name}
	default:
		n.scheduleRetry()
		return
	}
	if n.write.token == n.tracker.leadership.FencingToken && n.records[change.Name].Revision == n.write.baseRevision {
		// The token and the revision are still those that the write required, so the conflict means
		// that another controller leads. The read is repeated until this controller learns that its
		// term has ended.
		n.scheduleRetry()
		return
	}
	n.writeFirst()
}

// completeFirst records and answers the first change of the queue, and advances the queue.
func (n *nameStore) completeFirst(record distribution.NameRecord) {
	n.updateRecord(record)
	n.replyIfLeaseHeld(n.queue[0].ID, record)
	n.tracker.emit(Log{"weights changed", []any{"name", record.Name, "manifest", record.Manifest.String(), "revision", record.Revision}})
	n.advanceQueue()
}

// advanceQueue removes the first change, answers those that are in effect already, and writes the
// next that isn't.
func (n *nameStore) advanceQueue() {
	n.queue = n.queue[1:]
	for len(n.queue) > 0 {
		change := n.queue[0]
		if n.records[change.Name].Manifest != change.Manifest {
			n.writeFirst()
			return
		}
		n.replyIfLeaseHeld(change.ID, n.records[change.Name])
		n.queue = n.queue[1:]
	}
}

// replyIfLeaseHeld answers a call with a durable record. Without the lease it refuses the call,
// because another controller may have replaced the record already.
func (n *nameStore) replyIfLeaseHeld(id uint64, record distribution.NameRecord) {
	if n.tracker.holdsLease() {
		n.tracker.reply(id, record)
		return
	}
	n.tracker.refuse(id, http.StatusServiceUnavailable, "the term is in doubt")
}

// refuseQueued refuses all queued changes when the term ends. The first of them may have been
// written.
func (n *nameStore) refuseQueued() {
	for _, change := range n.queue {
		n.tracker.refuse(change.ID, http.StatusServiceUnavailable, "the term has ended; ask what the name has")
	}
}
