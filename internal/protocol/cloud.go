package protocol

// MaxMachinesPerPage is the maximum number of machines on one page of the cloud's machine list.
const MaxMachinesPerPage = 500

// Maximum number of machines in one provisioning request and in one release request.
const (
	MaxScaleOut = 50
	MaxScaleIn  = 100
)

// MachineType is a machine type that the cloud offers.
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

// MachineTypes is the cloud's list of machine types.
type MachineTypes struct {
	Types []MachineType `msgpack:"kinds_of_host"`
}

// ProvisioningRequest asks the cloud to provision machines.
type ProvisioningRequest struct {
	RequestID string `msgpack:"hire"` // idempotency key: a repeated request returns the same machines
	Type      string `msgpack:"host_kind"`
	Zone      string `msgpack:"site"`
	Spot      bool   `msgpack:"loaners"`
	Count     int    `msgpack:"how_many"`
}

// MachineNames lists machines by name: those that were provisioned, or those to be released.
type MachineNames struct {
	Names []string `msgpack:"hosts"`
}

// Machine is an entry of the cloud's machine list.
type Machine struct {
	Name   string  `msgpack:"id"`
	Addr   string  `msgpack:"address"`
	Type   string  `msgpack:"host_kind"`
	Zone   string  `msgpack:"site"`
	Spot   bool    `msgpack:"loaners"`
	Status string  `msgpack:"status"`
	AgeS   float64 `msgpack:"age_s"`
}

// Values of Machine.Status.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MachineList is one page of the cloud's machine list.
type MachineList struct {
	Machines []Machine `msgpack:"hosts"`
	More     bool      `msgpack:"has_next"`
}

// noCapacity is the cloud's error text when it has no machines available.
const noCapacity = "no capacity"

// IsNoCapacity reports whether a request failed because the cloud has no machines available,
// given the body of the cloud's error response.
func IsNoCapacity(body []byte) bool {
	var refusal wireError
	return Decode(body, &refusal) == nil && refusal.Text == noCapacity
}
