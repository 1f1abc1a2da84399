package protocol

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Encode writes a message. The types of this package always encode.
func Encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encoding %T: %v", v, err))
	}
	return b
}

// Decode reads an answer of the state service, the cloud or a peer.
func Decode(b []byte, v any) error { return msgpack.Unmarshal(b, v) }

const maxNesting = 8

// checkBody walks a body without recursion deeper than maxNesting, so that
// neither nesting nor huge declared lengths cost memory, and insists on one
// map with nothing behind it.
func checkBody(body []byte) error {
	if len(body) > MaxBody {
		return malformed("body over %d bytes", MaxBody)
	}
	r := bytes.NewReader(body)
	d := msgpack.NewDecoder(r)
	c, err := d.PeekCode()
	if err != nil || !(msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32) {
		return malformed("body is not a map")
	}
	if err := checkValue(d, r, maxNesting); err != nil {
		return err
	}
	if _, err := d.PeekCode(); err == nil {
		return malformed("bytes behind the map")
	}
	return nil
}

func checkValue(d *msgpack.Decoder, r *bytes.Reader, depth int) error {
	if depth == 0 {
		return malformed("nested too deeply")
	}
	c, err := d.PeekCode()
	if err != nil {
		return malformed("cut short")
	}
	items := 0
	switch {
	case msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32:
		if items, err = d.DecodeMapLen(); err == nil {
			if items > r.Len() {
				return malformed("cut short")
			}
			items *= 2
		}
	case msgpcode.IsFixedArray(c) || c == msgpcode.Array16 || c == msgpcode.Array32:
		items, err = d.DecodeArrayLen()
	default:
		if length := declared(c, d); length > r.Len() {
			return malformed("cut short")
		}
		err = d.Skip()
	}
	if err != nil {
		return malformed("%v", err)
	}
	if items > 2*r.Len()+2 {
		return malformed("cut short")
	}
	for range items {
		if err := checkValue(d, r, depth-1); err != nil {
			return err
		}
	}
	return nil
}

// declared is a scalar's length where its first byte alone tells it; longer
// forms are bounded by the library, which reads in steps.
func declared(c byte, _ *msgpack.Decoder) int {
	if msgpcode.IsFixedString(c) {
		return int(c & msgpcode.FixedStrMask)
	}
	return 0
}
