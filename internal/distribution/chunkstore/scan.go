package chunkstore

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"path"
	"runtime"
	"strings"
	"sync"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"
	"golang.org/x/sync/errgroup"

	"oakpick/internal/distribution"
	"oakpick/internal/durable"
)

// Contents is what was found on disk.
type Contents struct {
	Chunks    map[digest.Digest]int64 // verified, with their sizes
	Partial   map[digest.Digest]int64
	Manifests []*distribution.Manifest
	Damaged   []digest.Digest // chunks that were damaged, and are removed
}

// Scan reads everything that is stored and verifies it, with all processors.
func (s *Store) Scan() (Contents, error) {
	found := Contents{Chunks: map[digest.Digest]int64{}, Partial: map[digest.Digest]int64{}}
	chunks, err := s.listDigests(chunksDir)
	if err != nil {
		return found, err
	}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for d, size := range chunks {
		group.Go(func() error {
			sound, err := s.Verify(d)
			mu.Lock()
			defer mu.Unlock()
			if sound {
				found.Chunks[d] = size
			} else {
				found.Damaged = append(found.Damaged, d)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return found, err
	}
	partial, err := s.listDigests(partialDir)
	if err != nil {
		return found, err
	}
	for d, size := range partial {
		if _, whole := found.Chunks[d]; !whole && size > 0 {
			found.Partial[d] = size
		}
	}
	manifests, err := s.listDigests(manifestsDir)
	if err != nil {
		return found, err
	}
	for d := range manifests {
		if m, err := s.Manifest(d); err == nil {
			found.Manifests = append(found.Manifests, m)
		}
	}
	return found, nil
}

// list gives the digests that files of a directory are named by, and their sizes.
func (s *Store) listDigests(dir string) (map[digest.Digest]int64, error) {
	entries, err := afero.ReadDir(s.fs, path.Join(s.root, dir))
	if err != nil {
		return nil, &DiskError{err}
	}
	out := map[digest.Digest]int64{}
	for _, e := range entries {
		d := digest.NewDigestFromEncoded(digest.SHA256, e.Name())
		if !strings.HasSuffix(e.Name(), durable.NewSuffix) && distribution.CheckDigest(d) == nil {
			out[d] = e.Size()
		}
	}
	return out, nil
}

// NextSession gives a number that is higher than the one before, and at least as high as
// asked for.
func (s *Store) NextSession(least int64) (int64, error) {
	name := path.Join(s.root, sessionFile)
	session := least
	text, err := afero.ReadFile(s.fs, name)
	if err == nil {
		var last int64
		if json.NewDecoder(bytes.NewReader(text)).Decode(&last) == nil {
			session = max(session, last+1)
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return 0, &DiskError{err}
	}
	text, err = json.Marshal(session)
	if err != nil {
		return 0, err
	}
	return session, s.replaceFile(name, text)
}
