package distributionrun

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// faultKind is a kind of fault, by its name on the command line.
type faultKind string

const (
	killAgentFault          faultKind = "kill"    // the agent that holds most is killed for good
	restartAgentFault       faultKind = "restart" // the same, and starts again
	hangAgentFault          faultKind = "hang"    // the same stops without ending, for good
	killLeaderFault         faultKind = "leader"  // the leader is killed, and starts again
	storeOutageFault        faultKind = "store"   // the store answers nobody for as long as one alone took
	corruptResponsesFault   faultKind = "wrong"   // the store's next answers have wrong bytes
	truncatedResponsesFault faultKind = "cut"     // the store's next answers break off
	newVersionFault         faultKind = "version" // another version is to be used, with half of the chunks the same
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

// scheduledFault is a fault and when it is injected.
type scheduledFault struct {
	kind faultKind
	part float64 // of the time that one agent alone took
}

// String is the fault as it is written on the command line.
func (f scheduledFault) String() string { return fmt.Sprintf("%s@%g", f.kind, f.part) }

// delay is the time from the start of the fleet's fetch until the fault.
func (f scheduledFault) delay(aloneTime time.Duration) time.Duration {
	return time.Duration(f.part * float64(aloneTime))
}

// maxFaultPart is the latest time of a fault, in times that one agent alone took.
const maxFaultPart = 10

// FaultSyntaxError says that a fault on the command line can't be read.
type FaultSyntaxError struct{ Text string }

// Error names the fault and what is allowed.
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

// parseFaults returns the faults, or every one that can't be read as an error.
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
