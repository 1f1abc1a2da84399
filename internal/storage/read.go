package storage

import (
	"fmt"
	"slices"

	"oakpick/internal/protocol"
)

// LoadedPage is a page as it was read.
type LoadedPage struct {
	Number  int
	Version int64
	Value   PageValue
	// Stale tells that records were left out of Value because a newer copy of them,
	// or the end of their job, is on another page.
	Stale bool
}

// ReadPages decodes pages. While a page is being split, a record may be on two of
// them: the copy on the page that was written last counts. The end of a job counts
// more than any record of it that is not over.
func ReadPages(entries []protocol.Entry) ([]LoadedPage, error) {
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
	latest, err := findNewestVersions(pages)
	if err != nil {
		return nil, err
	}
	for i := range pages {
		latest.dropStale(&pages[i])
	}
	return pages, nil
}

// recordKey tells records of one page apart, and finds their copies on others.
type recordKey struct {
	kind  string
	name  string
	block int
}

func (k recordKey) String() string { return fmt.Sprintf("%s %s/%d", k.kind, k.name, k.block) }

func jobKey(r JobRecord) recordKey           { return recordKey{"job", r.ID, 0} }
func extensionKey(r JobExtension) recordKey  { return recordKey{"extension", r.Job, 0} }
func blockKey(r BlockRecord) recordKey       { return recordKey{"block", r.Job, r.Block} }
func terminalKey(r TerminalRecord) recordKey { return recordKey{"final", r.ID, 0} }
func prerequisitesKey(r PrerequisitesRecord) recordKey {
	return recordKey{"prerequisites", r.Job, r.Part}
}
func provisioningKey(r ProvisioningRecord) recordKey { return recordKey{"rental", r.RequestID, 0} }

// newestVersions knows the version of the page that has the newest copy of each record.
type newestVersions map[recordKey]int64

// findNewestVersions finds these versions. No transaction writes a record twice, so two
// copies of one version are damage.
func findNewestVersions(pages []LoadedPage) (newestVersions, error) {
	c := newestVersions{}
	for _, p := range pages {
		for _, k := range p.Value.recordKeys() {
			if c[k] == p.Version {
				return nil, corrupt(k.String(), "stands twice in revision %d", p.Version)
			}
			c[k] = max(c[k], p.Version)
		}
	}
	return c, nil
}

// recordKeys tell what records a page has.
func (v *PageValue) recordKeys() []recordKey {
	var keys []recordKey
	for _, r := range v.Jobs {
		keys = append(keys, jobKey(r))
	}
	for _, r := range v.Extensions {
		keys = append(keys, extensionKey(r))
	}
	for _, r := range v.Prerequisites {
		keys = append(keys, prerequisitesKey(r))
	}
	for _, r := range v.Blocks {
		keys = append(keys, blockKey(r))
	}
	for _, r := range v.Terminal {
		keys = append(keys, terminalKey(r))
	}
	for _, r := range v.Provisioning {
		keys = append(keys, provisioningKey(r))
	}
	if v.Options != "" {
		keys = append(keys, optionsKey)
	}
	return keys
}

var optionsKey = recordKey{kind: "options"}

func (c newestVersions) dropStale(p *LoadedPage) {
	v := &p.Value
	over := func(job string) bool { return c[recordKey{"final", job, 0}] > 0 }
	v.Jobs = keepCurrent(p, v.Jobs, func(r JobRecord) bool { return c[jobKey(r)] == p.Version && !over(r.ID) })
	v.Extensions = keepCurrent(p, v.Extensions, func(r JobExtension) bool { return c[extensionKey(r)] == p.Version && !over(r.Job) })
	v.Prerequisites = keepCurrent(p, v.Prerequisites, func(r PrerequisitesRecord) bool {
		return c[prerequisitesKey(r)] == p.Version && !over(r.Job)
	})
	v.Blocks = keepCurrent(p, v.Blocks, func(r BlockRecord) bool { return c[blockKey(r)] == p.Version })
	v.Terminal = keepCurrent(p, v.Terminal, func(r TerminalRecord) bool { return c[terminalKey(r)] == p.Version })
	v.Provisioning = keepCurrent(p, v.Provisioning, func(r ProvisioningRecord) bool { return c[provisioningKey(r)] == p.Version })
	if v.Options != "" && c[optionsKey] != p.Version {
		v.Options, p.Stale = "", true
	}
}

// keepCurrent leaves out what is stale, and notes that on the page.
func keepCurrent[T any](p *LoadedPage, records []T, current func(T) bool) []T {
	before := len(records)
	records = slices.DeleteFunc(records, func(r T) bool { return !current(r) })
	p.Stale = p.Stale || len(records) < before
	return records
}
