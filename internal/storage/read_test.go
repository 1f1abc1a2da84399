package storage

import (
	"testing"

	"oakpick/internal/protocol"
)

// pageEntry returns a stored page.
func pageEntry(number int, version int64, v PageValue) protocol.Entry {
	return protocol.Entry{Key: (&page{number: number}).key(), Version: version, Value: protocol.Encode(v)}
}

// If two pages have a copy of a record, the page with the higher version is used, for every
// kind of record. A job's terminal record takes precedence over its other records, on any page
// and regardless of versions.
func TestDecodePagesKeepsNewestCopyOfEachRecord(t *testing.T) {
	pages, err := DecodePages([]protocol.Entry{
		pageEntry(0, 5, PageValue{
			Jobs:         []JobRecord{{ID: "wk-1", Tasks: 1}, {ID: "wk-2", Tasks: 9}, {ID: "wk-3", Tasks: 1}},
			Blocks:       []BlockRecord{{Job: "wk-1", Block: 1, LastAttempt: 1}},
			Provisioning: []ProvisioningRecord{{RequestID: "r", Count: 1}},
			Options:      "old",
			Extensions:   []JobExtension{{Job: "wk-1", BlockTasks: 1}},
		}),
		pageEntry(1, 7, PageValue{
			Jobs:         []JobRecord{{ID: "wk-1", Tasks: 2}},
			Blocks:       []BlockRecord{{Job: "wk-1", Block: 1, LastAttempt: 2}, {Job: "wk-1", Block: 2}},
			Provisioning: []ProvisioningRecord{{RequestID: "r", Count: 2}},
			Options:      "new",
			Extensions:   []JobExtension{{Job: "wk-1", BlockTasks: 2}},
		}),
		pageEntry(2, 3, PageValue{Terminal: []TerminalRecord{{ID: "wk-2", Tasks: 9}}}), // older than the job's record
	})
	if err != nil || len(pages) != 3 {
		t.Fatal(pages, err)
	}
	older, newer, terminal := pages[0], pages[1], pages[2]
	if !older.Stale || newer.Stale || terminal.Stale {
		t.Errorf("stale: %t, %t, %t", older.Stale, newer.Stale, terminal.Stale)
	}
	v := older.Value
	if len(v.Jobs) != 1 || v.Jobs[0].ID != "wk-3" || len(v.Blocks)+len(v.Provisioning)+len(v.Extensions) != 0 || v.Options != "" {
		t.Errorf("current records of the older page: %+v", v)
	}
	v = newer.Value
	if len(v.Jobs) != 1 || len(v.Blocks) != 2 || len(v.Provisioning) != 1 || len(v.Extensions) != 1 || v.Options != "new" {
		t.Errorf("current records of the newer page: %+v", v)
	}
	if len(terminal.Value.Terminal) != 1 {
		t.Errorf("the terminal record is not current: %+v", terminal.Value)
	}
}
