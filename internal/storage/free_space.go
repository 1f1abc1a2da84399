package storage

// freeSpaceIndex finds the first page with so much room without looking at all pages: a tree of
// the most room that any page below each node has.
type freeSpaceIndex struct {
	leaves  int // a power of two
	maxFree []int
}

// set notes how much room a page has.
func (x *freeSpaceIndex) set(page, room int) {
	if page >= x.leaves {
		x.grow(page + 1)
	}
	i := x.leaves + page
	x.maxFree[i] = room
	for i /= 2; i > 0; i /= 2 {
		x.maxFree[i] = max(x.maxFree[2*i], x.maxFree[2*i+1])
	}
}

func (x *freeSpaceIndex) grow(pages int) {
	old := *x
	x.leaves = max(1, x.leaves)
	for x.leaves < pages {
		x.leaves *= 2
	}
	x.maxFree = make([]int, 2*x.leaves)
	for i := range x.maxFree {
		x.maxFree[i] = noFreeSpace
	}
	for page := range old.leaves {
		x.set(page, old.maxFree[old.leaves+page])
	}
}

// noFreeSpace is the room of a page that takes nothing for now.
const noFreeSpace = -1

// first is the first page with so much room; -1: none has.
func (x *freeSpaceIndex) first(size int) int {
	if x.leaves == 0 || x.maxFree[1] < size {
		return -1
	}
	i := 1
	for i < x.leaves {
		i *= 2
		if x.maxFree[i] < size {
			i++
		}
	}
	return i - x.leaves
}
