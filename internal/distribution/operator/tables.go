package operator

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
)

// WriteNames writes a table of names.
func WriteNames(w io.Writer, names []distribution.NameRecord) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Errors of writing to the table are reported by Flush.
	_, _ = fmt.Fprintln(table, "name\tmanifest\trevision")
	for _, record := range names {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\n", record.Name, record.Manifest, record.Revision)
	}
	return table.Flush()
}

// WriteStatus writes a summary of a name's distribution and a table of the agents: the chunks they
// hold, their sources and downloaders, and the reasons why they wait.
func WriteStatus(w io.Writer, s tracker.Status) error {
	_, err := fmt.Fprintf(w, "%s is %s, revision %d\n%d agents: %d hold all of it, %d serve it; fetching from the store: %s\n\n",
		s.Name, s.Manifest, s.Revision, s.Agents, s.Complete, s.Active, cmp.Or(strings.Join(s.StoreUsers, ", "), "nobody"))
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// Errors of writing to the table are reported by Flush.
	_, _ = fmt.Fprintln(table, "agent\tzone\tchunks\tserves\theard\tfetches from\tgives to\twaits")
	for _, member := range s.Members {
		lastReportAge := time.Duration(member.LastReportAgeS * float64(time.Second)).Round(time.Second / 10)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d/%d\t%s\t%s ago\t%s\t%s\t%s\n",
			member.Agent, member.Zone, member.Chunks, member.Total, yesNo(member.Active), lastReportAge,
			joinOrDash(member.Sources), joinOrDash(member.Downloaders), describeWaits(member))
	}
	return table.Flush()
}

// joinOrDash joins names with commas, or returns a dash if there are none.
func joinOrDash(names []string) string { return cmp.Or(strings.Join(names, ","), "-") }

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// describeWaits returns the reasons why an agent waits, and how many agents received damaged
// chunks from it.
func describeWaits(member tracker.AgentStatus) string {
	var reasons []string
	for _, wait := range member.Waits {
		text := wait.Description
		if wait.MissingChunks > 0 {
			text += fmt.Sprintf(" (%d missing)", wait.MissingChunks)
		}
		if wait.Chunk != "" {
			text += ", one is " + wait.Chunk.String()
		}
		reasons = append(reasons, wait.Name+": "+text)
	}
	if member.DamageReporters > 0 {
		reasons = append(reasons, fmt.Sprintf("%d takers got damaged chunks from it", member.DamageReporters))
	}
	return strings.Join(reasons, "; ")
}
