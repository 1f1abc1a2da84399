package scale

import (
	"encoding/json"
	"fmt"
	"io"

	"oakpick/internal/latency"
)

// Report is the result of a run.
type Report struct {
	Parameters Parameters    `json:"parameters"`
	Steps      []StepReport  `json:"steps"`
	Lines      []Line        `json:"lines"`
	Faults     []FaultReport `json:"faults"`
	// Violations are the violations of the protocol's rules that the simulated world recorded.
	Violations []string `json:"broken"`
	// Crashed lists the controllers that exited without being killed by the experiment.
	Crashed []string `json:"ended_by_themselves"`
	// Partial is the reason why the run ended early, or empty if the run is complete.
	Partial string `json:"partial,omitempty"`
}

// StepReport holds the figures of one step. Rates and the numbers of workers and tasks are means over
// the measurement.
type StepReport struct {
	Fraction   float64 `json:"part"` // of the full size
	Workers    float64 `json:"workers_up"`
	Running    float64 `json:"tasks_on_machines"`
	StartsPerS float64 `json:"starts_per_s"`

	Leader    ControllerUsage   `json:"leader"`
	Followers []ControllerUsage `json:"followers"`
	// LeaderChanged is true unless the same controller led at the beginning and at the end of the
	// measurement.
	LeaderChanged bool `json:"leader_changed"`

	MessagesPerS map[string]float64 `json:"messages_per_s"`       // by kind, counted by the simulated side
	BytesPerS    map[string]float64 `json:"bytes_per_s"`          // by kind, both directions
	HandledPerS  map[string]float64 `json:"leader_handled_per_s"` // by kind, counted by the leader

	WorkerMessagesPerS float64 `json:"worker_messages_per_s"` // per worker: heartbeats and commands
	WorkerBytesPerS    float64 `json:"worker_bytes_per_s"`    // per worker, both directions, with headers

	StateKeys       int     `json:"state_keys"`
	StateBytes      int     `json:"state_bytes"`
	StateWritesPerS float64 `json:"state_writes_per_s"`

	Latencies       map[string]latency.Summary `json:"times"`   // by operation
	ResponseCounts  map[string]int64           `json:"answers"` // by operation and status
	JobsNotAccepted int                        `json:"jobs_not_accepted"`

	windows []window
}

// ControllerUsage is the resource usage of a controller: the mean CPU usage during the measurement, and
// the memory and sockets at its end.
type ControllerUsage struct {
	Name     string  `json:"name"`
	Cores    float64 `json:"cores"`     // CPU seconds per second
	MemoryMB float64 `json:"memory_mb"` // resident
	Sockets  int     `json:"sockets"`
}

// FaultReport holds the effects of a fault.
type FaultReport struct {
	Fault string `json:"fault"`
	// LongestAnswerGapS is the longest period without an answer to a user, and LongestStartGapS the
	// longest without an executed start, in seconds, from the injection of the fault until the end
	// of the recovery time.
	LongestAnswerGapS      float64         `json:"longest_without_answers_s"`
	LongestStartGapS       float64         `json:"longest_without_starts_s"`
	TasksLostToLeaseExpiry int             `json:"tasks_killed_by_lease"`
	TasksLostWithMachine   int             `json:"tasks_on_machines_that_died"`
	Violations             int             `json:"rules_broken"`
	UrgentStartReceived    latency.Summary `json:"urgent_start_received"`
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Sound reports whether the run is complete, no rule was violated and no controller crashed.
func (r *Report) Sound() bool {
	return len(r.Violations) == 0 && len(r.Crashed) == 0 && r.Partial == ""
}

// Summary returns a one-line summary of the step for the progress log.
func (r *StepReport) Summary() string {
	return fmt.Sprintf("%.2f: %.0f workers, %.0f tasks, %.0f starts/s; leader %.3f cores, %.0f MB; submit p99 %.0f ms, urgent start p99 %.0f ms",
		r.Fraction, r.Workers, r.Running, r.StartsPerS, r.Leader.Cores, r.Leader.MemoryMB, r.Latencies["submit"].P99, r.Latencies[urgentStartReceived].P99)
}
