// Package storage keeps the state that can't be recomputed: its records, how they are
// packed into versioned pages of the state service (a consensus-backed key-value store),
// the write budget, and the client that sends the requests.
//
// The records are read by every version that may run beside this one. Their types
// only change by optional fields of PageValue that are absent while unused; the
// order of a record's fields and the names in tags are part of the format. The names of
// fields are not.
package storage
