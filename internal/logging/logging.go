// Package logging creates the programs' loggers.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
)

// levelVariable names the environment variable with the least severe level that is logged.
const levelVariable = "LOG_LEVEL"

// New returns a logger that writes lines of key=value from the level of LOG_LEVEL on: error,
// info (the default) or debug.
func New(w io.Writer) *slog.Logger {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv(levelVariable)) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// WriteError writes the error that ends a program, a line for each of the errors that it joins.
func WriteError(w io.Writer, program string, err error) {
	for line := range strings.SplitSeq(err.Error(), "\n") {
		// The program ends: an error of this write has nowhere to go.
		_, _ = fmt.Fprintf(w, "%s: %s\n", program, line)
	}
}
