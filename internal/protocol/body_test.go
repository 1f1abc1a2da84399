package protocol

import (
	"testing"
)

func FuzzDecode(f *testing.F) {
	f.Add(encodeMap(f, validSubmission()))
	f.Add([]byte{0x81, 0xa1, 'x', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		if s, err := DecodeSubmission(body); err == nil && (s.Tasks < 1 || !ValidJobID(s.ID)) {
			t.Errorf("accepted %+v", s)
		}
		if h, err := DecodeHeartbeat(body); err == nil && h.Machine == "" {
			t.Error("accepted a heartbeat without a machine name")
		}
	})
}
