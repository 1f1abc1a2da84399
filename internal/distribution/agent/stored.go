package agent

import (
	"errors"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
)

// LoadStoredState reads and verifies what is on disk, and which version is active for each name.
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

// ClassifyFetch returns what was wrong with a fetch, or "" if the chunk is stored. It depends
// on the chunk store's error, on how many bytes were received, and on the fault that the
// transfer itself had.
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
		return "" // the chunk is complete, whatever happened to the connection afterwards
	}
	return transferFault
}
