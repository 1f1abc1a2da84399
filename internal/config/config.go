// Package config reads and checks the settings file that the platform hands over.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Peer is another controller.
type Peer struct {
	Name string `json:"node_name" validate:"required"`
	Zone string `json:"zone"`
	Addr string `json:"peer_addr" validate:"required,hostname_port"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name           string  `json:"name" validate:"required"`
	GuaranteedCPUs float64 `json:"cpus" validate:"gte=0,lte=1e9"`
	CPULimit       float64 `json:"cpus_max" validate:"gte=0,lte=1e9"`
	GuaranteedGPUs float64 `json:"gpus" validate:"gte=0,lte=1e9"`
	GPULimit       float64 `json:"gpus_max" validate:"gte=0,lte=1e9"`
}

// Objective repeats one aim.
type Objective struct {
	Kind    string  `json:"kind" validate:"required"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s" validate:"gte=0"`
	Share   float64 `json:"share" validate:"gte=0,lte=1"`
}

// Workers are the workers' times, in seconds.
type Workers struct {
	HeartbeatIntervalS float64 `json:"report_s" validate:"gt=0,lte=3600"`
	LeaseS             float64 `json:"lease_s" validate:"gt=0,lte=86400,gtfield=HeartbeatIntervalS"`
	GangStartTimeoutS  float64 `json:"gang_wait_s" validate:"gt=0,lte=86400"`
	GangPeerTimeoutS   float64 `json:"gang_peer_s" validate:"gt=0,lte=86400"`
	CancelWithinS      float64 `json:"cancel_s" validate:"gt=0,lte=86400,gtfield=LeaseS"`
}

// State is what the state service bears.
type State struct {
	RPS      float64 `json:"rps" validate:"gte=1,lte=1e6"`
	WriteRPS float64 `json:"write_rps" validate:"gte=1,lte=1e6"`
	ValueKB  float64 `json:"value_kb" validate:"gte=1,lte=64"`
	TxnOps   int     `json:"txn_ops" validate:"gte=1,lte=10000"`

	Next *StateNext `json:"next" validate:"omitempty"`
}

// StateNext are the limits that the state service will have from some moment on. A
// figure that is absent stays as it is.
type StateNext struct {
	RPS      *float64 `json:"rps" validate:"omitempty,gte=1,lte=1e6"`
	WriteRPS *float64 `json:"write_rps" validate:"omitempty,gte=1,lte=1e6"`
	ValueKB  *float64 `json:"value_kb" validate:"omitempty,gte=1,lte=64"`
	TxnOps   *int     `json:"txn_ops" validate:"omitempty,gte=1,lte=10000"`
}

// Smallest are limits that hold now and after the change to come, if there is one.
func (s State) Smallest() State {
	if s.Next == nil {
		return s
	}
	s.RPS = smaller(s.RPS, s.Next.RPS)
	s.WriteRPS = smaller(s.WriteRPS, s.Next.WriteRPS)
	s.ValueKB = smaller(s.ValueKB, s.Next.ValueKB)
	s.TxnOps = smaller(s.TxnOps, s.Next.TxnOps)
	return s
}

func smaller[T cmp.Ordered](now T, next *T) T {
	if next == nil {
		return now
	}
	return min(now, *next)
}

// Cloud is what the cloud bears.
type Cloud struct {
	RPS      float64 `json:"rps" validate:"gt=0,lte=1e6"`
	ListLagS float64 `json:"list_lag_s" validate:"gte=0,lte=3600"`
}

// Limits are the process's own.
type Limits struct {
	CPU            float64 `json:"cpu" validate:"gt=0,lte=1024"`
	MemoryMB       float64 `json:"mem_mb" validate:"gte=32,lte=1e6"`
	MaxConnections int     `json:"max_connections" validate:"gte=32,lte=1000000"`
}

// Settings hold for all nodes alike.
type Settings struct {
	Size         int         `json:"size" validate:"gte=1,lte=99"`
	Zones        []string    `json:"zones" validate:"required,min=1,dive,required"`
	Teams        []Team      `json:"teams" validate:"required,min=1,dive"`
	Objectives   []Objective `json:"objectives" validate:"dive"`
	Workers      Workers     `json:"workers"`
	State        State       `json:"state"`
	Cloud        Cloud       `json:"cloud"`
	Limits       Limits      `json:"limits"`
	ClockErrorMs float64     `json:"clock_error_ms" validate:"gte=0,lte=3600000"`

	// ExtensionSockets are those that extensions take; none unless a file switches one on.
	ExtensionSockets int `json:"-"`
}

// Config is one node's settings file.
type Config struct {
	Node        string `json:"node_name" validate:"required"`
	Zone        string `json:"zone" validate:"required"`
	FrontListen string `json:"front" validate:"required,hostname_port"`
	PeerListen  string `json:"cluster_listen" validate:"required,hostname_port"`
	Peers       []Peer `json:"others" validate:"dive"`
	Services    struct {
		Cloud string `json:"cloud" validate:"required,hostname_port"`
		State string `json:"state" validate:"required,hostname_port"`
	} `json:"services"`
	Settings Settings `json:"settings"`
}

// Load reads and checks a settings file. Its error names every field at fault,
// one a line.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(raw)
}

// Parse checks the text of a settings file.
func Parse(raw []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(raw, &c); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("settings: %s: a %s where a %s belongs", te.Field, te.Value, te.Type)
		}
		return nil, fmt.Errorf("settings: not JSON: %w", err)
	}
	v := NewValidator("json")
	var problems []error
	var fields validator.ValidationErrors
	if err := v.Struct(&c); errors.As(err, &fields) {
		for _, f := range fields {
			name := strings.TrimPrefix(f.Namespace(), "Config.")
			problems = append(problems, fmt.Errorf("settings: %s: missing or out of range (%s)", name, rule(f)))
		}
	} else if err != nil {
		problems = append(problems, fmt.Errorf("settings: %w", err))
	}
	problems = append(problems, unique("settings.teams", c.Settings.Teams, func(t Team) string { return t.Name })...)
	problems = append(problems, unique("others", c.Peers, func(p Peer) string { return p.Name })...)
	if len(problems) == 0 {
		problems = append(problems, c.Settings.budgets()...)
	}
	for _, p := range c.Peers {
		if p.Name == c.Node && p.Name != "" {
			problems = append(problems, fmt.Errorf("settings: others: names this node, %q", p.Name))
		}
	}
	if len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	return &c, nil
}

func rule(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + " " + f.Param()
}

func unique[T any](what string, items []T, name func(T) string) (problems []error) {
	seen := map[string]bool{}
	for _, it := range items {
		if n := name(it); seen[n] {
			problems = append(problems, fmt.Errorf("settings: %s: %q named twice", what, n))
		} else {
			seen[n] = true
		}
	}
	return problems
}

// Seconds turns a figure of the settings into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
