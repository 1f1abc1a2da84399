package testbed

import (
	"fmt"
	"io"
	"sync"
)

// ProgressLog writes what a run is at, a line at a time, for any goroutine.
type ProgressLog struct {
	mu     sync.Mutex
	writer io.Writer
}

// NewProgressLog returns a log that writes to a writer.
func NewProgressLog(writer io.Writer) *ProgressLog { return &ProgressLog{writer: writer} }

// Logf writes a line. A run goes on if that fails.
func (p *ProgressLog) Logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.writer, format+"\n", args...) // the run doesn't depend on its progress
}
