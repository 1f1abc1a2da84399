package storage

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"oakpick/internal/protocol"
)

// The pages that replace a page contain every record exactly once and in order. Each record is
// below the bound of its page and not below the bound of the previous page, and no page exceeds
// the size limit.
func TestMergeSplitsArchivePagesWithinTheSizeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 99_999), 0, 300, rapid.ID[int]).Draw(t, "ids")
		page := &ArchivePage{UpperBound: LastUpperBound, Version: 7}
		var more []TerminalRecord
		for i, id := range ids {
			r := TerminalRecord{ID: fmt.Sprintf("wk-%d", id), Tasks: i}
			if i%2 == 0 {
				more = append(more, r)
			} else {
				page = page.Merge([]TerminalRecord{r}, 1<<20)[0]
			}
		}
		maxBytes := rapid.IntRange(300, 4000).Draw(t, "most")
		pages := page.Merge(more, maxBytes)
		records, lowerBound := 0, ""
		for i, page := range pages {
			if page.size() > maxBytes {
				t.Fatalf("page %d takes %d, more than %d", i, page.size(), maxBytes)
			}
			if last := i == len(pages)-1; last != (page.UpperBound == LastUpperBound) || last != (page.Version == 7) {
				t.Fatalf("page %d of %d has the bound %q and version %d", i, len(pages), page.UpperBound, page.Version)
			}
			checkArchivePage(t, page, lowerBound)
			records += len(page.Terminal)
			lowerBound = page.UpperBound
		}
		if records != len(ids) {
			t.Fatalf("%d records on the pages, want %d", records, len(ids))
		}
	})
}

// checkArchivePage fails unless the page can be decoded and each of its records is found.
func checkArchivePage(t *rapid.T, page *ArchivePage, lowerBound string) {
	t.Helper()
	value := protocol.Encode(&ArchiveValue{Terminal: page.Terminal})
	if _, err := DecodeArchivePage(protocol.Entry{Key: page.Key(), Value: value}); err != nil {
		t.Fatal(err)
	}
	for _, r := range page.Terminal {
		if r.ID < lowerBound {
			t.Fatalf("%s is on the page after %s", r.ID, lowerBound)
		}
		if found, ok := page.Lookup(r.ID); !ok || found != r {
			t.Fatalf("%s is not found", r.ID)
		}
	}
}

// An invalid page is rejected, but its bound is returned.
func TestDecodeArchivePageRejectsCorruptPages(t *testing.T) {
	for name, value := range map[string]ArchiveValue{
		"out of order":    {Terminal: []TerminalRecord{{ID: "wk-2"}, {ID: "wk-1"}}},
		"twice":           {Terminal: []TerminalRecord{{ID: "wk-2"}, {ID: "wk-2"}}},
		"above its bound": {Terminal: []TerminalRecord{{ID: "wk-6"}}},
		"negative tasks":  {Terminal: []TerminalRecord{{ID: "wk-2", Tasks: -1}}},
		"no id":           {Terminal: []TerminalRecord{{}}},
	} {
		t.Run(name, func(t *testing.T) {
			p, err := DecodeArchivePage(protocol.Entry{Key: ArchivePrefix + "wk-5", Value: protocol.Encode(value)})
			var corrupt *CorruptRecordError
			if !errors.As(err, &corrupt) {
				t.Errorf("error %v, want a *CorruptRecordError", err)
			}
			if p.UpperBound != "wk-5" {
				t.Errorf("bound %q", p.UpperBound)
			}
		})
	}
}

func TestDecodeArchivePageNamesTheKeyOfAnUndecodablePage(t *testing.T) {
	key := ArchivePrefix + "wk-5"
	p, err := DecodeArchivePage(protocol.Entry{Key: key, Value: protocol.Encode("text")})
	if err == nil || !strings.Contains(err.Error(), key) {
		t.Errorf("error %v, want one that names %s", err, key)
	}
	if p.UpperBound != "wk-5" {
		t.Errorf("bound %q", p.UpperBound)
	}
}
