package storage

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"oakpick/internal/protocol"
)

// Pages that take a page's place hold every end once, in order, each before its page's bound
// and not before the bound of the page before, and none is larger than allowed.
func TestMergeSplitsArchivePagesWithinTheSizeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 99_999), 0, 300, rapid.ID[int]).Draw(t, "ids")
		p := &ArchivePage{UpperBound: LastUpperBound, Version: 7}
		var more []TerminalRecord
		for i, id := range ids {
			r := TerminalRecord{ID: fmt.Sprintf("wk-%d", id), Tasks: i}
			if i%2 == 0 {
				more = append(more, r)
			} else {
				p = p.Merge([]TerminalRecord{r}, 1<<20)[0]
			}
		}
		most := rapid.IntRange(300, 4000).Draw(t, "most")
		pages := p.Merge(more, most)
		count, low := 0, ""
		for i, page := range pages {
			if page.size() > most {
				t.Fatalf("page %d takes %d, more than %d", i, page.size(), most)
			}
			if last := i == len(pages)-1; last != (page.UpperBound == LastUpperBound) || last != (page.Version == 7) {
				t.Fatalf("page %d of %d is bound by %q and has version %d", i, len(pages), page.UpperBound, page.Version)
			}
			if _, err := ReadArchivePage(protocol.Entry{Key: page.Key(), Value: protocol.Encode(&ArchiveValue{Terminal: page.Terminal})}); err != nil {
				t.Fatal(err)
			}
			for _, r := range page.Terminal {
				if r.ID < low {
					t.Fatalf("%s is on the page behind %s", r.ID, low)
				}
				if found, ok := page.Lookup(r.ID); !ok || found != r {
					t.Fatalf("%s is not found", r.ID)
				}
			}
			count += len(page.Terminal)
			low = page.UpperBound
		}
		if count != len(ids) {
			t.Fatalf("%d ends on the pages, not %d", count, len(ids))
		}
	})
}

// A page that no version writes is refused, with its key.
func TestReadArchivePageRejectsCorruptPages(t *testing.T) {
	key := ArchivePrefix + "wk-5"
	for name, value := range map[string]any{
		"no page":          "text",
		"out of order":     ArchiveValue{Terminal: []TerminalRecord{{ID: "wk-2"}, {ID: "wk-1"}}},
		"twice":            ArchiveValue{Terminal: []TerminalRecord{{ID: "wk-2"}, {ID: "wk-2"}}},
		"behind its bound": ArchiveValue{Terminal: []TerminalRecord{{ID: "wk-6"}}},
		"negative tasks":   ArchiveValue{Terminal: []TerminalRecord{{ID: "wk-2", Tasks: -1}}},
		"no id":            ArchiveValue{Terminal: []TerminalRecord{{}}},
	} {
		p, err := ReadArchivePage(protocol.Entry{Key: key, Value: protocol.Encode(value)})
		if err == nil {
			t.Errorf("%s: accepted", name)
		}
		if p.UpperBound != "wk-5" {
			t.Errorf("%s: bound %q", name, p.UpperBound)
		}
		if name == "no page" && !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
