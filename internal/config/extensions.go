package config

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// Extensions is the content of the file given by --extensions. An absent section disables its
// extension.
type Extensions struct {
	Distribution *Distribution `toml:"distribution"`
}

// Distribution configures the tracker of model weights on the controllers.
type Distribution struct {
	// Port is the listener's port; its host is that of cluster_listen.
	Port int `toml:"port" validate:"gte=1,lte=65535"`
	// StoreSlots is the number of upload slots of the store: the maximum number of agents that
	// fetch from it concurrently.
	StoreSlots int `toml:"store_slots" validate:"gte=1,lte=1024"`
	// Connections is the listener's connection limit; 0 means a quarter of max_connections. These
	// connections are part of max_connections and are not available to users and workers.
	Connections int `toml:"connections" validate:"gte=0,lte=1000000"`
	// InventoryIntervalS and IdleInventoryIntervalS are the times between the inventories that an
	// agent sends while it fetches and while it doesn't. 0 means half of and twice the workers'
	// heartbeat interval (report_s in the settings file).
	InventoryIntervalS     float64 `toml:"report_s" validate:"gte=0,lte=3600"`
	IdleInventoryIntervalS float64 `toml:"idle_report_s" validate:"gte=0,lte=3600"`
}

// Defaults of Distribution. The intervals are in heartbeat intervals of the workers.
const (
	trackerConnectionsDivisor       = 4 // max_connections / Connections
	inventoryIntervalHeartbeats     = 0.5
	idleInventoryIntervalHeartbeats = 2
)

// LoadExtensions reads and validates an extensions file, sets defaults, and sets
// ExtensionConnections in the settings of cfg. The error joins one *FieldError per invalid key.
func LoadExtensions(path string, cfg *Config) (Extensions, error) {
	var e Extensions
	if err := LoadTOML(path, &e); err != nil {
		return e, err
	}
	if e.Distribution == nil {
		return e, nil
	}
	e.Distribution.setDefaults(&cfg.Settings)
	cfg.Settings.ExtensionConnections = e.Distribution.Connections
	return e, e.Distribution.validate(path, cfg)
}

func (d *Distribution) setDefaults(s *Settings) {
	if d.Connections == 0 {
		d.Connections = s.Limits.MaxConnections / trackerConnectionsDivisor
	}
	if d.InventoryIntervalS == 0 {
		d.InventoryIntervalS = s.Workers.HeartbeatIntervalS * inventoryIntervalHeartbeats
	}
	if d.IdleInventoryIntervalS == 0 {
		d.IdleInventoryIntervalS = s.Workers.HeartbeatIntervalS * idleInventoryIntervalHeartbeats
	}
}

// validate checks that the keys are consistent with each other and with the settings.
func (d *Distribution) validate(path string, cfg *Config) error {
	var problems []error
	report := func(key string, err error) {
		problems = append(problems, &FieldError{File: path, Field: "distribution." + key, Err: err})
	}
	if d.IdleInventoryIntervalS < d.InventoryIntervalS {
		report("idle_report_s", fmt.Errorf("%g is less than report_s, %g", d.IdleInventoryIntervalS, d.InventoryIntervalS))
	}
	if _, port, err := net.SplitHostPort(cfg.PeerListen); err != nil || port == strconv.Itoa(d.Port) {
		report("port", fmt.Errorf("%d is the port of cluster_listen", d.Port))
	}
	if err := cfg.Settings.checkMaxConnections(); err != nil {
		report("connections", err)
	}
	return errors.Join(problems...)
}

// TrackerAddress returns the tracker's listen address on a controller, given the controller's
// cluster_listen address.
func (d *Distribution) TrackerAddress(clusterListen string) (string, error) {
	host, _, err := net.SplitHostPort(clusterListen)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(d.Port)), nil
}
