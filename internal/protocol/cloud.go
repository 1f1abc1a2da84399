package protocol

// MaxMachinesPerPage is the most machines on one page of the cloud's list.
const MaxMachinesPerPage = 500

// The most machines that one request provisions, and that one request releases.
const (
	MaxScaleOut = 50
	MaxScaleIn  = 100
)

// MachineType is a type of machines that the cloud offers.
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
	RequestID string `msgpack:"hire"` // idempotency key: a repeat brings the same machines
	Type      string `msgpack:"host_kind"`
	Zone      string `msgpack:"site"`
	Spot      bool   `msgpack:"loaners"`
	Count     int    `msgpack:"how_many"`
}

// MachineNames names machines: those that were provisioned, or are to be released.
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

// noCapacity is the text of the cloud's refusal for want of machines.
const noCapacity = "no capacity"

// IsNoCapacity tells a refusal for want of machines from the cloud's other failures.
func IsNoCapacity(body []byte) bool {
	var refusal wireError
	return Decode(body, &refusal) == nil && refusal.Text == noCapacity
}
