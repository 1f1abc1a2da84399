// Package logging makes the programs' loggers.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
)

// levelVariable names the environment variable that says how much is logged.
const levelVariable = "LOG_LEVEL"

// New makes a logger that writes lines of key=value, as much as LOG_LEVEL says: error, info
// (the default) or debug.
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

// Fail writes what has ended a program, a line for each problem.
func Fail(w io.Writer, program string, err error) {
	for line := range strings.SplitSeq(err.Error(), "\n") {
		fmt.Fprintf(w, "%s: %s\n", program, line)
	}
}
