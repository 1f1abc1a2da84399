package controller_test

import (
	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/election"
)

// The record types of the version in production, as of the commit that deploy/service.toml names. The
// formats must not change with the current sources: processes of that version run beside current ones,
// read the records that current processes write, and write them back. Only the order and types of the
// fields and the struct tags define a format; the field names are those of the current sources.
type (
	productionStart struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Task        int
		Attempt     int64
		Machine     string
		Incarnation int64
	}
	productionJob struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		ID, Class, Team, Image, Zone                            string
		Kind                                                    uint8
		Priority                                                uint8
		Tasks                                                   int
		CPUs, GPUs, MemoryGB                                    float64
		ImageGB                                                 float64
		AnyType                                                 bool
		Types                                                   []string
		OneZone, Spread, Spot                                   bool
		EstimatedRunS, CheckpointIntervalS, CheckpointDurationS float64
		DeadlineS                                               float64
		SubmittedMs                                             int64
		Cancelled                                               bool
		GangAttempt                                             int64
		CompletedBlocks                                         string
	}
	productionBlock struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Job         string
		Block       int
		LastAttempt int64
		Done        string
		Starts      []productionStart
	}
	productionTerminal struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		ID        string
		Cancelled bool
		Tasks     int
	}
	productionProvisioning struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		RequestID, Type, Zone string
		Spot                  bool
		Count                 int
		Answered              bool
		Machines              []string
		AtMs                  int64
	}
	productionPage struct {
		WriteID      string                   `msgpack:"id"`
		Jobs         []productionJob          `msgpack:"j,omitempty"`
		Blocks       []productionBlock        `msgpack:"b,omitempty"`
		Terminal     []productionTerminal     `msgpack:"f,omitempty"`
		Provisioning []productionProvisioning `msgpack:"r,omitempty"`
		Options      string                   `msgpack:"o,omitempty"`
	}
	// pipelinesExtension is a record of the first version with prerequisites, whose pages have an
	// additional field for such records.
	pipelinesExtension struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Job           string
		BlockTasks    int
		Prerequisites []string
	}
	pipelinesPage struct {
		productionPage
		Extensions []pipelinesExtension `msgpack:"x,omitempty"`
	}
	productionLeader struct {
		Node          string `msgpack:"node"`
		Process       string `msgpack:"boot"`
		Lease         int64  `msgpack:"permit"`
		TokenAdvances int64  `msgpack:"raise"`
	}
	productionStepDownRequest struct {
		Term   int64  `msgpack:"term"`
		Leader string `msgpack:"leader"`
	}
	productionStepDownResponse struct {
		SteppedDown    bool  `msgpack:"released"`
		LastLoadedTerm int64 `msgpack:"taken"`
		UptimeMs       int64 `msgpack:"up_ms"`
	}
)

// roundTrip decodes a message as a T, a record type of some version, and encodes it again.
func roundTrip[T any](message []byte) []byte {
	var v T
	if err := msgpack.Unmarshal(message, &v); err != nil {
		panic(err)
	}
	out, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return out
}

// roundTripProduction returns a stored value as it is after the version in production has read it
// and written it back.
func roundTripProduction(key string, value []byte) []byte {
	if key == election.LeaderKey {
		return roundTrip[productionLeader](value)
	}
	return roundTrip[productionPage](value)
}

// roundTripPipelines is roundTripProduction for the first version with prerequisites.
func roundTripPipelines(key string, value []byte) []byte {
	if key == election.LeaderKey {
		return roundTrip[productionLeader](value)
	}
	return roundTrip[pipelinesPage](value)
}
