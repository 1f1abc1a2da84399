package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// Extensions are what a file given by --extensions switches on. A section that is absent
// switches nothing on.
type Extensions struct {
	Distribution *Distribution `toml:"distribution"`
}

// Distribution has the controllers serve the tracker of weights.
type Distribution struct {
	// Port is that of the listener, at the address of cluster_listen.
	Port int `toml:"port" validate:"gte=1,lte=65535"`
	// StoreFetchers is how many agents may fetch from the store at a time.
	StoreFetchers int `toml:"store_slots" validate:"gte=1,lte=1024"`
	// Connections is how many the listener holds; 0: a quarter of max_connections. They are
	// taken from those of users and workers.
	Connections int `toml:"connections" validate:"gte=0,lte=1000000"`
	// InventoryIntervalS is the time between the inventories of an agent that fetches, IdleInventoryIntervalS
	// between those of one that doesn't; 0: half of report_s, and twice that.
	InventoryIntervalS     float64 `toml:"report_s" validate:"gte=0,lte=3600"`
	IdleInventoryIntervalS float64 `toml:"idle_report_s" validate:"gte=0,lte=3600"`
}

// Ratios to the settings, where the file gives no figure.
const (
	trackerConnectionShare = 4   // of max_connections
	trackerReportShare     = 0.5 // of report_s
	trackerIdleShare       = 2   // of report_s
)

// LoadExtensions reads and checks a file of extensions and derives what it doesn't give. Its
// error names every key at fault.
func LoadExtensions(path string, cfg *Config) (Extensions, error) {
	var e Extensions
	if err := LoadTOML(path, &e); err != nil {
		return e, err
	}
	if e.Distribution == nil {
		return e, nil
	}
	d, s := e.Distribution, &cfg.Settings
	if d.Connections == 0 {
		d.Connections = s.Limits.MaxConnections / trackerConnectionShare
	}
	if d.InventoryIntervalS == 0 {
		d.InventoryIntervalS = s.Workers.HeartbeatIntervalS * trackerReportShare
	}
	if d.IdleInventoryIntervalS == 0 {
		d.IdleInventoryIntervalS = s.Workers.HeartbeatIntervalS * trackerIdleShare
	}
	var problems []error
	if d.IdleInventoryIntervalS < d.InventoryIntervalS {
		problems = append(problems, fmt.Errorf("%s: distribution.idle_report_s: %g is less than report_s, %g", path, d.IdleInventoryIntervalS, d.InventoryIntervalS))
	}
	if _, port, err := net.SplitHostPort(cfg.PeerListen); err != nil || port == strconv.Itoa(d.Port) {
		problems = append(problems, fmt.Errorf("%s: distribution.port: %d is that of cluster_listen", path, d.Port))
	}
	s.ExtensionSockets = d.Connections
	for _, p := range s.budgets() {
		problems = append(problems, fmt.Errorf("%s: distribution.connections: %w", path, p))
	}
	return e, errors.Join(problems...)
}

// TrackerAddress is where a controller serves the tracker.
func (d *Distribution) TrackerAddress(clusterListen string) (string, error) {
	host, _, err := net.SplitHostPort(clusterListen)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(d.Port)), nil
}
