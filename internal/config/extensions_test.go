package config

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func exampleConfig(t *testing.T) *Config {
	t.Helper()
	cfg, err := Load("../../testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// writeExtensions writes an extensions file and returns its path.
func writeExtensions(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "extensions.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The extensions file under deploy is valid, and omitted keys get defaults derived from the
// settings. The tracker's connections are subtracted from those of users and workers.
func TestExtensionsAreDerivedFromTheSettings(t *testing.T) {
	cfg := exampleConfig(t)
	before := cfg.Settings.ConnectionLimits().API
	e, err := LoadExtensions("../../deploy/extensions.toml", cfg)
	if err != nil {
		t.Fatal(err)
	}
	d, s := e.Distribution, cfg.Settings
	heartbeat := s.Workers.HeartbeatIntervalS
	if d.Connections != s.Limits.MaxConnections/4 || d.InventoryIntervalS != heartbeat/2 || d.IdleInventoryIntervalS != 2*heartbeat {
		t.Errorf("%+v", d)
	}
	if after := cfg.Settings.ConnectionLimits().API; after >= before {
		t.Errorf("API server has %d connections without and %d with the tracker", before, after)
	}
	if address, err := d.TrackerAddress("10.0.0.1:8081"); err != nil || address != "10.0.0.1:8082" {
		t.Errorf("%s %v", address, err)
	}
}

func TestEmptyFileEnablesNoExtension(t *testing.T) {
	if e, err := LoadExtensions(writeExtensions(t, ""), exampleConfig(t)); err != nil || e.Distribution != nil {
		t.Errorf("%+v %v", e, err)
	}
}

// All keys that are unknown or out of range are reported at once.
func TestInvalidExtensionsAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		wants []string
	}{
		"several keys": {
			"[distribution]\nport = 0\nstore_slots = 0\nslots = 3\n",
			[]string{"distribution.port", "distribution.store_slots", "distribution.slots: unknown"},
		},
		"unknown section": {"[weights]\nport = 1\n", []string{"weights: unknown"}},
		"wrong type":      {"[distribution]\nport = \"x\"\n", []string{"port"}},
		"idle below active": {
			"[distribution]\nport = 8082\nstore_slots = 1\nreport_s = 9\nidle_report_s = 1\n",
			[]string{"distribution.idle_report_s"},
		},
		"too many connections": {"[distribution]\nport = 8082\nstore_slots = 1\nconnections = 1000000\n", []string{"distribution.connections"}},
		"port in use":          {"[distribution]\nport = 8081\nstore_slots = 1\n", []string{"distribution.port"}},
		"not TOML":             {"[distribution", []string{"extensions.toml"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := LoadExtensions(writeExtensions(t, c.text), exampleConfig(t))
			for _, want := range c.wants {
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("%q: %q isn't in %v", c.text, want, err)
				}
			}
		})
	}
}

func TestMissingExtensionsFileIsRejected(t *testing.T) {
	if _, err := LoadExtensions("/nothing/there", exampleConfig(t)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v, want %v", err, fs.ErrNotExist)
	}
}
