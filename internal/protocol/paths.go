package protocol

import (
	"fmt"
	"strings"
)

// HTTP paths of the interfaces.
const (
	PathJobs         = "/v2/runs"
	PathHealth       = "/healthz"
	PathHeartbeat    = "/agent/beat"
	PathCommands     = "/orders"
	PathMachineTypes = "/flavors"
	PathMachines     = "/rentals"
	PathScaleIn      = "/rentals/return"
	PathKV           = "/kv"
	PathTxn          = "/txn"
	PathLeases       = "/grants"
	cancelSuffix     = "/abort"
	renewSuffix      = "/renew"

	// PathStepDown and the paths under PathAdmin belong to this project, not to the external
	// interfaces. They are served on the listener for peers and operators.
	PathStepDown = "/peer/let-go"
	PathAdmin    = "/admin/"
)

// SplitJobPath parses the path of a job request: the job's ID (empty for the collection), and
// whether the request cancels the job.
func SplitJobPath(path string) (id string, cancel, ok bool) {
	if path == PathJobs {
		return "", false, true
	}
	rest, ok := strings.CutPrefix(path, PathJobs+"/")
	if !ok || rest == "" {
		return "", false, false
	}
	rest, cancel = strings.CutSuffix(rest, cancelSuffix)
	if rest == "" || strings.Contains(rest, "/") {
		return "", false, false
	}
	return rest, cancel, true
}

// LeasePath returns the path of a lease.
func LeasePath(lease int64) string { return fmt.Sprintf("%s/%d", PathLeases, lease) }

// LeaseRenewalPath returns the path that renews a lease.
func LeaseRenewalPath(lease int64) string { return LeasePath(lease) + renewSuffix }
