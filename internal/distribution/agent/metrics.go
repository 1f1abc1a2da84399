package agent

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics holds the Prometheus metrics of an agent.
type metrics struct {
	registry        *prometheus.Registry
	fetchedChunks   prometheus.Gauge
	downloadedBytes *prometheus.GaugeVec
	faults          *prometheus.GaugeVec
	activations     prometheus.Gauge
	evictedChunks   prometheus.Gauge
	diskBytes       prometheus.Gauge
	uploads         *prometheus.CounterVec
	uploadedBytes   prometheus.Counter
	controlBytes    prometheus.Counter
}

// metricOpts returns the options of a metric, with the agent's prefix.
func metricOpts(name, help string) prometheus.Opts {
	return prometheus.Opts{Namespace: "oakpick", Subsystem: "agent", Name: name, Help: help}
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts(metricOpts(name, help)))
}

func newGaugeVec(label, name, help string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts(metricOpts(name, help)), []string{label})
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts(metricOpts(name, help)))
}

func newCounterVec(label, name, help string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts(metricOpts(name, help)), []string{label})
}

// newMetrics creates the metrics of an agent and a registry for them.
func newMetrics(a *Agent) *metrics {
	m := &metrics{
		registry:      prometheus.NewRegistry(),
		fetchedChunks: newGauge("chunks_fetched", "Chunks that were fetched and verified since the start."),
		downloadedBytes: newGaugeVec("from", "downloaded_bytes",
			"Bytes of chunks received since the start, by where from."),
		faults: newGaugeVec("fault", "source_faults",
			"Requests to sources that failed since the start, by what was wrong."),
		activations:   newGauge("activations", "Versions that were activated since the start."),
		evictedChunks: newGauge("chunks_evicted", "Chunks that were removed to make room since the start."),
		diskBytes:     newGauge("disk_bytes", "Bytes that chunks take, with what is set aside for those under way."),
		uploads: newCounterVec("admitted", "uploads_total",
			"Requests of peers for chunks, by whether a slot was free."),
		uploadedBytes: newCounter("uploaded_bytes_total", "Bytes of chunks sent to peers."),
		controlBytes: newCounter("control_bytes_total",
			"Bytes to and from controllers, and of what is asked of peers beside chunks, both ways with headers."),
	}
	slotsInUse := prometheus.NewGaugeFunc(prometheus.GaugeOpts(metricOpts("upload_slots_in_use", "Upload slots in use.")),
		func() float64 { return float64(a.uploadSlots.InUse()) })
	m.registry.MustRegister(m.fetchedChunks, m.downloadedBytes, m.faults, m.activations, m.evictedChunks, m.diskBytes,
		m.uploads, m.uploadedBytes, m.controlBytes, slotsInUse,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return m
}

// countUpload counts a peer's request for a chunk.
func (m *metrics) countUpload(admitted bool) {
	label := "no"
	if admitted {
		label = "yes"
	}
	m.uploads.WithLabelValues(label).Inc()
}

// countControlBytes counts bytes sent or received that don't belong to chunks.
func (m *metrics) countControlBytes(bytes int) { m.controlBytes.Add(float64(bytes)) }

// update copies Core's counters and disk usage to the metrics.
func (m *metrics) update(c *Core) {
	m.fetchedChunks.Set(float64(c.counts.FetchedChunks))
	m.downloadedBytes.WithLabelValues("peers").Set(float64(c.counts.PeerBytes))
	m.downloadedBytes.WithLabelValues("store").Set(float64(c.counts.StoreBytes))
	for fault, n := range c.counts.Faults {
		m.faults.WithLabelValues(string(fault)).Set(float64(n))
	}
	m.activations.Set(float64(c.counts.Activations))
	m.evictedChunks.Set(float64(c.counts.EvictedChunks))
	m.diskBytes.Set(float64(c.disk.usedBytes))
}
