package storage

// noFreeSpace is the free space of a page that doesn't accept items at the moment.
const noFreeSpace = -1

// freeSpaceIndex finds the first page with enough free space without scanning all pages.
// It is a segment tree: each node stores the maximum of the pages below it. The zero value
// is an empty index.
type freeSpaceIndex struct {
	leaves  int   // number of leaves, a power of two
	maxFree []int // by node; the children of node i are 2i and 2i+1, and the leaves are last
}

// set records the number of free bytes of a page.
func (x *freeSpaceIndex) set(page, free int) {
	if page >= x.leaves {
		x.grow(page + 1)
	}
	i := x.leaves + page
	x.maxFree[i] = free
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

// first returns the first page with at least size free bytes, or -1 if there is none.
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
