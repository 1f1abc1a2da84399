package protocol

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Entry is a key of the state service, with its value still encoded.
type Entry struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"value"`
	Version int64              `msgpack:"stamp"`  // revision of its last write
	Lease   int64              `msgpack:"permit"` // with which it goes; 0: none
}

// EntryList is one page of the keys with a prefix.
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

// Change writes a key, or deletes one.
type Change struct {
	Put    string `msgpack:"write,omitempty"`
	Value  any    `msgpack:"value,omitempty"`
	Lease  int64  `msgpack:"permit,omitempty"` // with which the key goes; 0: none
	Delete string `msgpack:"drop,omitempty"`
}

// Txn is a transaction of the state service: if every condition holds, all changes are made.
type Txn struct {
	If   []Condition `msgpack:"if"`
	Then []Change    `msgpack:"then,omitempty"`
}

// TxnResponse is the outcome of a transaction.
type TxnResponse struct {
	Failed   []string `msgpack:"failed"` // keys whose condition didn't hold
	Revision int64    `msgpack:"ledger"`
	Error    string   `msgpack:"error"`
}

// LeaseGrant is a lease of the state service.
type LeaseGrant struct {
	Lease int64 `msgpack:"permit"`
}

// LeaseRequest asks for a lease that lasts so long without a renewal.
type LeaseRequest struct {
	TTLms int64 `msgpack:"life_ms"`
}
