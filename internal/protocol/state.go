package protocol

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Entry is a key of the state service, with its value still encoded.
type Entry struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"value"`
	Version int64              `msgpack:"stamp"`  // revision of the last write to the key
	Lease   int64              `msgpack:"permit"` // lease that the key is bound to; 0 if there is none
}

// EntryList is one page of the keys with a given prefix.
type EntryList struct {
	Entries  []Entry `msgpack:"entries"`
	More     bool    `msgpack:"has_next"`
	Revision int64   `msgpack:"ledger"`
}

// Condition requires that a key has a version; version 0 requires that the key doesn't exist.
type Condition struct {
	Key     string `msgpack:"path"`
	Version int64  `msgpack:"stamp"`
}

// Change writes the key Put or deletes the key Delete.
type Change struct {
	Put    string `msgpack:"write,omitempty"`
	Value  any    `msgpack:"value,omitempty"`
	Lease  int64  `msgpack:"permit,omitempty"` // lease to bind the key to; 0 if there is none
	Delete string `msgpack:"drop,omitempty"`
}

// Txn is a transaction of the state service. The changes are applied if all conditions hold.
type Txn struct {
	If   []Condition `msgpack:"if"`
	Then []Change    `msgpack:"then,omitempty"`
}

// TxnResponse is the result of a transaction.
type TxnResponse struct {
	Failed   []string `msgpack:"failed"` // keys whose conditions didn't hold
	Revision int64    `msgpack:"ledger"`
	Error    string   `msgpack:"error"`
}

// LeaseGrant is the state service's response to a LeaseRequest.
type LeaseGrant struct {
	Lease int64 `msgpack:"permit"`
}

// LeaseRequest asks the state service for a lease that expires after TTLms without a renewal.
type LeaseRequest struct {
	TTLms int64 `msgpack:"life_ms"`
}
