package protocol

import (
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Encode writes a message. The types of this package always encode.
func Encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("protocol: encoding %T: %v", v, err))
	}
	return b
}

// Decode reads an answer of the state service, the cloud or a peer.
func Decode(b []byte, v any) error { return msgpack.Unmarshal(b, v) }

// Verb is what a command tells a worker to do.
type Verb uint8

// The commands.
const (
	Start Verb = iota
	Stop
	Forget
)

// Command is one order to a worker.
type Command struct {
	Verb Verb
	Attempt
	GracePeriodS float64 // of a Stop
}

type wireCommand struct {
	Verb     string   `msgpack:"verb"`
	Piece    string   `msgpack:"piece"`
	Try      int64    `msgpack:"try"`
	WindDown *float64 `msgpack:"wind_down_s,omitempty"`
}

func wireCommands(cmds []Command) []wireCommand {
	out := make([]wireCommand, len(cmds))
	for i, c := range cmds {
		w := wireCommand{Piece: c.piece(), Try: c.Number}
		switch c.Verb {
		case Start:
			w.Verb = verbStart
		case Stop:
			w.Verb = verbStop
			w.WindDown = &cmds[i].GracePeriodS
		case Forget:
			w.Verb = verbForget
		}
		out[i] = w
	}
	return out
}

// EncodeHeartbeatResponse is the 200 to a report.
func EncodeHeartbeatResponse(token int64, cmds []Command) []byte {
	return Encode(struct {
		Baton  int64         `msgpack:"baton"`
		Orders []wireCommand `msgpack:"orders"`
	}{token, wireCommands(cmds)})
}

// EncodeRedirect is the 421 that sends a worker to another node.
func EncodeRedirect(node string) []byte {
	if node == "" {
		return Encode(map[string]string{})
	}
	return Encode(map[string]string{"foreman": node})
}

// EncodeCommands is the body of direct commands to a worker.
func EncodeCommands(token, session int64, cmds []Command) []byte {
	return Encode(struct {
		Baton  int64         `msgpack:"baton"`
		Shift  int64         `msgpack:"shift"`
		Orders []wireCommand `msgpack:"orders"`
	}{token, session, wireCommands(cmds)})
}

// JobResponse tells a user about a job.
type JobResponse struct {
	ID      string `msgpack:"id"`
	Status  string `msgpack:"status"`
	Done    *int   `msgpack:"done,omitempty"`
	Running *int   `msgpack:"running,omitempty"`
}

// EncodeError is the body of a refusal.
func EncodeError(text string) []byte { return Encode(map[string]string{"error": text}) }

// MachineType is what the cloud offers.
type MachineType struct {
	Name        string   `msgpack:"sku"`
	CPUs        float64  `msgpack:"vcpus"`
	GPUs        float64  `msgpack:"gpus"`
	MemoryGB    float64  `msgpack:"mem_gb"`
	CacheGB     float64  `msgpack:"local_gb"`
	FetchGBPerS float64  `msgpack:"fetch_gb_per_s"`
	Price       float64  `msgpack:"price"`
	SpotPrice   float64  `msgpack:"low_price"`
	BootS       float64  `msgpack:"boot_s"`
	Zones       []string `msgpack:"sites"`
}

// MachineTypes is the cloud's offer.
type MachineTypes struct {
	Types []MachineType `msgpack:"kinds_of_host"`
}

// ProvisioningRequest asks the cloud for machines.
type ProvisioningRequest struct {
	RequestID string `msgpack:"hire"`
	Type      string `msgpack:"host_kind"`
	Zone      string `msgpack:"site"`
	Spot      bool   `msgpack:"loaners"`
	Count     int    `msgpack:"how_many"`
}

// MachineNames names machines: the answer to a rental, the body of a return.
type MachineNames struct {
	Names []string `msgpack:"hosts"`
}

// Machine is an entry of the cloud's list.
type Machine struct {
	Name   string  `msgpack:"id"`
	Addr   string  `msgpack:"address"`
	Type   string  `msgpack:"host_kind"`
	Zone   string  `msgpack:"site"`
	Spot   bool    `msgpack:"loaners"`
	Status string  `msgpack:"status"`
	AgeS   float64 `msgpack:"age_s"`
}

// Words of a listed machine's status.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []Machine `msgpack:"hosts"`
	More     bool      `msgpack:"has_next"`
}

// Entry is a key of the state service.
type Entry struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"value"`
	Version int64              `msgpack:"stamp"`
	Lease   int64              `msgpack:"permit"`
}

// EntryList is an answer to a prefix read.
type EntryList struct {
	Entries  []Entry `msgpack:"entries"`
	More     bool    `msgpack:"has_next"`
	Revision int64   `msgpack:"ledger"`
}

// Condition is that a key has a version; 0 means it doesn't exist.
type Condition struct {
	Key     string `msgpack:"path"`
	Version int64  `msgpack:"stamp"`
}

// Change writes a key, or drops one.
type Change struct {
	Put    string `msgpack:"write,omitempty"`
	Value  any    `msgpack:"value,omitempty"`
	Lease  int64  `msgpack:"permit,omitempty"`
	Delete string `msgpack:"drop,omitempty"`
}

// Txn is a transaction of the state service.
type Txn struct {
	If   []Condition `msgpack:"if"`
	Then []Change    `msgpack:"then,omitempty"`
}

// TxnResponse is the outcome of a transaction.
type TxnResponse struct {
	Failed   []string `msgpack:"failed"`
	Revision int64    `msgpack:"ledger"`
	Error    string   `msgpack:"error"`
}

// LeaseGrant is a lease of the state service.
type LeaseGrant struct {
	Lease int64 `msgpack:"permit"`
}

// LeaseRequest asks for one.
type LeaseRequest struct {
	TTLms int64 `msgpack:"life_ms"`
}

// LeasePath is where a lease is.
func LeasePath(lease int64) string { return fmt.Sprintf("%s/%d", PathLeases, lease) }

// LeaseRenewalPath is where a lease is renewed.
func LeaseRenewalPath(lease int64) string { return LeasePath(lease) + renewSuffix }

// StepDown is what a new leader tells its peers: terms below Term are over, and it
// is the one that leads. A Term of 0 is no more than a greeting.
type StepDown struct {
	Term   int64  `msgpack:"term"`
	Leader string `msgpack:"leader"`
	// ReadsArchive asks whether the peer looks ended jobs up in the archive, too.
	ReadsArchive bool `msgpack:"reads_archive,omitempty"`
}

// StepDownResponse says whether the node has let go of every term below.
type StepDownResponse struct {
	SteppedDown    bool  `msgpack:"released"`
	LastLoadedTerm int64 `msgpack:"taken"` // the last term of which this process has read the records; 0: none
	UptimeMs       int64 `msgpack:"up_ms"` // for how long it has been running
	// ReadsArchive answers the question of the same name; earlier versions never do.
	ReadsArchive bool `msgpack:"reads_archive,omitempty"`
}

// SplitJobPath takes apart the path of a request about jobs: the job's id
// (empty for the collection) and whether it asks to cancel.
func SplitJobPath(path string) (id string, cancel, ok bool) {
	if path == PathJobs {
		return "", false, true
	}
	rest, ok := strings.CutPrefix(path, PathJobs+"/")
	if !ok || rest == "" {
		return "", false, false
	}
	rest, cancel = strings.CutSuffix(rest, abortSuffix)
	if rest == "" || strings.Contains(rest, "/") {
		return "", false, false
	}
	return rest, cancel, true
}
