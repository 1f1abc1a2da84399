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

// Contents lists the chunks and manifests that Scan found on disk.
type Contents struct {
	Chunks    map[digest.Digest]int64 // sizes of the verified chunks
	Partial   map[digest.Digest]int64 // bytes on disk of the incomplete chunks
	Manifests []*distribution.Manifest
	Damaged   []digest.Digest // damaged chunks, which were removed
}

// Scan reads all stored chunks and manifests and verifies them, using all processors for the
// chunks. It removes damaged chunks.
func (s *Store) Scan() (Contents, error) {
	found := Contents{Chunks: map[digest.Digest]int64{}, Partial: map[digest.Digest]int64{}}
	if err := s.scanChunks(&found); err != nil {
		return found, err
	}
	partial, err := s.listDigests(partialDir)
	if err != nil {
		return found, err
	}
	for d, size := range partial {
		if _, complete := found.Chunks[d]; !complete && size > 0 {
			found.Partial[d] = size
		}
	}
	manifests, err := s.listDigests(manifestsDir)
	if err != nil {
		return found, err
	}
	for d := range manifests {
		if m, err := s.Manifest(d); err == nil { // a manifest that can't be read is fetched again
			found.Manifests = append(found.Manifests, m)
		}
	}
	return found, nil
}

// scanChunks verifies the stored chunks and adds them to found.
func (s *Store) scanChunks(found *Contents) error {
	chunks, err := s.listDigests(chunksDir)
	if err != nil {
		return err
	}
	var mu sync.Mutex // protects found
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for d, size := range chunks {
		group.Go(func() error {
			intact, err := s.Verify(d)
			mu.Lock()
			defer mu.Unlock()
			if intact {
				found.Chunks[d] = size
			} else {
				found.Damaged = append(found.Damaged, d)
			}
			return err
		})
	}
	return group.Wait()
}

// listDigests returns the digests that name the files of a directory, with the file sizes.
func (s *Store) listDigests(dir string) (map[digest.Digest]int64, error) {
	entries, err := afero.ReadDir(s.fs, path.Join(s.root, dir))
	if err != nil {
		return nil, &DiskError{err}
	}
	out := map[digest.Digest]int64{}
	for _, e := range entries {
		d := digest.NewDigestFromEncoded(digest.SHA256, e.Name())
		if !strings.HasSuffix(e.Name(), durable.TemporarySuffix) && distribution.CheckDigest(d) == nil {
			out[d] = e.Size()
		}
	}
	return out, nil
}

// NextSession stores and returns a session number that is higher than the last one and at least
// the given minimum.
func (s *Store) NextSession(minimum int64) (int64, error) {
	name := path.Join(s.root, sessionFile)
	session := minimum
	data, err := afero.ReadFile(s.fs, name)
	if err == nil {
		var last int64
		if json.NewDecoder(bytes.NewReader(data)).Decode(&last) == nil {
			session = max(session, last+1)
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return 0, &DiskError{err}
	}
	data, err = json.Marshal(session)
	if err != nil {
		return 0, err
	}
	return session, s.replaceFile(name, data)
}
