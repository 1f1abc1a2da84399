package agent

import (
	"errors"
	"fmt"

	"oakpick/internal/config"
	"oakpick/internal/distribution"
)

// Settings are the contents of an agent's settings file.
type Settings struct {
	Agent     string   `toml:"agent" validate:"required,max=128"`
	Zone      string   `toml:"zone" validate:"required,max=128"`
	Listen    string   `toml:"listen" validate:"required,hostname_port"`
	Directory string   `toml:"directory" validate:"required"`
	Trackers  []string `toml:"trackers" validate:"required,min=1,max=99,dive,hostname_port"`
	Store     string   `toml:"store" validate:"omitempty,hostname_port"`
	Names     []string `toml:"names" validate:"required,min=1,max=64"`

	UploadSlots            int     `toml:"upload_slots" validate:"gte=0,lte=1024"`
	MaxDownloads           int     `toml:"downloads" validate:"gte=1,lte=1024"`
	DiskLimitBytes         int64   `toml:"disk_bytes" validate:"gte=0"`
	MinBytesPerSecond      int64   `toml:"minimum_rate_bytes" validate:"gte=1"`
	StallTimeoutS          float64 `toml:"stall_s" validate:"gt=0,lte=3600"`
	ReportIntervalS        float64 `toml:"report_s" validate:"gt=0,lte=3600"`
	UploadBytesPerSecond   int64   `toml:"upload_bytes_per_s" validate:"gte=0"`
	DownloadBytesPerSecond int64   `toml:"download_bytes_per_s" validate:"gte=0"`
}

// Defaults returns the values of settings that the file may leave out.
func Defaults() Settings {
	const mebibyte = 1 << 20
	return Settings{UploadSlots: 4, MaxDownloads: 8, MinBytesPerSecond: mebibyte, StallTimeoutS: 10, ReportIntervalS: 2.5}
}

// LoadSettings reads and validates a settings file. Its error names every invalid key.
func LoadSettings(path string) (Settings, error) {
	s := Defaults()
	err := config.LoadTOML(path, &s)
	return s, errors.Join(err, s.validate(path))
}

// validate checks the rules that the struct tags can't express.
func (s *Settings) validate(path string) error {
	var errs []error
	for i, name := range s.Names {
		if distribution.CheckName(name) != nil {
			errs = append(errs, fmt.Errorf("%s: names[%d]: %.40q is not a name of weights", path, i, name))
		}
	}
	if s.Agent == distribution.StoreSource {
		errs = append(errs, fmt.Errorf("%s: agent: %q is the store's name", path, s.Agent))
	}
	// With a lower download limit, sources would be reported as slow because of that limit.
	if s.DownloadBytesPerSecond > 0 && s.MinBytesPerSecond*int64(s.MaxDownloads) > s.DownloadBytesPerSecond {
		errs = append(errs, fmt.Errorf("%s: minimum_rate_bytes: %d for each of %d downloads is more than download_bytes_per_s allows, %d",
			path, s.MinBytesPerSecond, s.MaxDownloads, s.DownloadBytesPerSecond))
	}
	return errors.Join(errs...)
}

// coreSettings returns the settings of Core.
func (s *Settings) coreSettings(session int64, seed uint64) CoreSettings {
	return CoreSettings{
		Agent:             s.Agent,
		Zone:              s.Zone,
		Address:           s.Listen,
		Session:           session,
		Names:             s.Names,
		HasStore:          s.Store != "",
		UploadSlots:       s.UploadSlots,
		MaxDownloads:      s.MaxDownloads,
		DiskLimitBytes:    s.DiskLimitBytes,
		MinBytesPerSecond: s.MinBytesPerSecond,
		StallTimeout:      config.Seconds(s.StallTimeoutS),
		ReportInterval:    config.Seconds(s.ReportIntervalS),
		Seed:              seed,
	}
}
