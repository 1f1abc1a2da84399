// Command rig2 runs the cases of the second review: controllers as processes of their own, with small
// stand-ins for the state service, the cloud, the workers and the users, all on loopback addresses
// and on the real clock. The stand-ins follow PROTOCOL-oakpick.md.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the record file, a line each.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.started) }

func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-12s %s\n", r.now().Seconds(), who, fmt.Sprintf(format, args...))
}
