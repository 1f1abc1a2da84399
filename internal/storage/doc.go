// Package storage persists the state that can't be recomputed. It defines the records, packs
// them into versioned pages of the state service (a consensus-backed key-value store),
// enforces the write budget, and contains the client of the state service.
//
// Every version that may run concurrently with this one reads the records. Record types may
// therefore change only by adding optional fields to PageValue that are omitted while
// unused. The order of a record's fields and the names in struct tags are part of the
// stored format; the names of the Go fields are not.
package storage
