package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// Extensions are what a file given by --extensions enables. A section that is absent
// enables nothing.
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
	// InventoryIntervalS is the time between the inventories of an agent that fetches,
	// IdleInventoryIntervalS between those of one that doesn't; 0: half of the workers'
	// report_s, and twice that.
	InventoryIntervalS     float64 `toml:"report_s" validate:"gte=0,lte=3600"`
	IdleInventoryIntervalS float64 `toml:"idle_report_s" validate:"gte=0,lte=3600"`
}

// Defaults of Distribution, as ratios to the settings.
const (
	maxConnectionsPerTrackerConnection = 4
	inventoryPerHeartbeatInterval      = 0.5
	idleInventoryPerHeartbeatInterval  = 2
)

// LoadExtensions reads and checks a file of extensions, fills in what it doesn't give, and
// sets cfg's ExtensionSockets. The error joins a *FieldError for every key at fault.
func LoadExtensions(path string, cfg *Config) (Extensions, error) {
	var e Extensions
	if err := LoadTOML(path, &e); err != nil {
		return e, err
	}
	if e.Distribution == nil {
		return e, nil
	}
	e.Distribution.setDefaults(&cfg.Settings)
	cfg.Settings.ExtensionSockets = e.Distribution.Connections
	return e, e.Distribution.check(path, cfg)
}

func (d *Distribution) setDefaults(s *Settings) {
	if d.Connections == 0 {
		d.Connections = s.Limits.MaxConnections / maxConnectionsPerTrackerConnection
	}
	if d.InventoryIntervalS == 0 {
		d.InventoryIntervalS = s.Workers.HeartbeatIntervalS * inventoryPerHeartbeatInterval
	}
	if d.IdleInventoryIntervalS == 0 {
		d.IdleInventoryIntervalS = s.Workers.HeartbeatIntervalS * idleInventoryPerHeartbeatInterval
	}
}

// check finds the keys of the file that don't agree with each other or with the settings.
func (d *Distribution) check(path string, cfg *Config) error {
	var problems []error
	report := func(key string, err error) {
		problems = append(problems, &FieldError{File: path, Field: "distribution." + key, Err: err})
	}
	if d.IdleInventoryIntervalS < d.InventoryIntervalS {
		report("idle_report_s", fmt.Errorf("%g is less than report_s, %g", d.IdleInventoryIntervalS, d.InventoryIntervalS))
	}
	if _, port, err := net.SplitHostPort(cfg.PeerListen); err != nil || port == strconv.Itoa(d.Port) {
		report("port", fmt.Errorf("%d is that of cluster_listen", d.Port))
	}
	if err := cfg.Settings.checkSockets(); err != nil {
		report("connections", err)
	}
	return errors.Join(problems...)
}

// TrackerAddress returns the address at which a controller serves the tracker, given that
// of cluster_listen.
func (d *Distribution) TrackerAddress(clusterListen string) (string, error) {
	host, _, err := net.SplitHostPort(clusterListen)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(d.Port)), nil
}
