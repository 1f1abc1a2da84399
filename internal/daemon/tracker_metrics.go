package daemon

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oakpick/internal/distribution/tracker"
)

// trackerMetrics holds the Prometheus metrics of the tracker.
type trackerMetrics struct {
	registry    *prometheus.Registry
	shed        prometheus.Counter
	step        prometheus.Histogram
	agents      prometheus.Gauge
	inventories prometheus.Gauge
	stale       prometheus.Gauge
	leases      prometheus.Gauge
	revoked     prometheus.Gauge
}

func newTrackerMetrics() *trackerMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "oakpick", Subsystem: "tracker", Name: name, Help: help})
	}
	m := &trackerMetrics{
		registry: prometheus.NewRegistry(),
		shed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "oakpick", Subsystem: "tracker", Name: "requests_shed_total", Help: "Requests that were refused because too many were in progress.",
		}),
		step: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "oakpick", Subsystem: "tracker", Name: "step_seconds", Help: "Time of a step, which takes a batch of commands.",
			Buckets: prometheus.ExponentialBuckets(1e-6, 4, 10),
		}),
		agents:      gauge("agents", "Agents that were heard lately; 0 unless this controller leads."),
		inventories: gauge("inventories", "Inventories taken in since this controller began to lead."),
		stale:       gauge("inventories_stale", "Inventories that were older than one known, since this controller began to lead."),
		leases:      gauge("leases_granted", "Leases on upload slots granted since this controller began to lead."),
		revoked:     gauge("leases_revoked", "Of these, leases that another taker lost."),
	}
	m.registry.MustRegister(m.shed, m.step, m.agents, m.inventories, m.stale, m.leases, m.revoked)
	return m
}

func (m *trackerMetrics) recordStep(d time.Duration, t *tracker.Tracker) {
	m.step.Observe(d.Seconds())
	counts := t.Counts()
	m.agents.Set(float64(t.AgentCount()))
	m.inventories.Set(float64(counts.Inventories))
	m.stale.Set(float64(counts.StaleInventories))
	m.leases.Set(float64(counts.LeasesGranted))
	m.revoked.Set(float64(counts.LeasesReassigned))
}
