package protocol

import (
	"fmt"
	"strings"
)

// Paths of the interfaces.
const (
	PathJobs         = "/v2/runs"
	PathHealth       = "/healthz"
	PathHeartbeat    = "/agent/beat"
	PathCommands     = "/orders"
	PathMachineTypes = "/flavors"
	PathScaleOut     = "/rentals"
	PathScaleIn      = "/rentals/return"
	PathKV           = "/kv"
	PathTxn          = "/txn"
	PathLeases       = "/grants"
	cancelSuffix     = "/abort"
	renewSuffix      = "/renew"

	// PathStepDown and the paths under PathAdmin are the project's own, on the listener for
	// peers and operators.
	PathStepDown = "/peer/let-go"
	PathAdmin    = "/admin/"
)

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
	rest, cancel = strings.CutSuffix(rest, cancelSuffix)
	if rest == "" || strings.Contains(rest, "/") {
		return "", false, false
	}
	return rest, cancel, true
}

// LeasePath is the path of a lease.
func LeasePath(lease int64) string { return fmt.Sprintf("%s/%d", PathLeases, lease) }

// LeaseRenewalPath is the path for renewing a lease.
func LeaseRenewalPath(lease int64) string { return LeasePath(lease) + renewSuffix }
