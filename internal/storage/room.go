package storage

// roomIndex finds the first page with so much room without looking at all pages: a tree of
// the most room that any page below each node has.
type roomIndex struct {
	leaves int // a power of two
	most   []int
}

// set notes how much room a page has.
func (x *roomIndex) set(page, room int) {
	if page >= x.leaves {
		x.grow(page + 1)
	}
	i := x.leaves + page
	x.most[i] = room
	for i /= 2; i > 0; i /= 2 {
		x.most[i] = max(x.most[2*i], x.most[2*i+1])
	}
}

func (x *roomIndex) grow(pages int) {
	old := *x
	x.leaves = max(1, x.leaves)
	for x.leaves < pages {
		x.leaves *= 2
	}
	x.most = make([]int, 2*x.leaves)
	for i := range x.most {
		x.most[i] = noRoom
	}
	for page := range old.leaves {
		x.set(page, old.most[old.leaves+page])
	}
}

// noRoom is the room of a page that takes nothing for now.
const noRoom = -1

// first is the first page with so much room; -1: none has.
func (x *roomIndex) first(size int) int {
	if x.leaves == 0 || x.most[1] < size {
		return -1
	}
	i := 1
	for i < x.leaves {
		i *= 2
		if x.most[i] < size {
			i++
		}
	}
	return i - x.leaves
}
