package fake

import (
	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/protocol"
)

// rewriteAsProduction is a transaction as the version in production would have written it:
// of each value, only what that version knows.
func (w *World) rewriteAsProduction(txn protocol.Txn) protocol.Txn {
	if w.RewriteAsProduction == nil {
		return txn
	}
	changes := make([]protocol.Change, len(txn.Then))
	for i, c := range txn.Then {
		c.Value = msgpack.RawMessage(w.RewriteAsProduction(c.Put, protocol.Encode(c.Value)))
		changes[i] = c
	}
	txn.Then = changes
	return txn
}
