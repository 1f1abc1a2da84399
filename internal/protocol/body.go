package protocol

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting is how deeply maps and arrays of a body may be nested, the body itself included.
const maxNesting = 8

// Encode writes a message. The types of this package always encode; it panics on any other
// that doesn't.
func Encode(v any) []byte {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encoding %T: %v", v, err))
	}
	return body
}

// Decode reads an answer of the state service, the cloud or a peer into v, a pointer. Unlike
// the requests of users and workers, it isn't checked beyond the types of its fields.
func Decode(body []byte, v any) error { return msgpack.Unmarshal(body, v) }

// decodeRequest checks the body of a user's or a worker's request and reads it into v, a pointer.
func decodeRequest(body []byte, v any) error {
	if err := checkBody(body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return malformedBy(err)
	}
	return nil
}

// checkBody walks a body without recursion deeper than maxNesting, so that
// neither nesting nor huge declared lengths cost memory, and insists on one
// map with nothing behind it.
func checkBody(body []byte) error {
	if len(body) > MaxBody {
		return malformed("body over %d bytes", MaxBody)
	}
	unread := bytes.NewReader(body)
	decoder := msgpack.NewDecoder(unread)
	code, err := decoder.PeekCode()
	if err != nil || !isMap(code) {
		return malformed("body is not a map")
	}
	if err := checkValue(decoder, unread, maxNesting); err != nil {
		return err
	}
	if _, err := decoder.PeekCode(); err == nil {
		return malformed("bytes behind the map")
	}
	return nil
}

// checkValue reads one value and what is nested in it, at most depth levels. unread is what the
// decoder reads from.
func checkValue(decoder *msgpack.Decoder, unread *bytes.Reader, depth int) error {
	if depth == 0 {
		return malformed("nested too deeply")
	}
	code, err := decoder.PeekCode()
	if err != nil {
		return malformed("cut short")
	}
	children, err := readHeader(decoder, unread, code)
	if err != nil {
		return err
	}
	if children > 2*unread.Len()+2 {
		return malformed("cut short")
	}
	for range children {
		if err := checkValue(decoder, unread, depth-1); err != nil {
			return err
		}
	}
	return nil
}

// readHeader reads a map's or an array's length, and gives the number of values in it; a scalar
// it reads whole. A declared length that the body can't hold is refused before anything is
// allocated for it.
func readHeader(decoder *msgpack.Decoder, unread *bytes.Reader, code byte) (children int, err error) {
	switch {
	case isMap(code):
		pairs, err := decoder.DecodeMapLen()
		if err != nil {
			return 0, malformedBy(err)
		}
		if pairs > unread.Len() {
			return 0, malformed("cut short")
		}
		return 2 * pairs, nil
	case isArray(code):
		children, err = decoder.DecodeArrayLen()
	default:
		if shortStringLength(code) > unread.Len() {
			return 0, malformed("cut short")
		}
		err = decoder.Skip()
	}
	if err != nil {
		return 0, malformedBy(err)
	}
	return children, nil
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

// shortStringLength is a scalar's length where its first byte alone tells it; longer
// forms are bounded by the library, which reads in steps.
func shortStringLength(code byte) int {
	if msgpcode.IsFixedString(code) {
		return int(code & msgpcode.FixedStrMask)
	}
	return 0
}
