package protocol

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting is the maximum nesting depth of maps and arrays in a body, including the body itself.
const maxNesting = 8

// Encode returns the msgpack encoding of a message. All types of this package can be encoded;
// for a type that can't, it panics.
func Encode(v any) []byte {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encoding %T: %v", v, err))
	}
	return body
}

// Decode decodes a response of the state service, the cloud or a peer into v, a pointer. Unlike
// requests of users and workers, responses are only checked for the types of their fields.
func Decode(body []byte, v any) error { return msgpack.Unmarshal(body, v) }

// decodeRequest checks the body of a user's or a worker's request and decodes it into v, a pointer.
func decodeRequest(body []byte, v any) error {
	if err := checkBody(body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return wrapMalformed(err)
	}
	return nil
}

// checkBody checks that a body consists of exactly one map. It limits the recursion to
// maxNesting and compares declared lengths with the bytes that remain, so that neither
// deep nesting nor huge declared lengths consume memory.
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

// checkValue reads one value and the values nested in it, at most depth levels deep. unread is
// the decoder's input.
func checkValue(decoder *msgpack.Decoder, unread *bytes.Reader, depth int) error {
	if depth == 0 {
		return malformed("nested too deeply")
	}
	code, err := decoder.PeekCode()
	if err != nil {
		return malformed("cut short")
	}
	childCount, err := readHeader(decoder, unread, code)
	if err != nil {
		return err
	}
	if childCount > 2*unread.Len()+2 {
		return malformed("cut short")
	}
	for range childCount {
		if err := checkValue(decoder, unread, depth-1); err != nil {
			return err
		}
	}
	return nil
}

// readHeader reads the header of a map or an array and returns the number of values that
// follow. It reads scalars completely and returns 0. A declared length beyond the end of the
// body is rejected before any memory is allocated for it.
func readHeader(decoder *msgpack.Decoder, unread *bytes.Reader, code byte) (childCount int, err error) {
	switch {
	case isMap(code):
		pairs, err := decoder.DecodeMapLen()
		if err != nil {
			return 0, wrapMalformed(err)
		}
		if pairs > unread.Len() {
			return 0, malformed("cut short")
		}
		return 2 * pairs, nil
	case isArray(code):
		childCount, err = decoder.DecodeArrayLen()
	default:
		if fixedStringLength(code) > unread.Len() {
			return 0, malformed("cut short")
		}
		err = decoder.Skip()
	}
	if err != nil {
		return 0, wrapMalformed(err)
	}
	return childCount, nil
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

// fixedStringLength returns the length of a string whose first byte holds its length, and 0 for
// any other value: the library reads longer forms in steps, which bounds their allocation.
func fixedStringLength(code byte) int {
	if msgpcode.IsFixedString(code) {
		return int(code & msgpcode.FixedStrMask)
	}
	return 0
}
