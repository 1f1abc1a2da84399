package scale

import (
	"encoding/json"
	"fmt"
	"io"

	"oakpick/internal/latency"
)

// Report is what a run found.
type Report struct {
	Parameters Parameters    `json:"parameters"`
	Steps      []StepReport  `json:"steps"`
	Lines      []Line        `json:"lines"`
	Faults     []FaultReport `json:"faults"`
	// Violations are the broken rules of the protocol, by the simulated world's record.
	Violations []string `json:"broken"`
	// Crashed lists the controllers that ended by themselves.
	Crashed []string `json:"ended_by_themselves"`
	// Partial says why the run ended early, if it did.
	Partial string `json:"partial,omitempty"`
}

// StepReport is what one size took. Figures are means over the measurement.
type StepReport struct {
	Part    float64 `json:"part"` // of the full size
	Workers float64 `json:"workers_up"`
	Running float64 `json:"tasks_on_machines"`
	Starts  float64 `json:"starts_per_s"`

	Leader    RoleUsage   `json:"leader"`
	Followers []RoleUsage `json:"followers"`
	// LeaderChanged tells that another controller led at the end than at the beginning.
	LeaderChanged bool `json:"leader_changed"`

	MessagesPerS map[string]float64 `json:"messages_per_s"`       // by kind, as the simulated side counts
	BytesPerS    map[string]float64 `json:"bytes_per_s"`          // by kind, both ways
	HandledPerS  map[string]float64 `json:"leader_handled_per_s"` // by kind, as the leader counts

	WorkerMessagesPerS float64 `json:"worker_messages_per_s"` // of each worker: heartbeats and commands
	WorkerBytesPerS    float64 `json:"worker_bytes_per_s"`    // of each worker, both ways, with headers

	StateKeys       int     `json:"state_keys"`
	StateBytes      int     `json:"state_bytes"`
	StateWritesPerS float64 `json:"state_writes_per_s"`

	Times           map[string]latency.Summary `json:"times"`   // by operation
	Answers         map[string]int64           `json:"answers"` // by operation and status
	JobsNotAccepted int                        `json:"jobs_not_accepted"`

	windows []window
}

// RoleUsage is what a controller took while it was measured.
type RoleUsage struct {
	Name     string  `json:"name"`
	Cores    float64 `json:"cores"`     // processor seconds a second
	MemoryMB float64 `json:"memory_mb"` // resident
	Sockets  int     `json:"sockets"`
}

// FaultReport is what a fault did.
type FaultReport struct {
	Fault string `json:"fault"`
	// WithoutAnswersS and WithoutStartsS are the longest times in seconds for which no user was
	// answered and no start was executed, from the fault until the end of the watch.
	WithoutAnswersS float64         `json:"longest_without_answers_s"`
	WithoutStartsS  float64         `json:"longest_without_starts_s"`
	KilledByLease   int             `json:"tasks_killed_by_lease"`
	TasksDied       int             `json:"tasks_on_machines_that_died"`
	Violations      int             `json:"rules_broken"`
	Urgent          latency.Summary `json:"urgent_start_received"`
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Sound tells whether no rule was broken, no controller ended by itself and nothing was left
// out.
func (r *Report) Sound() bool {
	return len(r.Violations) == 0 && len(r.Crashed) == 0 && r.Partial == ""
}

// Summary is the step in one line of progress.
func (r *StepReport) Summary() string {
	return fmt.Sprintf("%.2f: %.0f workers, %.0f tasks, %.0f starts/s; leader %.3f cores, %.0f MB; submit p99 %.0f ms, urgent start p99 %.0f ms",
		r.Part, r.Workers, r.Running, r.Starts, r.Leader.Cores, r.Leader.MemoryMB, r.Times["submit"].P99, r.Times[urgentStartReceived].P99)
}
