package agent

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics are an agent's, as Prometheus reads them.
type metrics struct {
	registry      *prometheus.Registry
	chunks        prometheus.Gauge
	downloaded    *prometheus.GaugeVec
	faults        *prometheus.GaugeVec
	activated     prometheus.Gauge
	evicted       prometheus.Gauge
	disk          prometheus.Gauge
	uploads       *prometheus.CounterVec
	uploadedBytes prometheus.Counter
	controlBytes  prometheus.Counter
}

func newMetrics(a *Agent) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "oakpick", Subsystem: "agent", Name: name, Help: help})
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		chunks:   gauge("chunks_fetched", "Chunks that were fetched and verified since the start."),
		downloaded: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "oakpick", Subsystem: "agent", Name: "downloaded_bytes", Help: "Bytes of chunks received since the start, by where from.",
		}, []string{"from"}),
		faults: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "oakpick", Subsystem: "agent", Name: "source_faults", Help: "Requests to sources that failed since the start, by what was wrong.",
		}, []string{"fault"}),
		activated: gauge("activations", "Versions that were activated since the start."),
		evicted:   gauge("chunks_evicted", "Chunks that were removed to make room since the start."),
		disk:      gauge("disk_bytes", "Bytes that chunks take, with what is set aside for those under way."),
		uploads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "oakpick", Subsystem: "agent", Name: "uploads_total", Help: "Requests of peers for chunks, by whether a slot was free.",
		}, []string{"admitted"}),
		uploadedBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "oakpick", Subsystem: "agent", Name: "uploaded_bytes_total", Help: "Bytes of chunks sent to peers.",
		}),
		controlBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "oakpick", Subsystem: "agent", Name: "control_bytes_total", Help: "Bytes to and from controllers, and of what is asked of peers beside chunks, both ways with headers.",
		}),
	}
	slots := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "oakpick", Subsystem: "agent", Name: "upload_slots_in_use", Help: "Upload slots in use.",
	}, func() float64 { return float64(a.slots.InUse()) })
	m.registry.MustRegister(m.chunks, m.downloaded, m.faults, m.activated, m.evicted, m.disk, m.uploads, m.uploadedBytes, m.controlBytes, slots,
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return m
}

// uploaded counts a request of a peer.
func (m *metrics) uploaded(admitted bool) {
	label := "no"
	if admitted {
		label = "yes"
	}
	m.uploads.WithLabelValues(label).Inc()
}

// control counts bytes that are no chunks'.
func (m *metrics) control(bytes int) { m.controlBytes.Add(float64(bytes)) }

// take copies what Core has counted.
func (m *metrics) take(c *Core) {
	m.chunks.Set(float64(c.counts.StoredChunks))
	m.downloaded.WithLabelValues("peers").Set(float64(c.counts.PeerBytes))
	m.downloaded.WithLabelValues("store").Set(float64(c.counts.StoreBytes))
	for fault, n := range c.counts.Faults {
		m.faults.WithLabelValues(string(fault)).Set(float64(n))
	}
	m.activated.Set(float64(c.counts.Activations))
	m.evicted.Set(float64(c.counts.EvictedChunks))
	m.disk.Set(float64(c.disk.usedBytes))
}
