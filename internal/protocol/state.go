package protocol

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Entry is a key of the state service.
type Entry struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"value"`
	Version int64              `msgpack:"stamp"`
	Lease   int64              `msgpack:"permit"`
}

// EntryList is an answer to a prefix read.
type EntryList struct {
	Entries  []Entry `msgpack:"entries"`
	More     bool    `msgpack:"has_next"`
	Revision int64   `msgpack:"ledger"`
}

// Condition is that a key has a version; 0 means it doesn't exist.
type Condition struct {
	Key     string `msgpack:"path"`
	Version int64  `msgpack:"stamp"`
}

// Change writes a key, or drops one.
type Change struct {
	Put    string `msgpack:"write,omitempty"`
	Value  any    `msgpack:"value,omitempty"`
	Lease  int64  `msgpack:"permit,omitempty"`
	Delete string `msgpack:"drop,omitempty"`
}

// Txn is a transaction of the state service.
type Txn struct {
	If   []Condition `msgpack:"if"`
	Then []Change    `msgpack:"then,omitempty"`
}

// TxnResponse is the outcome of a transaction.
type TxnResponse struct {
	Failed   []string `msgpack:"failed"`
	Revision int64    `msgpack:"ledger"`
	Error    string   `msgpack:"error"`
}

// LeaseGrant is a lease of the state service.
type LeaseGrant struct {
	Lease int64 `msgpack:"permit"`
}

// LeaseRequest asks for one.
type LeaseRequest struct {
	TTLms int64 `msgpack:"life_ms"`
}
