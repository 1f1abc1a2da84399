package scale

import "testing"

// Ended jobs are divided into several pages, none of which exceeds the limit on values.
func TestEndedPagesFitIntoValues(t *testing.T) {
	pages := endedPages(1000, 4)
	for key, value := range pages {
		if len(value) > 4<<10 {
			t.Errorf("%s has %d bytes", key, len(value))
		}
	}
	if len(pages) < 5 {
		t.Errorf("%d pages, want at least 5", len(pages))
	}
}
