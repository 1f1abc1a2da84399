// Package config reads and checks the settings file that the platform provides, and the
// optional file of extensions.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// settingsFile names the settings file in errors, whatever its path.
const settingsFile = "settings"

// Peer is another controller.
type Peer struct {
	Name string `json:"node_name" validate:"required"`
	Zone string `json:"zone"`
	Addr string `json:"peer_addr" validate:"required,hostname_port"`
}

// Config is the settings file of one node.
type Config struct {
	Node       string `json:"node_name" validate:"required"`
	Zone       string `json:"zone" validate:"required"`
	APIListen  string `json:"front" validate:"required,hostname_port"`
	PeerListen string `json:"cluster_listen" validate:"required,hostname_port"`
	Peers      []Peer `json:"others" validate:"dive"`
	Services   struct {
		Cloud string `json:"cloud" validate:"required,hostname_port"`
		State string `json:"state" validate:"required,hostname_port"`
	} `json:"services"`
	Settings Settings `json:"settings"`
}

// Load reads and checks a settings file. Unless the file can't be read or is not JSON, the
// error joins a *FieldError for every field at fault, one a line.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", settingsFile, err)
	}
	return Parse(raw)
}

// Parse does the same with the content of a settings file. Unknown fields are ignored.
func Parse(raw []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(raw, &c); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, settingsError(wrongType.Field, fmt.Errorf("want %s, got %s", wrongType.Type, wrongType.Value))
		}
		return nil, fmt.Errorf("%s: not JSON: %w", settingsFile, err)
	}
	if problems := c.problems(); len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return &c, nil
}

// problems finds all fields at fault.
func (c *Config) problems() []error {
	problems := checkFields(settingsFile, "json", c)
	problems = append(problems, duplicates("settings.teams", c.Settings.Teams, func(t Team) string { return t.Name })...)
	problems = append(problems, duplicates("others", c.Peers, func(p Peer) string { return p.Name })...)
	if len(problems) == 0 { // the sum is of no use with wrong figures
		if err := c.Settings.checkSockets(); err != nil {
			problems = append(problems, err)
		}
	}
	for _, p := range c.Peers {
		if p.Name == c.Node && p.Name != "" {
			problems = append(problems, settingsError("others", fmt.Errorf("names this node, %q", p.Name)))
		}
	}
	return problems
}

// duplicates finds the names of a list that are not unique.
func duplicates[T any](field string, items []T, name func(T) string) (problems []error) {
	seen := map[string]bool{}
	for _, item := range items {
		n := name(item)
		if seen[n] {
			problems = append(problems, settingsError(field, fmt.Errorf("%q %w", n, errDuplicate)))
		}
		seen[n] = true
	}
	return problems
}

func settingsError(field string, err error) error {
	return &FieldError{File: settingsFile, Field: field, Err: err}
}
