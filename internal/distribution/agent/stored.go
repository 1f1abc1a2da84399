package agent

import (
	"errors"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
)

// Load reads and verifies what is on disk, and what each of some names is served from.
func LoadStored(store *chunkstore.Store, names []string) (Stored, error) {
	found, err := store.Scan()
	if err != nil {
		return Stored{}, err
	}
	stored := Stored{Contents: found, Active: map[string]distribution.ActiveVersion{}}
	for _, n := range names {
		active, err := store.Active(n)
		if errors.Is(err, chunkstore.ErrUnknown) {
			continue
		}
		if err != nil {
			return Stored{}, err
		}
		stored.Active[n] = active
	}
	return stored, nil
}

// WriteFault tells what was wrong with a fetch, by what the store said of its bytes, how many
// of them came, and what is known of the source.
func ClassifyFetch(stored error, received int64, source distribution.Fault) distribution.Fault {
	var disk *chunkstore.DiskError
	switch {
	case errors.As(stored, &disk):
		return distribution.FaultDisk
	case errors.Is(stored, chunkstore.ErrDamaged):
		return distribution.FaultDamaged
	case stored != nil && source == "":
		return distribution.FaultUnreachable
	case stored == nil && received > 0:
		return "" // it is whole, whatever came behind
	}
	return source
}
