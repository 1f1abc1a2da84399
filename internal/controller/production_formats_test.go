package controller_test

import (
	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/election"
)

// The record types of the version in production, as of the commit that deploy/service.toml names.
// They must not change with the current sources: they stand for processes of that version, which run
// beside current ones, read the records that current processes write, and write them back.
type (
	productionStart struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Task    int
		Try     int64
		Host    string
		Session int64
	}
	productionJob struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		ID, Class, Team, Image, Zone string
		Shape                        uint8
		Priority                     uint8
		Tasks                        int
		CPUs, GPUs, MemoryGB         float64
		ImageGB                      float64
		AnyType                      bool
		Types                        []string
		OneZone, Spread, Spot        bool
		Estimate, SaveEach, SaveTime float64
		Deadline                     float64
		SubmittedMs                  int64
		Cancelled                    bool
		Try                          int64
		Full                         string
	}
	productionBlock struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Job    string
		Block  int
		Try    int64
		Done   string
		Starts []productionStart
	}
	productionFinal struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		ID        string
		Cancelled bool
		Tasks     int
	}
	productionRental struct {
		//nolint:unused // read by the MessagePack library
		_msgpack struct{} `msgpack:",as_array"`

		Request, Type, Zone string
		Spot                bool
		Count               int
		Answered            bool
		Hosts               []string
		AtMs                int64
	}
	productionPage struct {
		ID      string             `msgpack:"id"`
		Jobs    []productionJob    `msgpack:"j,omitempty"`
		Blocks  []productionBlock  `msgpack:"b,omitempty"`
		Finals  []productionFinal  `msgpack:"f,omitempty"`
		Rentals []productionRental `msgpack:"r,omitempty"`
		Options string             `msgpack:"o,omitempty"`
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
		Node  string `msgpack:"node"`
		Boot  string `msgpack:"boot"`
		Lease int64  `msgpack:"permit"`
		Raise int64  `msgpack:"raise"`
	}
	productionStepDown struct {
		Term   int64  `msgpack:"term"`
		Leader string `msgpack:"leader"`
	}
	productionStepDownAnswer struct {
		SteppedDown bool  `msgpack:"released"`
		Led         int64 `msgpack:"taken"`
		UpMs        int64 `msgpack:"up_ms"`
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
