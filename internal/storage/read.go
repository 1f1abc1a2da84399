package storage

import (
	"fmt"
	"slices"

	"oakpick/internal/protocol"
)

// LoadedPage is a page as read from the state service.
type LoadedPage struct {
	Number  int
	Version int64 // revision of the last write
	Value   PageValue
	// Stale reports that records were removed from Value because another page has a newer copy of
	// them or the terminal record of their job.
	Stale bool
}

// DecodePages decodes and validates the pages among entries. While a page is being split,
// two pages may contain a copy of the same record; the copy on the page with the higher
// version is used. A job's terminal record takes precedence over its other records,
// regardless of their versions.
//
// The error wraps the decoder's error or a *CorruptRecordError and names the key. If a record
// is stored twice in the same revision, the *CorruptRecordError is returned without a key.
func DecodePages(entries []protocol.Entry) ([]LoadedPage, error) {
	var pages []LoadedPage
	for _, entry := range entries {
		number, ok := PageNumber(entry.Key)
		if !ok {
			continue
		}
		p := LoadedPage{Number: number, Version: entry.Version}
		if err := protocol.Decode(entry.Value, &p.Value); err != nil {
			return nil, fmt.Errorf("%s: %w", entry.Key, err)
		}
		if err := p.Value.validate(); err != nil {
			return nil, fmt.Errorf("%s: %w", entry.Key, err)
		}
		pages = append(pages, p)
	}
	newest, err := findNewestVersions(pages)
	if err != nil {
		return nil, err
	}
	for i := range pages {
		newest.dropStale(&pages[i])
	}
	return pages, nil
}

// recordKind is the kind of a record as it appears in errors.
type recordKind string

const (
	jobKind           recordKind = "job"
	extensionKind     recordKind = "extension of job"
	prerequisitesKind recordKind = "prerequisites of job"
	blockKind         recordKind = "block of job"
	terminalKind      recordKind = "terminal record of job"
	provisioningKind  recordKind = "provisioning request"
	optionsKind       recordKind = "options"
)

// recordKey identifies a record. Copies of a record on several pages have the same key.
type recordKey struct {
	kind  recordKind
	id    string
	index int // number of the block, or of the part of the prerequisites
}

func (k recordKey) String() string { return fmt.Sprintf("%s %s/%d", k.kind, k.id, k.index) }

func jobKey(r JobRecord) recordKey          { return recordKey{jobKind, r.ID, 0} }
func extensionKey(r JobExtension) recordKey { return recordKey{extensionKind, r.Job, 0} }
func prerequisitesKey(r PrerequisitesRecord) recordKey {
	return recordKey{prerequisitesKind, r.Job, r.Part}
}
func blockKey(r BlockRecord) recordKey       { return recordKey{blockKind, r.Job, r.Block} }
func terminalKey(r TerminalRecord) recordKey { return recordKey{terminalKind, r.ID, 0} }
func provisioningKey(r ProvisioningRecord) recordKey {
	return recordKey{provisioningKind, r.RequestID, 0}
}

var optionsKey = recordKey{kind: optionsKind}

// recordKeys returns the keys of all records of a page.
func (v *PageValue) recordKeys() []recordKey {
	var keys []recordKey
	keys = appendKeys(keys, v.Jobs, jobKey)
	keys = appendKeys(keys, v.Extensions, extensionKey)
	keys = appendKeys(keys, v.Prerequisites, prerequisitesKey)
	keys = appendKeys(keys, v.Blocks, blockKey)
	keys = appendKeys(keys, v.Terminal, terminalKey)
	keys = appendKeys(keys, v.Provisioning, provisioningKey)
	if v.Options != "" {
		keys = append(keys, optionsKey)
	}
	return keys
}

func appendKeys[T any](keys []recordKey, records []T, key func(T) recordKey) []recordKey {
	for _, r := range records {
		keys = append(keys, key(r))
	}
	return keys
}

// newestVersions maps each record to the version of the page with its newest copy.
type newestVersions map[recordKey]int64

// findNewestVersions returns an error if two copies of a record have the same version,
// because no transaction writes a record twice.
func findNewestVersions(pages []LoadedPage) (newestVersions, error) {
	newest := newestVersions{}
	for _, p := range pages {
		for _, key := range p.Value.recordKeys() {
			if newest[key] == p.Version {
				return nil, newCorruptRecordError(key.String(), "is stored twice in revision %d", p.Version)
			}
			newest[key] = max(newest[key], p.Version)
		}
	}
	return newest, nil
}

// dropStale removes outdated records from a page.
func (n newestVersions) dropStale(p *LoadedPage) {
	newest := func(key recordKey) bool { return n[key] == p.Version }
	terminal := func(job string) bool { return n[recordKey{terminalKind, job, 0}] > 0 }
	v := &p.Value
	v.Jobs = keepCurrent(p, v.Jobs, func(r JobRecord) bool { return newest(jobKey(r)) && !terminal(r.ID) })
	v.Extensions = keepCurrent(p, v.Extensions, func(r JobExtension) bool { return newest(extensionKey(r)) && !terminal(r.Job) })
	v.Prerequisites = keepCurrent(p, v.Prerequisites, func(r PrerequisitesRecord) bool {
		return newest(prerequisitesKey(r)) && !terminal(r.Job)
	})
	v.Blocks = keepCurrent(p, v.Blocks, func(r BlockRecord) bool { return newest(blockKey(r)) })
	v.Terminal = keepCurrent(p, v.Terminal, func(r TerminalRecord) bool { return newest(terminalKey(r)) })
	v.Provisioning = keepCurrent(p, v.Provisioning, func(r ProvisioningRecord) bool { return newest(provisioningKey(r)) })
	if v.Options != "" && !newest(optionsKey) {
		v.Options, p.Stale = "", true
	}
}

// keepCurrent removes records that are not current, and marks the page as stale if there are any.
func keepCurrent[T any](p *LoadedPage, records []T, current func(T) bool) []T {
	before := len(records)
	records = slices.DeleteFunc(records, func(r T) bool { return !current(r) })
	p.Stale = p.Stale || len(records) < before
	return records
}
