package distributionrun

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// faultKind is a kind of fault. Its text is the name on the command line.
type faultKind string

const (
	killAgentFault          faultKind = "kill"    // kills the incomplete agent with the most chunks
	restartAgentFault       faultKind = "restart" // kills the incomplete agent with the most chunks and restarts it
	hangAgentFault          faultKind = "hang"    // suspends the incomplete agent with the most chunks permanently
	killLeaderFault         faultKind = "leader"  // kills the leader and restarts it
	storeOutageFault        faultKind = "store"   // makes the store unavailable for as long as the single agent's fetch took
	corruptResponsesFault   faultKind = "wrong"   // corrupts the next responses of the store
	truncatedResponsesFault faultKind = "cut"     // truncates the next responses of the store
	newVersionFault         faultKind = "version" // switches the fleet to a new version that shares half of its chunks with the current one
)

func faultKinds() []string {
	var names []string
	for _, kind := range []faultKind{
		killAgentFault, restartAgentFault, hangAgentFault, killLeaderFault, storeOutageFault, corruptResponsesFault, truncatedResponsesFault, newVersionFault,
	} {
		names = append(names, string(kind))
	}
	return names
}

// scheduledFault is a fault with its time of injection.
type scheduledFault struct {
	kind faultKind
	part float64 // time after the start of the fleet's fetch, as a multiple of the single agent's time
}

// String returns the fault in the syntax of the command line.
func (f scheduledFault) String() string { return fmt.Sprintf("%s@%g", f.kind, f.part) }

// delay returns the time from the start of the fleet's fetch until the fault is injected.
func (f scheduledFault) delay(aloneTime time.Duration) time.Duration {
	return time.Duration(f.part * float64(aloneTime))
}

// maxFaultPart is the largest multiple of the single agent's time at which a fault can be injected.
const maxFaultPart = 10

// FaultSyntaxError reports a fault on the command line that can't be parsed.
type FaultSyntaxError struct{ Text string }

// Error names the fault and the accepted syntax.
func (e *FaultSyntaxError) Error() string {
	return fmt.Sprintf("--faults: %q is not KIND@PART with a kind of %s and a part up to %d", e.Text, strings.Join(faultKinds(), ", "), maxFaultPart)
}

func parseFault(text string) (scheduledFault, error) {
	kind, part, found := strings.Cut(text, "@")
	number, err := strconv.ParseFloat(part, 64)
	if !found || err != nil || number < 0 || number > maxFaultPart || !slices.Contains(faultKinds(), kind) {
		return scheduledFault{}, &FaultSyntaxError{Text: text}
	}
	return scheduledFault{faultKind(kind), number}, nil
}

// parseFaults parses faults from the command line. Its error names every fault that can't be parsed.
func parseFaults(texts []string) ([]scheduledFault, error) {
	var faults []scheduledFault
	var problems []error
	for _, text := range texts {
		fault, err := parseFault(text)
		if err != nil {
			problems = append(problems, err)
			continue
		}
		faults = append(faults, fault)
	}
	return faults, errors.Join(problems...)
}
