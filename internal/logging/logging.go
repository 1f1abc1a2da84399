// Package logging creates loggers and prints errors for the command-line programs.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
)

// levelEnvVar is the environment variable that sets the minimum level of log lines.
const levelEnvVar = "LOG_LEVEL"

// New returns a logger that writes key=value lines at the level in LOG_LEVEL and above: error,
// info (the default) or debug.
func New(w io.Writer) *slog.Logger {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv(levelEnvVar)) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

// WriteError writes the error that ends a program, one line for each of the joined errors.
func WriteError(w io.Writer, program string, err error) {
	for line := range strings.SplitSeq(err.Error(), "\n") {
		// The program exits, so a failed write can't be reported anywhere.
		_, _ = fmt.Fprintf(w, "%s: %s\n", program, line)
	}
}
