package storage

import (
	"reflect"
	"testing"

	"oakpick/internal/protocol"
)

// fullJobRecord returns a record with a value in every field.
func fullJobRecord() JobRecord {
	return JobRecord{
		ID: "id", Class: "class", Team: "team", Image: "image", Zone: "zone", Kind: protocol.Service, Priority: protocol.Production,
		Tasks: 1, CPUs: 2.5, GPUs: 3.5, MemoryGB: 4.5, ImageGB: 5.5, AnyType: true, Types: []string{"type"},
		OneZone: true, Spread: false, Spot: true, EstimatedRunS: 6.5, CheckpointIntervalS: 7.5, CheckpointDurationS: 8.5,
		DeadlineS: 9.5, SubmittedMs: 10, Cancelled: true, GangAttempt: 11, CompletedBlocks: "0f",
	}
}

// The order of a record's fields is part of the stored format, which other versions read. The
// expected values may change only together with those versions.
func TestRecordFieldOrderIsStable(t *testing.T) {
	job := fullJobRecord()
	for name, c := range map[string]struct {
		record any
		want   []any
	}{
		"start": {&StartRecord{Task: 1, Attempt: 2, Machine: "machine", Incarnation: 3}, []any{int64(1), int64(2), "machine", int64(3)}},
		"job": {&job, []any{
			"id", "class", "team", "image", "zone", int64(protocol.Service), int64(protocol.Production),
			int64(1), 2.5, 3.5, 4.5, 5.5, true, []any{"type"},
			true, false, true, 6.5, 7.5, 8.5,
			9.5, int64(10), true, int64(11), "0f",
		}},
		"block": {
			&BlockRecord{Job: "job", Block: 1, LastAttempt: 2, Done: "0f", Starts: []StartRecord{{Task: 3}}},
			[]any{"job", int64(1), int64(2), "0f", []any{[]any{int64(3), int64(0), "", int64(0)}}},
		},
		"terminal": {&TerminalRecord{ID: "id", Cancelled: true, Tasks: 1}, []any{"id", true, int64(1)}},
		"provisioning": {
			&ProvisioningRecord{RequestID: "id", Type: "type", Zone: "zone", Spot: true, Count: 1, Answered: true, Machines: []string{"machine"}, AtMs: 2},
			[]any{"id", "type", "zone", true, int64(1), true, []any{"machine"}, int64(2)},
		},
		"extension":     {&JobExtension{Job: "job", BlockTasks: 1, Prerequisites: []string{"id"}}, []any{"job", int64(1), []any{"id"}}},
		"prerequisites": {&PrerequisitesRecord{Job: "job", Part: 1, IDs: []string{"id"}}, []any{"job", int64(1), []any{"id"}}},
	} {
		t.Run(name, func(t *testing.T) {
			var stored []any
			if err := protocol.Decode(protocol.Encode(c.record), &stored); err != nil {
				t.Fatal(err)
			}
			for i := range stored {
				stored[i] = normalized(stored[i])
			}
			if !reflect.DeepEqual(stored, c.want) {
				t.Errorf("stored %#v, want %#v", stored, c.want)
			}
		})
	}
}

// normalized converts integers to int64, because the decoder returns them in types of different sizes.
func normalized(v any) any {
	value := reflect.ValueOf(v)
	switch {
	case value.CanInt():
		return value.Int()
	case value.CanUint():
		return int64(value.Uint())
	}
	if list, ok := v.([]any); ok {
		for i := range list {
			list[i] = normalized(list[i])
		}
	}
	return v
}

// The names of a page's fields are part of the stored format. Unused fields are omitted.
func TestPageFieldNamesAreStable(t *testing.T) {
	full := PageValue{
		WriteID: "id", Jobs: make([]JobRecord, 1), Blocks: make([]BlockRecord, 2), Terminal: make([]TerminalRecord, 3),
		Provisioning: make([]ProvisioningRecord, 4), Options: "{}", Extensions: make([]JobExtension, 5), Prerequisites: make([]PrerequisitesRecord, 6),
	}
	for name, c := range map[string]struct {
		value any
		want  map[string]int // length of each field by name
	}{
		"full page":           {full, map[string]int{"id": 2, "j": 1, "b": 2, "f": 3, "r": 4, "o": 2, "x": 5, "p": 6}},
		"empty page":          {PageValue{}, map[string]int{"id": 0}},
		"page of the archive": {ArchiveValue{WriteID: "id", Terminal: make([]TerminalRecord, 3)}, map[string]int{"id": 2, "f": 3}},
		"empty archive page":  {ArchiveValue{Terminal: []TerminalRecord{}}, map[string]int{"id": 0, "f": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			var stored map[string]any
			if err := protocol.Decode(protocol.Encode(c.value), &stored); err != nil {
				t.Fatal(err)
			}
			got := map[string]int{}
			for name, v := range stored {
				got[name] = reflect.ValueOf(v).Len()
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("stored %v, want %v", got, c.want)
			}
		})
	}
}
