package scale

import "testing"

// The pages of ended jobs are several, each within the limit on values.
func TestEndedPagesFitIntoValues(t *testing.T) {
	pages := endedPages(1000, 4)
	for key, value := range pages {
		if len(value) > 4<<10 {
			t.Errorf("%s has %d bytes", key, len(value))
		}
	}
	if len(pages) < 5 {
		t.Errorf("%d pages", len(pages))
	}
}
