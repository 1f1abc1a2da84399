package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"oakpick/internal/latency"
)

// Report is what a run found.
type Report struct {
	Parameters Parameters    `json:"parameters"`
	Steps      []StepReport  `json:"steps"`
	Lines      []Line        `json:"lines"`
	Faults     []FaultReport `json:"faults"`
	// Broken lists the rules that were broken, by the hollow side's record.
	Broken []string `json:"broken"`
	// Ended lists the controllers that ended by themselves.
	Ended []string `json:"ended_by_themselves"`
	// Partial says why the run ended early, if it did.
	Partial string `json:"partial,omitempty"`
}

// StepReport is what one size took.
type StepReport struct {
	Part    float64 `json:"part"`
	Workers float64 `json:"workers_up"`
	Running float64 `json:"tasks_on_machines"`
	Starts  float64 `json:"starts_per_s"`

	Leader    Role   `json:"leader"`
	Followers []Role `json:"followers"`
	// LeaderChanged tells that another led at the end than at the beginning.
	LeaderChanged bool `json:"leader_changed"`

	MessagesPerS map[string]float64 `json:"messages_per_s"` // by kind, as the hollow side counts
	BytesPerS    map[string]float64 `json:"bytes_per_s"`
	HandledPerS  map[string]float64 `json:"leader_handled_per_s"` // by kind, as the leader counts

	WorkerMessagesPerS float64 `json:"worker_messages_per_s"` // each: reports, and commands
	WorkerBytesPerS    float64 `json:"worker_bytes_per_s"`    // both ways, with headers

	StateKeys       int     `json:"state_keys"`
	StateBytes      int     `json:"state_bytes"`
	StateWritesPerS float64 `json:"state_writes_per_s"`

	Times           map[string]latency.Summary `json:"times"`
	Answers         map[string]int64           `json:"answers"`
	JobsNotAccepted int                        `json:"jobs_not_accepted"`

	windows []window
}

// Role is what a controller took while it was measured.
type Role struct {
	Name     string  `json:"name"`
	Cores    float64 `json:"cores"` // processor time a second
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// FaultReport is what a fault did.
type FaultReport struct {
	Fault string `json:"fault"`
	// WithoutAnswers and WithoutStarts are the longest times for which no user was
	// answered and no start was executed, from the fault until the end of the watch.
	WithoutAnswers float64         `json:"longest_without_answers_s"`
	WithoutStarts  float64         `json:"longest_without_starts_s"`
	KilledByLease  int             `json:"tasks_killed_by_lease"`
	TasksDied      int             `json:"tasks_on_machines_that_died"`
	Broken         int             `json:"rules_broken"`
	Urgent         latency.Summary `json:"urgent_start_received"`
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }
	line("part\tworkers\ttasks\tstarts/s\tleader cores\tMB\tsockets\tfollower cores\tMB\tstate req/s\tputs/s\tkeys\tworker B/s\tmsg/s")
	for _, s := range r.Steps {
		f := Role{}
		if len(s.Followers) > 0 {
			f = s.Followers[0]
		}
		line("%.2f\t%.0f\t%.0f\t%.0f\t%.3f\t%.0f\t%d\t%.3f\t%.0f\t%.0f\t%.1f\t%d\t%.0f\t%.2f", s.Part, s.Workers, s.Running, s.Starts,
			s.Leader.Cores, s.Leader.MemoryMB, s.Leader.Sockets, f.Cores, f.MemoryMB,
			s.MessagesPerS[string(kindState)], s.StateWritesPerS, s.StateKeys, s.WorkerBytesPerS, s.WorkerMessagesPerS)
	}
	line("")
	line("part\ttime of\tcount\tp50 ms\tp99 ms\tmax ms")
	for _, s := range r.Steps {
		for _, what := range slices.Sorted(maps.Keys(s.Times)) {
			l := s.Times[what]
			line("%.2f\t%s\t%d\t%.1f\t%.1f\t%.1f", s.Part, what, l.Count, l.P50, l.P99, l.Max)
		}
		line("%.2f\tanswers\t%v", s.Part, s.Answers)
	}
	if len(r.Lines) > 0 {
		line("")
		line("line\tagainst\tintercept\tslope\terror\tR2\tpoints")
		for _, l := range r.Lines {
			line("%s\t%s\t%.4g\t%.4g\t%.2g\t%.3f\t%d", l.Of, l.Against, l.Intercept, l.Slope, l.Error, l.R2, l.Points)
		}
	}
	if len(r.Faults) > 0 {
		line("")
		line("fault\twithout answers s\twithout starts s\tkilled by lease\tdied\trules broken\turgent p99 ms")
		for _, f := range r.Faults {
			line("%s\t%.1f\t%.1f\t%d\t%d\t%d\t%.0f", f.Fault, f.WithoutAnswers, f.WithoutStarts, f.KilledByLease, f.TasksDied, f.Broken, f.Urgent.P99)
		}
	}
	line("")
	line("rules broken: %d", len(r.Broken))
	for _, b := range r.Broken {
		line("  %s", b)
	}
	for _, e := range r.Ended {
		line("%s", e)
	}
	if r.Partial != "" {
		line("partial: %s", r.Partial)
	}
	return w.Flush()
}

// Sound tells whether no rule was broken, no controller ended by itself and nothing was
// left out.
func (r *Report) Sound() bool { return len(r.Broken) == 0 && len(r.Ended) == 0 && r.Partial == "" }

// Summary is one line for the progress.
func (s *StepReport) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.2f: %.0f workers, %.0f tasks, %.0f starts/s; leader %.3f cores, %.0f MB; submit p99 %.0f ms, urgent start p99 %.0f ms",
		s.Part, s.Workers, s.Running, s.Starts, s.Leader.Cores, s.Leader.MemoryMB, s.Times["submit"].P99, s.Times["urgent start received"].P99)
	return b.String()
}
