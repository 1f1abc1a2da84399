package logging

import (
	"errors"
	"strings"
	"testing"
)

func TestLevelFromEnvironment(t *testing.T) {
	for level, want := range map[string]string{
		"error": "E", "ERROR": "E", "info": "EI", "": "EI", "unknown": "EI", "debug": "EID",
	} {
		t.Run("level "+level, func(t *testing.T) {
			t.Setenv(levelEnvVar, level)
			var out strings.Builder
			logger := New(&out)
			logger.Error("E")
			logger.Info("I")
			logger.Debug("D")
			got := ""
			for _, message := range []string{"E", "I", "D"} {
				if strings.Contains(out.String(), "msg="+message) {
					got += message
				}
			}
			if got != want {
				t.Errorf("logged %s, want %s", got, want)
			}
		})
	}
}

func TestWriteErrorWritesALineForEachError(t *testing.T) {
	var out strings.Builder
	WriteError(&out, "oakpick", errors.Join(errors.New("first"), errors.New("second")))
	if got, want := out.String(), "oakpick: first\noakpick: second\n"; got != want {
		t.Errorf("wrote %q, want %q", got, want)
	}
}
