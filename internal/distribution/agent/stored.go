package agent

import (
	"errors"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
)

// LoadStoredState reads and verifies the chunk store, and reads each name's active version.
func LoadStoredState(store *chunkstore.Store, names []string) (StoredState, error) {
	found, err := store.Scan()
	if err != nil {
		return StoredState{}, err
	}
	stored := StoredState{Contents: found, Active: map[string]distribution.ActiveVersion{}}
	for _, name := range names {
		active, err := store.Active(name)
		if errors.Is(err, chunkstore.ErrNotStored) {
			continue
		}
		if err != nil {
			return StoredState{}, err
		}
		stored.Active[name] = active
	}
	return stored, nil
}

// ClassifyFetch returns the fault of a fetch, or "" if the chunk is stored. Disk errors and damaged
// chunks take precedence over the fault of the transfer.
func ClassifyFetch(storeErr error, receivedBytes int64, transferFault distribution.Fault) distribution.Fault {
	var diskErr *chunkstore.DiskError
	switch {
	case errors.As(storeErr, &diskErr):
		return distribution.FaultDisk
	case errors.Is(storeErr, chunkstore.ErrDamaged):
		return distribution.FaultDamaged
	case storeErr != nil && transferFault == "":
		return distribution.FaultUnreachable
	case storeErr == nil && receivedBytes > 0:
		return "" // the chunk is complete, so a later connection error doesn't matter
	}
	return transferFault
}
