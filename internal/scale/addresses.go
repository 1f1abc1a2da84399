package scale

import (
	"fmt"
	"os"
)

// addresses are those of one run. Each component has an address of the loopback range of its
// own; the second number follows from the process, so that two runs don't meet.
type addresses struct{ second int }

func newAddresses() addresses {
	const first, numbers = 20, 200
	return addresses{first + os.Getpid()%numbers}
}

const (
	frontPort   = 8080
	clusterPort = 8081
	statePort   = 2379
	cloudPort   = 8443
	workerPort  = 9000
	// firstController is the last number of the first controller's address.
	firstController = 10
	// workersInBlock is how many workers share the third number.
	workersInBlock = 250
)

func (a addresses) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", a.second, third, fourth)
}

func (a addresses) state() string { return fmt.Sprintf("%s:%d", a.ip(0, 2), statePort) }

func (a addresses) cloud() string { return fmt.Sprintf("%s:%d", a.ip(0, 3), cloudPort) }

func (a addresses) front(controller int) string {
	return fmt.Sprintf("%s:%d", a.ip(0, firstController+controller), frontPort)
}

func (a addresses) cluster(controller int) string {
	return fmt.Sprintf("%s:%d", a.ip(0, firstController+controller), clusterPort)
}

// worker is the address of the n-th machine that is rented in a run.
func (a addresses) worker(n int) string {
	return fmt.Sprintf("%s:%d", a.ip(1+n/workersInBlock%workersInBlock, 1+n%workersInBlock), workerPort)
}

func controllerName(i int) string { return fmt.Sprintf("ctl-%d", i) }
