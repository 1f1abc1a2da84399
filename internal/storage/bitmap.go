package storage

import (
	"encoding/hex"
	"math/bits"
)

// Bitmap is a set of small non-negative integers, stored as hexadecimal text. The zero
// value is the empty set.
type Bitmap []byte

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool { return i>>3 < len(b) && b[i>>3]&(1<<(i&7)) != 0 }

// Set adds i to the set.
func (b *Bitmap) Set(i int) {
	for len(*b) <= i>>3 {
		*b = append(*b, 0)
	}
	(*b)[i>>3] |= 1 << (i & 7)
}

// Len returns one more than the largest number in the set, or 0 if it is empty.
func (b Bitmap) Len() int {
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] != 0 {
			return i<<3 + bits.Len8(b[i])
		}
	}
	return 0
}

// Text returns the stored form.
func (b Bitmap) Text() string { return hex.EncodeToString(b) }

// MustParseBitmap is like ParseBitmap, but panics if the text is invalid. It is for records that were
// checked before.
func MustParseBitmap(s string) Bitmap {
	b, err := ParseBitmap(s)
	if err != nil {
		panic(err)
	}
	return b
}

// ParseBitmap decodes the stored form. The error is that of hex.DecodeString.
func ParseBitmap(s string) (Bitmap, error) { return hex.DecodeString(s) }
