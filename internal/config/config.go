// Package config loads and validates the settings file that the platform provides, and the
// optional extensions file.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// settingsFile is the name of the settings file in errors, independent of its path.
const settingsFile = "settings"

// Peer is the address of another controller.
type Peer struct {
	Name string `json:"node_name" validate:"required"`
	Zone string `json:"zone"`
	Addr string `json:"peer_addr" validate:"required,hostname_port"`
}

// Config is the content of a node's settings file.
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

// Load reads and validates a settings file. Unless the file can't be read or isn't JSON, the
// error joins one *FieldError per invalid field, each on its own line.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", settingsFile, err)
	}
	return Parse(raw)
}

// Parse parses and validates the content of a settings file, like Load. It ignores unknown fields.
func Parse(raw []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(raw, &c); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return nil, settingsError(wrongType.Field, fmt.Errorf("want %s, got %s", wrongType.Type, wrongType.Value))
		}
		return nil, fmt.Errorf("%s: not JSON: %w", settingsFile, err)
	}
	if problems := c.validate(); len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return &c, nil
}

// validate returns an error for each invalid field.
func (c *Config) validate() []error {
	problems := checkFields(settingsFile, "json", c)
	problems = append(problems, findDuplicates("settings.teams", c.Settings.Teams, func(t Team) string { return t.Name })...)
	problems = append(problems, findDuplicates("others", c.Peers, func(p Peer) string { return p.Name })...)
	if len(problems) == 0 { // the connection limits are only meaningful if all fields are valid
		if err := c.Settings.checkMaxConnections(); err != nil {
			problems = append(problems, err)
		}
	}
	for _, p := range c.Peers {
		if p.Name == c.Node && p.Name != "" {
			problems = append(problems, settingsError("others", fmt.Errorf("must not contain this node, %q", p.Name)))
		}
	}
	return problems
}

// findDuplicates returns an error for each repetition of a name in a list.
func findDuplicates[T any](field string, items []T, name func(T) string) (problems []error) {
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
