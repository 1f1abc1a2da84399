package protocol

import (
	"bytes"
	"testing"
)

// The bodies of errors and redirects have exactly the expected bytes: a MessagePack map with one
// entry, or an empty map if no leader is known.
func TestErrorAndRedirectEncoding(t *testing.T) {
	for name, c := range map[string]struct {
		got  []byte
		want string
	}{
		"error":               {EncodeError("no"), "\x81\xa5error\xa2no"},
		"empty error":         {EncodeError(""), "\x81\xa5error\xa0"},
		"redirect":            {EncodeRedirect("ctl-1"), "\x81\xa7foreman\xa5ctl-1"},
		"redirect, no leader": {EncodeRedirect(""), "\x80"},
	} {
		t.Run(name, func(t *testing.T) {
			if !bytes.Equal(c.got, []byte(c.want)) {
				t.Errorf("got %q, want %q", c.got, c.want)
			}
		})
	}
}

// Encoding and decoding commands returns the same commands.
func TestCommandsRoundTrip(t *testing.T) {
	commands := []Command{
		{Verb: Start, Attempt: Attempt{Job: "wk-1", Task: 0, Number: 2}},
		{Verb: Stop, Attempt: Attempt{Job: "wk-1", Task: 1, Number: 1}, GracePeriodS: 2.5},
		{Verb: Forget, Attempt: Attempt{Job: "wk-2", Task: 99_999, Number: 1}},
	}
	got, err := DecodeCommands(EncodeCommands(41, 7, commands))
	if err != nil || got.FencingToken != 41 || got.Incarnation != 7 || !got.HasTokenAndIncarnation || len(got.Commands) != len(commands) {
		t.Fatalf("%+v, %v", got, err)
	}
	for i, command := range commands {
		if got.Commands[i] != command {
			t.Errorf("command %d: %+v, want %+v", i, got.Commands[i], command)
		}
	}
}
