package config

import (
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

func written(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "extensions.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// The file under deploy is in order, and what it doesn't give follows from the settings. The
// connections that it takes are not given to users and workers as well.
func TestExtensionsAreDerivedFromTheSettings(t *testing.T) {
	cfg := exampleConfig(t)
	before := cfg.Settings.Sockets().Frontend
	e, err := LoadExtensions("../../deploy/extensions.toml", cfg)
	if err != nil {
		t.Fatal(err)
	}
	d := e.Distribution
	if d.Connections != cfg.Settings.Limits.MaxConnections/4 || d.InventoryIntervalS != cfg.Settings.Workers.HeartbeatIntervalS/2 || d.IdleInventoryIntervalS != 2*cfg.Settings.Workers.HeartbeatIntervalS {
		t.Errorf("%+v", d)
	}
	if after := cfg.Settings.Sockets().Frontend; after >= before {
		t.Errorf("%d connections of the front, and %d with the tracker's beside them", before, after)
	}
	if address, err := d.TrackerAddress("10.0.0.1:8081"); err != nil || address != "10.0.0.1:8082" {
		t.Errorf("%s %v", address, err)
	}
	if e, err := LoadExtensions(written(t, ""), exampleConfig(t)); err != nil || e.Distribution != nil {
		t.Errorf("an empty file: %+v %v", e, err)
	}
}

// Every key that is unknown or out of range is named, all at once.
func TestBadExtensionsAreNamed(t *testing.T) {
	for text, wants := range map[string][]string{
		"[distribution]\nport = 0\nstore_slots = 0\nslots = 3\n":                          {"distribution.port", "distribution.store_slots", "distribution.slots: unknown"},
		"[weights]\nport = 1\n":                                                           {"weights: unknown"},
		"[distribution]\nport = \"x\"\n":                                                  {"port"},
		"[distribution]\nport = 8082\nstore_slots = 1\nreport_s = 9\nidle_report_s = 1\n": {"distribution.idle_report_s"},
		"[distribution]\nport = 8082\nstore_slots = 1\nconnections = 1000000\n":           {"distribution.connections"},
		"[distribution]\nport = 8081\nstore_slots = 1\n":                                  {"distribution.port"},
		"[distribution": {"extensions.toml"},
	} {
		_, err := LoadExtensions(written(t, text), exampleConfig(t))
		for _, want := range wants {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q: %q isn't in %v", text, want, err)
			}
		}
	}
	if _, err := LoadExtensions("/nothing/there", exampleConfig(t)); err == nil {
		t.Error("a file that isn't there is taken")
	}
}
