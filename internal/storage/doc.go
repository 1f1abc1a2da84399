// Package storage keeps what cannot be recomputed: its records, how they are
// packed into versioned pages of the state service, the write budget, and the
// client that carries them there.
//
// The records are read by every version that may run beside this one. Their types
// only change by optional fields of PageValue that are absent while unused; the
// order of a record's fields and the names in tags are part of the format.
package storage
