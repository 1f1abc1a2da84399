package storage

import (
	"testing"

	"pgregory.net/rapid"
)

// The first page with room is the one that a look at every page finds.
func TestFreeSpaceIndexFindsFirstPageThatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index freeSpaceIndex
		rooms := []int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			page := rapid.IntRange(0, len(rooms)).Draw(t, "page")
			room := rapid.IntRange(noFreeSpace, 100).Draw(t, "room")
			if page == len(rooms) {
				rooms = append(rooms, room)
			}
			rooms[page] = room
			index.set(page, room)
			size := rapid.IntRange(1, 100).Draw(t, "size")
			want := -1
			for i, r := range rooms {
				if r >= size {
					want = i
					break
				}
			}
			if got := index.first(size); got != want {
				t.Fatalf("page %d for %d, not %d of %v", got, size, want, rooms)
			}
		}
	})
}
