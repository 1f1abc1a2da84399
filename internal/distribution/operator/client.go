// Package operator asks the controllers about weights and steers them, for the command line.
package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
)

// Client asks one controller after another until one answers.
type Client struct {
	Controllers []string // addresses of their trackers
	HTTP        http.Client
}

// maxAnswer bounds what is read of an answer: a page of status with every agent's waits.
const maxAnswerBytes = 16 << 20

// call makes a request and decodes the answer.
func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var problems []error
	for _, controller := range c.Controllers {
		again, err := c.send(ctx, controller, method, path, text, answer)
		if err == nil || !again {
			return err
		}
		problems = append(problems, err)
	}
	return errors.Join(problems...)
}

// ask asks one controller; again tells whether another may know better.
func (c *Client) send(ctx context.Context, controller, method, path string, body []byte, answer any) (again bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+controller+path, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.HTTP.Do(req)
	if err != nil {
		return true, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return true, fmt.Errorf("%s: %w", controller, err)
	}
	if res.StatusCode != http.StatusOK {
		var refusal distribution.ErrorAnswer
		if json.Unmarshal(text, &refusal) != nil {
			refusal.Error = "it doesn't track weights"
		}
		return res.StatusCode >= http.StatusInternalServerError, fmt.Errorf("%s: %d: %s", controller, res.StatusCode, refusal.Error)
	}
	return false, json.Unmarshal(text, answer)
}

// Use has a name refer to a manifest, and returns once that is durable.
func (c *Client) Use(ctx context.Context, name string, manifest digest.Digest) (distribution.NameRecord, error) {
	var record distribution.NameRecord
	err := c.call(ctx, http.MethodPut, distribution.PathWeights+"/"+name, distribution.UseRequest{Manifest: manifest}, &record)
	return record, err
}

// Names lists all names.
func (c *Client) Names(ctx context.Context) ([]distribution.NameRecord, error) {
	var all []distribution.NameRecord
	for after := ""; ; {
		var page tracker.NamesPage
		if err := c.call(ctx, http.MethodGet, pagePath(distribution.PathWeights, after), nil, &page); err != nil {
			return all, err
		}
		all = append(all, page.Names...)
		if !page.More || len(page.Names) == 0 {
			return all, nil
		}
		after = page.Names[len(page.Names)-1].Name
	}
}

// behind is the path of the page behind an entry.
func pagePath(path, after string) string {
	if after == "" {
		return path
	}
	return path + "?after=" + url.QueryEscape(after)
}

// Status asks who holds what of a name, page by page.
func (c *Client) Status(ctx context.Context, name string) (tracker.Status, error) {
	var all tracker.Status
	for after := ""; ; {
		var page tracker.Status
		if err := c.call(ctx, http.MethodGet, pagePath(distribution.PathWeights+"/"+name, after), nil, &page); err != nil {
			return all, err
		}
		members := append(all.Members, page.Members...)
		all = page
		all.Members = members
		if !page.More || len(page.Members) == 0 {
			return all, nil
		}
		after = page.Members[len(page.Members)-1].Agent
	}
}

// WriteNames writes a table of names.
func WriteNames(w io.Writer, names []distribution.NameRecord) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tmanifest\trevision")
	for _, n := range names {
		fmt.Fprintf(table, "%s\t%s\t%d\n", n.Name, n.Manifest, n.Revision)
	}
	return table.Flush()
}

// WriteStatus writes who holds what, what is fetched from whom, and why agents wait.
func WriteStatus(w io.Writer, s tracker.Status) error {
	fmt.Fprintf(w, "%s is %s, revision %d\n%d agents: %d hold all of it, %d serve it; fetching from the store: %s\n\n",
		s.Name, s.Manifest, s.Revision, s.Agents, s.Complete, s.Active, cmp.Or(strings.Join(s.Store, ", "), "nobody"))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "agent\tzone\tchunks\tserves\theard\tfetches from\tgives to\twaits")
	for _, m := range s.Members {
		fmt.Fprintf(table, "%s\t%s\t%d/%d\t%s\t%s ago\t%s\t%s\t%s\n", m.Agent, m.Zone, m.Chunks, m.Total, yesNo(m.Active),
			time.Duration(m.LastReportAgeS*float64(time.Second)).Round(time.Second/10), cmp.Or(strings.Join(m.Sources, ","), "-"), cmp.Or(strings.Join(m.Downloaders, ","), "-"), describeWaits(m))
	}
	return table.Flush()
}

func yesNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

// waits says why an agent doesn't get on.
func describeWaits(m tracker.AgentStatus) string {
	var out []string
	for _, w := range m.Waits {
		text := w.Why
		if w.Chunks > 0 {
			text += fmt.Sprintf(" (%d missing)", w.Chunks)
		}
		if w.Chunk != "" {
			text += ", one is " + w.Chunk.String()
		}
		out = append(out, w.Name+": "+text)
	}
	if m.Accused > 0 {
		out = append(out, fmt.Sprintf("%d takers got damaged chunks from it", m.Accused))
	}
	return strings.Join(out, "; ")
}
