package config

import (
	"cmp"
	"time"
)

// Team is a team with its quota: guaranteed CPUs and GPUs, and a limit for each. A guarantee or
// limit of 0 means that there is none.
type Team struct {
	Name           string  `json:"name" validate:"required"`
	GuaranteedCPUs float64 `json:"cpus" validate:"gte=0,lte=1e9"`
	CPULimit       float64 `json:"cpus_max" validate:"gte=0,lte=1e9"`
	GuaranteedGPUs float64 `json:"gpus" validate:"gte=0,lte=1e9"`
	GPULimit       float64 `json:"gpus_max" validate:"gte=0,lte=1e9"`
}

// Objective is a service-level objective.
type Objective struct {
	Kind    string  `json:"kind" validate:"required"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s" validate:"gte=0"`
	Share   float64 `json:"share" validate:"gte=0,lte=1"`
}

// Workers holds the timeouts and intervals of workers, in seconds.
type Workers struct {
	HeartbeatIntervalS float64 `json:"report_s" validate:"gt=0,lte=3600"`
	LeaseS             float64 `json:"lease_s" validate:"gt=0,lte=86400,gtfield=HeartbeatIntervalS"`
	GangStartTimeoutS  float64 `json:"gang_wait_s" validate:"gt=0,lte=86400"`
	GangPeerTimeoutS   float64 `json:"gang_peer_s" validate:"gt=0,lte=86400"`
	CancelWithinS      float64 `json:"cancel_s" validate:"gt=0,lte=86400,gtfield=LeaseS"`
}

// State holds the limits of the state service, and those announced for a later time.
type State struct {
	RPS      float64 `json:"rps" validate:"gte=1,lte=1e6"`
	WriteRPS float64 `json:"write_rps" validate:"gte=1,lte=1e6"`
	ValueKB  float64 `json:"value_kb" validate:"gte=1,lte=64"`
	TxnOps   int     `json:"txn_ops" validate:"gte=1,lte=10000"`

	Next *StateNext `json:"next" validate:"omitempty"`
}

// StateNext holds announced limits that the state service will apply at some later time. A nil
// limit doesn't change.
type StateNext struct {
	RPS      *float64 `json:"rps" validate:"omitempty,gte=1,lte=1e6"`
	WriteRPS *float64 `json:"write_rps" validate:"omitempty,gte=1,lte=1e6"`
	ValueKB  *float64 `json:"value_kb" validate:"omitempty,gte=1,lte=64"`
	TxnOps   *int     `json:"txn_ops" validate:"omitempty,gte=1,lte=10000"`
}

// Smallest returns limits that hold both before and after the announced change: the smaller of
// the current and the announced value of each limit.
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

// Cloud holds the limits of the cloud API.
type Cloud struct {
	RPS      float64 `json:"rps" validate:"gt=0,lte=1e6"`
	ListLagS float64 `json:"list_lag_s" validate:"gte=0,lte=3600"`
}

// Limits holds the resource limits of the controller process.
type Limits struct {
	CPU            float64 `json:"cpu" validate:"gt=0,lte=1024"`
	MemoryMB       float64 `json:"mem_mb" validate:"gte=32,lte=1e6"`
	MaxConnections int     `json:"max_connections" validate:"gte=32,lte=1000000"`
}

// Settings holds the settings that are the same for all nodes.
type Settings struct {
	ControllerCount int         `json:"size" validate:"gte=1,lte=99"`
	Zones           []string    `json:"zones" validate:"required,min=1,dive,required"`
	Teams           []Team      `json:"teams" validate:"required,min=1,dive"`
	Objectives      []Objective `json:"objectives" validate:"dive"`
	Workers         Workers     `json:"workers"`
	State           State       `json:"state"`
	Cloud           Cloud       `json:"cloud"`
	Limits          Limits      `json:"limits"`
	ClockErrorMs    float64     `json:"clock_error_ms" validate:"gte=0,lte=3600000"`

	// ExtensionConnections is the maximum number of connections that extensions use. It isn't part
	// of the settings file: LoadExtensions sets it.
	ExtensionConnections int `json:"-"`
}

// Seconds converts seconds, the unit of the settings, to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
