package testbed

import (
	"fmt"
	"os"
)

// Addresses generates the loopback addresses of one run, one for each component. The second octet
// is derived from the process ID, so that concurrent runs are unlikely to collide.
type Addresses struct{ secondOctet int }

// NewAddresses returns the addresses for a run of this process.
func NewAddresses() Addresses {
	const first, count = 20, 200
	return Addresses{first + os.Getpid()%count}
}

// TrackerPort is the port of a controller's weights tracker, which an extension enables.
const TrackerPort = 8082

const (
	apiPort    = 8080
	peerPort   = 8081
	statePort  = 2379
	cloudPort  = 8443
	workerPort = 9000
	storePort  = 5000
)

// Last octets of the components other than workers. Their third octet is 0.
const (
	stateOctet           = 2
	cloudOctet           = 3
	storeOctet           = 4
	firstControllerOctet = 10
)

// workersPerSubnet is both the number of workers that share a third octet and the number of such
// subnets.
const workersPerSubnet = 250

func (a Addresses) address(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", a.secondOctet, third, fourth, port)
}

// StateService returns the address of the simulated state service.
func (a Addresses) StateService() string { return a.address(0, stateOctet, statePort) }

// Cloud returns the address of the simulated cloud.
func (a Addresses) Cloud() string { return a.address(0, cloudOctet, cloudPort) }

// WeightStore returns the address of the simulated weight store.
func (a Addresses) WeightStore() string { return a.address(0, storeOctet, storePort) }

// API returns the address at which a controller serves workers and users.
func (a Addresses) API(controller int) string { return a.controller(controller, apiPort) }

// Peer returns the address at which a controller serves its peers and the administration API.
func (a Addresses) Peer(controller int) string { return a.controller(controller, peerPort) }

// Tracker returns the address at which a controller serves the weights tracker.
func (a Addresses) Tracker(controller int) string { return a.controller(controller, TrackerPort) }

func (a Addresses) controller(controller, port int) string {
	return a.address(0, firstControllerOctet+controller, port)
}

// Worker returns the address of the n-th machine provisioned in a run, counted from 0.
func (a Addresses) Worker(n int) string {
	return a.address(1+n/workersPerSubnet%workersPerSubnet, 1+n%workersPerSubnet, workerPort)
}

// ControllerName returns the node name of a controller.
func ControllerName(controller int) string { return fmt.Sprintf("ctl-%d", controller) }
