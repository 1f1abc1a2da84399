package testbed

import (
	"fmt"
	"io"
	"sync"
)

// ProgressLog writes progress lines of a run. Several goroutines may use it at the same time.
type ProgressLog struct {
	mu     sync.Mutex
	writer io.Writer
}

// NewProgressLog returns a ProgressLog that writes to the writer.
func NewProgressLog(writer io.Writer) *ProgressLog { return &ProgressLog{writer: writer} }

// Logf writes a line. It ignores write errors, because a run doesn't depend on its progress log.
func (p *ProgressLog) Logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.writer, format+"\n", args...)
}
