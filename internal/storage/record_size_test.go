package storage

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"oakpick/internal/protocol"
)

// What is reserved for a record is never less than the record takes, whatever
// its names, so that a page never outgrows its limit.
func TestReservedSizeCoversEncodedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(0, 20, 40)
		s := protocol.Submission{
			ID: "wk-" + fmt.Sprint(rapid.Uint64().Draw(t, "id")), Class: name.Draw(t, "class"), Team: name.Draw(t, "team"), Image: name.Draw(t, "image"),
			Zone: name.Draw(t, "zone"), Types: rapid.SliceOfN(name, 0, 4).Draw(t, "types"), Tasks: rapid.IntRange(1, 100000).Draw(t, "tasks"),
			CPUs: rapid.Float64Range(0, 1e9).Draw(t, "cpus"), MemoryGB: rapid.Float64Range(0, 1e9).Draw(t, "mem"), EstimatedRunS: 1.0 / 3,
		}
		r := NewJobRecord(&s, 1<<52)
		blocks := s.Tasks / 56
		full := Bitmap{}
		full.Set(blocks)
		r.CompletedBlocks, r.GangAttempt = full.Text(), 1<<60
		v := PageValue{WriteID: "123456789-123456789", Jobs: []JobRecord{r}}
		want := pageOverhead + r.ReservedSize(blocks)
		n := rapid.IntRange(1, 64).Draw(t, "block")
		br := BlockRecord{Job: s.ID, Block: 1000, LastAttempt: 1 << 60, Done: strings.Repeat("f", n/4+2)}
		for i := range n {
			br.Starts = append(br.Starts, StartRecord{Task: i, Attempt: 99999, Machine: "i-000000000000001", Incarnation: 99999})
		}
		v.Blocks = append(v.Blocks, br)
		want += BlockSize(s.ID, n) + n*StartReservedSize
		f := TerminalRecord{ID: s.ID, Cancelled: true, Tasks: 100000}
		v.Terminal = append(v.Terminal, f)
		want += f.ReservedSize()
		if n := sizeInJSON(t, v); n > want {
			t.Fatalf("%d bytes reserved, %d taken", want, n)
		}
	})
}

// sizeInJSON is as the state service counts it: what is on the wire, in JSON.
func sizeInJSON(t interface{ Fatal(...any) }, v any) int {
	var wire any
	if err := protocol.Decode(protocol.Encode(v), &wire); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(wire)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}
