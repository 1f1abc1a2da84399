package storage

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The index returns the same page as a scan of all pages for the first one with enough space.
func TestFreeSpaceIndexFindsFirstPageThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index freeSpaceIndex
		free := []int{} // by page
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			page := rapid.IntRange(0, len(free)).Draw(t, "page")
			bytes := rapid.IntRange(noFreeSpace, 100).Draw(t, "free")
			if page == len(free) {
				free = append(free, bytes)
			}
			free[page] = bytes
			index.set(page, bytes)
			size := rapid.IntRange(1, 100).Draw(t, "size")
			want := slices.IndexFunc(free, func(bytes int) bool { return bytes >= size })
			if got := index.first(size); got != want {
				t.Fatalf("page %d for %d, want %d of %v", got, size, want, free)
			}
		}
	})
}
