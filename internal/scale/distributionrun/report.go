package distributionrun

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Report is the result of all runs.
type Report struct {
	Parameters Parameters  `json:"parameters"`
	Runs       []RunReport `json:"runs"`
	// MedianRatio is the median of RunReport.Ratio over the runs that have a ratio.
	MedianRatio float64 `json:"median_ratio"`
	// Partial is the reason why the runs ended early, or empty if they didn't.
	Partial string `json:"partial,omitempty"`
}

// RunReport is the result of one run. Sizes are in MiB, times in seconds.
type RunReport struct {
	AloneS      float64 `json:"alone_s"`                // time in which a single agent fetched a version
	FleetS      float64 `json:"fleet_s"`                // time until the last agent served the version, without the verification
	Ratio       float64 `json:"ratio"`                  // FleetS divided by AloneS
	StoreCopies float64 `json:"store_copies"`           // bytes that the store sent, divided by the version's size
	FromStoreS  float64 `json:"from_store_s,omitempty"` // time until as many clients as agents had fetched the version, using only the store
	Verified    int     `json:"verified"`               // number of agents that serve the complete, correct content

	ReadyS        map[string]float64 `json:"ready_s"` // by agent
	FromPeersMB   map[string]float64 `json:"from_peers_mb"`
	FromStoreMB   map[string]float64 `json:"from_store_mb"`
	FetchedMB     float64            `json:"fetched_mb"` // total of all agents
	Progress      []Progress         `json:"progress"`
	FaultsApplied []string           `json:"faults_applied,omitempty"` // in the order in which they were completed
	FailedAgents  []string           `json:"failed,omitempty"`
	Crashed       []string           `json:"ended_by_themselves,omitempty"` // controllers that exited unexpectedly

	MemoryMB             float64 `json:"agent_memory_mb"`           // maximum over the agents, after the fetch
	ControlBytesPerS     float64 `json:"agent_control_bytes_per_s"` // mean of the agents during the fetch
	IdleCores            float64 `json:"agent_idle_cores"`          // mean of the idle agents
	IdleControlBytesPerS float64 `json:"agent_idle_control_bytes_per_s"`
}

// Progress is the progress of the agents at one time, according to the leader.
type Progress struct {
	AtS         float64        `json:"at_s"` // since the start of the fetch
	StoreSentMB float64        `json:"store_sent_mb"`
	Chunks      map[string]int `json:"chunks"` // number of chunks held, by agent
}

func (r *Report) setMedianRatio() {
	var ratios []float64
	for _, run := range r.Runs {
		if run.Ratio > 0 {
			ratios = append(ratios, run.Ratio)
		}
	}
	if len(ratios) > 0 {
		slices.Sort(ratios)
		r.MedianRatio = stat.Quantile(0.5, stat.Empirical, ratios, nil)
	}
}

// Sound reports whether the runs are complete and no controller exited unexpectedly.
func (r *Report) Sound() bool {
	return r.Partial == "" && !slices.ContainsFunc(r.Runs, func(run RunReport) bool { return len(run.Crashed) > 0 })
}

// setReady records when an agent first served the wanted version. Later calls for the same agent
// have no effect.
func (r *RunReport) setReady(agent string, after time.Duration) {
	if r.ReadyS == nil {
		r.ReadyS = map[string]float64{}
	}
	if _, known := r.ReadyS[agent]; !known {
		r.ReadyS[agent] = after.Seconds()
	}
}

// setFetched records how much the agents have fetched, based on their metrics after the fetch.
func (r *RunReport) setFetched(byAgent map[string]agentMetrics, versionBytes int64) {
	r.FromPeersMB, r.FromStoreMB = map[string]float64{}, map[string]float64{}
	controlBytes := 0.0
	for agent, metrics := range byAgent {
		r.FromPeersMB[agent] = metrics[metricFromPeers] / mebibyte
		r.FromStoreMB[agent] = metrics[metricFromStore] / mebibyte
		r.MemoryMB = max(r.MemoryMB, metrics[metricMemory]/mebibyte)
		controlBytes += metrics[metricControlBytes]
	}
	agents := float64(len(byAgent))
	r.ControlBytesPerS = controlBytes / agents / r.FleetS
	r.FetchedMB = float64(versionBytes) / mebibyte * agents
}

// setIdle records the mean resource usage of idle agents, based on their metrics before and after an
// idle period.
func (r *RunReport) setIdle(before, after map[string]agentMetrics, seconds float64) {
	agents := float64(len(before))
	for agent, metrics := range before {
		growth := func(metric string) float64 { return after[agent][metric] - metrics[metric] }
		r.IdleCores += growth(metricCPUSeconds) / seconds / agents
		r.IdleControlBytesPerS += growth(metricControlBytes) / seconds / agents
	}
}

// WriteJSON writes the complete report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a table with one row per run.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, cells ...any) {
		_, _ = fmt.Fprintf(table, format+"\n", cells...) // Flush returns the error
	}
	row("run\talone s\tagents s\tratio\tstore copies\tfrom the store s\tverified\tagent MB\tcontrol B/s\tidle cores\tidle B/s\tfailed")
	for i, run := range r.Runs {
		row("%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%d\t%.0f\t%.0f\t%.4f\t%.0f\t%v", i+1, run.AloneS, run.FleetS, run.Ratio, run.StoreCopies, run.FromStoreS,
			run.Verified, run.MemoryMB, run.ControlBytesPerS, run.IdleCores, run.IdleControlBytesPerS, run.FailedAgents)
	}
	row("\nmedian ratio\t%.2f", r.MedianRatio)
	if r.Partial != "" {
		row("partial\t%s", r.Partial)
	}
	return table.Flush()
}
