package protocol

import (
	"errors"
	"maps"
	"testing"
)

func TestDecodeHeartbeatRejectsMissingFields(t *testing.T) {
	fields := map[string]any{
		"host": "i-1", "address": "10.1.0.1:9000", "host_kind": "g8", "site": "a", "loaners": true, "shift": 1, "tick": 88, "baton": 41,
		"pieces": []any{map[string]any{"piece": "wk-000398/0", "try": 1, "status": "ended", "cause": "done"}},
	}
	h, err := DecodeHeartbeat(encodeMap(t, fields))
	if err != nil || h.InterruptionInS >= 0 || len(h.Tasks) != 1 || h.Tasks[0].ExitCause != ExitDone || h.Tasks[0].Job != "wk-000398" {
		t.Fatalf("%+v, %v", h, err)
	}
	for field := range fields {
		t.Run(field, func(t *testing.T) {
			rest := maps.Clone(fields)
			delete(rest, field)
			if _, err := DecodeHeartbeat(encodeMap(t, rest)); !errors.Is(err, ErrMalformed) {
				t.Errorf("without %s: got %v", field, err)
			}
		})
	}
}
