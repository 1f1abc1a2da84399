package agent

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const minimalSettings = `
agent = "host-1"
zone = "a"
listen = "127.0.0.1:7000"
directory = "/var/lib/weights"
trackers = ["10.0.0.1:8082"]
names = ["models/a"]
`

func loadSettings(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "agent.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSettings(path)
}

func TestLoadSettingsAppliesDefaults(t *testing.T) {
	s, err := loadSettings(t, minimalSettings)
	if err != nil || s.UploadSlots != Defaults().UploadSlots || s.ReportIntervalS != Defaults().ReportIntervalS || s.Agent != "host-1" {
		t.Errorf("%+v %v", s, err)
	}
}

// The error names every invalid key.
func TestLoadSettingsNamesEveryInvalidKey(t *testing.T) {
	for added, want := range map[string]string{
		"stall = 3":                     "stall: unknown",
		"stall_s = 0":                   "stall_s",
		"downloads = 0":                 "downloads",
		"upload_slots = -1":             "upload_slots",
		"store = \"nowhere\"":           "store",
		"download_bytes_per_s = 1000":   "minimum_rate_bytes",
		"disk_bytes = -5":               "disk_bytes",
		"report_s = \"often\"":          "report_s",
		"minimum_rate_bytes = 1.5":      "minimum_rate_bytes",
		"upload_bytes_per_s = 1\nx = 2": "x: unknown",
	} {
		t.Run(added, func(t *testing.T) {
			if _, err := loadSettings(t, minimalSettings+added+"\n"); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%q isn't in %v", want, err)
			}
		})
	}
	invalid := strings.NewReplacer(`"host-1"`, `"store"`, `"models/a"`, `"Models"`, `"127.0.0.1:7000"`, `"here"`)
	_, err := loadSettings(t, invalid.Replace(minimalSettings))
	for _, want := range []string{"agent", "names[0]", "listen"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q isn't in %v", want, err)
		}
	}
}
