package testbed

import (
	"fmt"
	"os"
)

// Addresses are the loopback addresses of one run. Every component has an address of its own;
// the second octet follows from the process id, so that two runs at a time don't collide.
type Addresses struct{ secondOctet int }

// NewAddresses returns the addresses of this process's run.
func NewAddresses() Addresses {
	const first, count = 20, 200
	return Addresses{first + os.Getpid()%count}
}

// TrackerPort is where controllers serve the tracker of weights, if an extension switches it on.
const TrackerPort = 8082

const (
	apiPort    = 8080
	peerPort   = 8081
	statePort  = 2379
	cloudPort  = 8443
	workerPort = 9000
	storePort  = 5000
)

// Last octets in the subnet of the components that aren't workers.
const (
	stateOctet           = 2
	cloudOctet           = 3
	storeOctet           = 4
	firstControllerOctet = 10
)

// workersPerSubnet is how many workers share the third octet; there are as many subnets.
const workersPerSubnet = 250

func (a Addresses) address(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.secondOctet, third, fourth, port)
}

// StateService is the address of the simulated state service.
func (a Addresses) StateService() string { return a.address(0, stateOctet, statePort) }

// Cloud is the address of the simulated cloud.
func (a Addresses) Cloud() string { return a.address(0, cloudOctet, cloudPort) }

// WeightStore is the address of the simulated store of weights.
func (a Addresses) WeightStore() string { return a.address(0, storeOctet, storePort) }

// API is the address at which a controller serves workers and users.
func (a Addresses) API(controller int) string { return a.controller(controller, apiPort) }

// Peer is the address at which a controller serves its peers and the administration API.
func (a Addresses) Peer(controller int) string { return a.controller(controller, peerPort) }

// Tracker is the address at which a controller serves the tracker of weights.
func (a Addresses) Tracker(controller int) string { return a.controller(controller, TrackerPort) }

func (a Addresses) controller(controller, port int) string {
	return a.address(0, firstControllerOctet+controller, port)
}

// Worker is the address of the n-th machine that is provisioned in a run, from 0.
func (a Addresses) Worker(n int) string {
	return a.address(1+n/workersPerSubnet%workersPerSubnet, 1+n%workersPerSubnet, workerPort)
}

// ControllerName is the node name of a controller.
func ControllerName(controller int) string { return fmt.Sprintf("ctl-%d", controller) }
