package scale

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"oakpick/internal/scale/testbed"
)

// WriteTable writes the report as plain-text tables.
func (r *Report) WriteTable(out io.Writer) error {
	t := table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	t.writeSteps(r.Steps)
	t.writeTimes(r.Steps)
	t.writeLines(r.Lines)
	t.writeFaults(r.Faults)
	t.writeVerdict(r)
	return t.writer.Flush()
}

// table writes rows whose cells are separated by tabs. Write errors are returned by Flush.
type table struct{ writer *tabwriter.Writer }

func (t table) row(format string, cells ...any) {
	_, _ = fmt.Fprintf(t.writer, format+"\n", cells...) // Flush returns the error
}

func (t table) writeSteps(steps []StepReport) {
	t.row("part\tworkers\ttasks\tstarts/s\tleader cores\tMB\tsockets\tfollower cores\tMB\tstate req/s\tputs/s\tkeys\tworker B/s\tmsg/s")
	for _, s := range steps {
		var follower ControllerUsage
		if len(s.Followers) > 0 {
			follower = s.Followers[0]
		}
		t.row("%.2f\t%.0f\t%.0f\t%.0f\t%.3f\t%.0f\t%d\t%.3f\t%.0f\t%.0f\t%.1f\t%d\t%.0f\t%.2f", s.Fraction, s.Workers, s.Running, s.StartsPerS,
			s.Leader.Cores, s.Leader.MemoryMB, s.Leader.Sockets, follower.Cores, follower.MemoryMB,
			s.MessagesPerS[string(testbed.StateTraffic)], s.StateWritesPerS, s.StateKeys, s.WorkerBytesPerS, s.WorkerMessagesPerS)
	}
}

func (t table) writeTimes(steps []StepReport) {
	t.row("")
	t.row("part\ttime of\tcount\tp50 ms\tp99 ms\tmax ms")
	for _, s := range steps {
		for _, operation := range slices.Sorted(maps.Keys(s.Latencies)) {
			times := s.Latencies[operation]
			t.row("%.2f\t%s\t%d\t%.1f\t%.1f\t%.1f", s.Fraction, operation, times.Count, times.P50, times.P99, times.Max)
		}
		t.row("%.2f\tanswers\t%v", s.Fraction, s.ResponseCounts)
	}
}

func (t table) writeLines(lines []Line) {
	if len(lines) == 0 {
		return
	}
	t.row("")
	t.row("line\tagainst\tintercept\tslope\terror\tR2\tpoints")
	for _, l := range lines {
		t.row("%s\t%s\t%.4g\t%.4g\t%.2g\t%.3f\t%d", l.Dependent, l.Independent, l.Intercept, l.Slope, l.StandardError, l.R2, l.Points)
	}
}

func (t table) writeFaults(faults []FaultReport) {
	if len(faults) == 0 {
		return
	}
	t.row("")
	t.row("fault\twithout answers s\twithout starts s\tkilled by lease\tdied\trules broken\turgent p99 ms")
	for _, f := range faults {
		t.row("%s\t%.1f\t%.1f\t%d\t%d\t%d\t%.0f", f.Fault, f.LongestAnswerGapS, f.LongestStartGapS, f.TasksLostToLeaseExpiry, f.TasksLostWithMachine, f.Violations, f.UrgentStartReceived.P99)
	}
}

func (t table) writeVerdict(r *Report) {
	t.row("")
	t.row("rules broken: %d", len(r.Violations))
	for _, violation := range r.Violations {
		t.row("  %s", violation)
	}
	for _, controller := range r.Crashed {
		t.row("%s", controller)
	}
	if r.Partial != "" {
		t.row("partial: %s", r.Partial)
	}
}
