package storage

import (
	"errors"
	"math"
	"testing"

	"oakpick/internal/protocol"
)

// Of two copies the one on the page that was written last counts, for every kind of
// record, and the end of a job more than any other record of it, wherever it is.
func TestReadPagesKeepsNewestCopyOfEachRecord(t *testing.T) {
	page := func(number int, version int64, v PageValue) protocol.Entry {
		return protocol.Entry{Key: (&page{number: number}).key(), Version: version, Value: protocol.Encode(v)}
	}
	pages, err := ReadPages([]protocol.Entry{
		page(0, 5, PageValue{
			Jobs: []JobRecord{{ID: "wk-1", Tasks: 1}, {ID: "wk-2", Tasks: 9}, {ID: "wk-3", Tasks: 1}}, Blocks: []BlockRecord{{Job: "wk-1", Block: 1, LastAttempt: 1}},
			Provisioning: []ProvisioningRecord{{RequestID: "r", Count: 1}}, Options: "old", Extensions: []JobExtension{{Job: "wk-1", BlockTasks: 1}},
		}),
		page(1, 7, PageValue{
			Jobs: []JobRecord{{ID: "wk-1", Tasks: 2}}, Blocks: []BlockRecord{{Job: "wk-1", Block: 1, LastAttempt: 2}, {Job: "wk-1", Block: 2}},
			Provisioning: []ProvisioningRecord{{RequestID: "r", Count: 2}}, Options: "new", Extensions: []JobExtension{{Job: "wk-1", BlockTasks: 2}},
		}),
		page(2, 3, PageValue{Terminal: []TerminalRecord{{ID: "wk-2", Tasks: 9}}}), // older than the job's record
	})
	if err != nil || len(pages) != 3 {
		t.Fatal(pages, err)
	}
	old, fresh, end := pages[0], pages[1], pages[2]
	if !old.Stale || fresh.Stale || end.Stale {
		t.Errorf("stale: %t, %t, %t", old.Stale, fresh.Stale, end.Stale)
	}
	v := old.Value
	if len(v.Jobs) != 1 || v.Jobs[0].ID != "wk-3" || len(v.Blocks)+len(v.Provisioning)+len(v.Extensions) != 0 || v.Options != "" {
		t.Errorf("of the older page counts %+v", v)
	}
	v = fresh.Value
	if len(v.Jobs) != 1 || len(v.Blocks) != 2 || len(v.Provisioning) != 1 || len(v.Extensions) != 1 || v.Options != "new" {
		t.Errorf("of the newer page counts %+v", v)
	}
	if len(end.Value.Terminal) != 1 {
		t.Errorf("the end of a job does not count: %+v", end.Value)
	}
}

func entryOf(number int, version int64, v PageValue) protocol.Entry {
	return protocol.Entry{Key: (&page{number: number}).key(), Version: version, Value: protocol.Encode(v)}
}

// Records that no version writes are refused with the record named, each for itself; what
// they are made from is read.
func TestReadPagesRejectsCorruptRecords(t *testing.T) {
	job := func(change func(*JobRecord)) PageValue {
		r := JobRecord{ID: "wk-1", Tasks: 10, CPUs: 1}
		change(&r)
		return PageValue{Jobs: []JobRecord{r}}
	}
	block := func(change func(*BlockRecord)) PageValue {
		r := BlockRecord{Job: "wk-1", Starts: []StartRecord{{Task: 1, Attempt: 1, Machine: "i-1", Incarnation: 1}}}
		change(&r)
		return PageValue{Blocks: []BlockRecord{r}}
	}
	for _, good := range []PageValue{job(func(*JobRecord) {}), block(func(*BlockRecord) {}), {}} {
		if _, err := ReadPages([]protocol.Entry{entryOf(0, 1, good)}); err != nil {
			t.Error(err)
		}
	}
	for name, bad := range map[string]PageValue{
		"job without id":         job(func(r *JobRecord) { r.ID = "" }),
		"no tasks":               job(func(r *JobRecord) { r.Tasks = 0 }),
		"too many tasks":         job(func(r *JobRecord) { r.Tasks = protocol.MaxTasks + 1 }),
		"unknown shape":          job(func(r *JobRecord) { r.Kind = 9 }),
		"unknown priority":       job(func(r *JobRecord) { r.Priority = 9 }),
		"negative amount":        job(func(r *JobRecord) { r.GPUs = -1 }),
		"no number":              job(func(r *JobRecord) { r.CPUs = math.NaN() }),
		"endless":                job(func(r *JobRecord) { r.DeadlineS = math.Inf(1) }),
		"block without job":      block(func(r *BlockRecord) { r.Job = "" }),
		"negative block":         block(func(r *BlockRecord) { r.Block = -1 }),
		"negative task":          block(func(r *BlockRecord) { r.Starts[0].Task = -1 }),
		"start without machine":  block(func(r *BlockRecord) { r.Starts[0].Machine = "" }),
		"end without id":         {Terminal: []TerminalRecord{{Tasks: 1}}},
		"end of negative tasks":  {Terminal: []TerminalRecord{{ID: "wk-1", Tasks: -1}}},
		"rental without name":    {Provisioning: []ProvisioningRecord{{Count: 1}}},
		"rental of too many":     {Provisioning: []ProvisioningRecord{{RequestID: "r", Count: protocol.MaxScaleOut + 1}}},
		"extension without job":  {Extensions: []JobExtension{{BlockTasks: 1}}},
		"prerequisites of none":  {Prerequisites: []PrerequisitesRecord{{IDs: []string{"wk-2"}}}},
		"negative part":          {Prerequisites: []PrerequisitesRecord{{Job: "wk-1", Part: -1}}},
		"negative block length":  {Extensions: []JobExtension{{Job: "wk-1", BlockTasks: -1}}},
		"a record that's double": {Terminal: []TerminalRecord{{ID: "wk-1", Tasks: 1}, {ID: "wk-1", Tasks: 2}}},
	} {
		_, err := ReadPages([]protocol.Entry{entryOf(0, 1, bad)})
		var damage *CorruptRecordError
		if !errors.As(err, &damage) {
			t.Errorf("%s: %v", name, err)
		}
	}
	twice := PageValue{Terminal: []TerminalRecord{{ID: "wk-1", Tasks: 1}}}
	if _, err := ReadPages([]protocol.Entry{entryOf(0, 4, twice), entryOf(1, 4, twice)}); err == nil {
		t.Error("one transaction wrote a record on two pages, and both count")
	}
}
