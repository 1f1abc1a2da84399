package main

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"oakpick/internal/protocol"
)

// users sends requests to the controllers as the load balancer would pass them on: to one node after
// the other, and to the next if a node refuses the connection.
type users struct {
	rec    *record
	client *http.Client
	next   atomic.Int64
}

func newUsers(rec *record) *users {
	return &users{rec: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}}
}

// answer is a node's answer. Status 0 means that there was none.
type answer struct {
	node       string
	status     int
	job        protocol.JobResponse
	err        string
	retryAfter time.Duration
}

// ask sends a request to one node.
func (u *users) ask(node, method, path string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a := answer{node: node}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+nodeAddress[node]+path, bytes.NewReader(body))
	if err != nil {
		return a
	}
	response, err := u.client.Do(request)
	if err != nil {
		a.err = "no answer"
		return a
	}
	defer func() { _ = response.Body.Close() }()
	var text struct {
		Error string `msgpack:"error"`
	}
	content := new(bytes.Buffer)
	if _, err := content.ReadFrom(response.Body); err != nil {
		a.err = "no answer"
		return a
	}
	a.status = response.StatusCode
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	if a.status == 200 || a.status == 201 {
		_ = protocol.Decode(content.Bytes(), &a.job)
	} else if protocol.Decode(content.Bytes(), &text) == nil {
		a.err = text.Error
	}
	return a
}

// node returns the node of the next connection.
func (u *users) node() string { return nodeNames[int(u.next.Add(1))%len(nodeNames)] }

// anywhere sends a request to up to three nodes, until one accepts the connection.
func (u *users) anywhere(method, path string, body []byte, timeout time.Duration) answer {
	var a answer
	for range min(3, len(nodeNames)) {
		if a = u.ask(u.node(), method, path, body, timeout); a.status != 0 {
			return a
		}
	}
	return a
}

// submit submits a job and repeats that for up to 60 s. It returns the last answer.
func (u *users) submit(s protocol.Submission, runs time.Duration) answer {
	book.add(s, runs)
	return u.repeat(s.ID, "submit", http.MethodPost, protocol.PathJobs, protocol.EncodeSubmission(&s), time.Now().Add(60*time.Second))
}

// cancel cancels a job and repeats that until the deadline.
func (u *users) cancel(id string, deadline time.Time) answer {
	return u.repeat(id, "abort", http.MethodPost, protocol.JobPath(id, true), nil, deadline)
}

func (u *users) repeat(id, what, method, path string, body []byte, deadline time.Time) answer {
	for {
		a := u.anywhere(method, path, body, 5*time.Second)
		u.rec.add("user", "%s %s at %s: %d %s %s", what, id, a.node, a.status, a.job.Status, a.err)
		if a.status == 200 || a.status == 201 || a.status == 400 || a.status == 422 {
			return a
		}
		wait := max(time.Second, min(a.retryAfter, 30*time.Second))
		if time.Now().Add(wait).After(deadline) {
			return a
		}
		time.Sleep(wait)
	}
}

// poll asks about a job.
func (u *users) poll(id string) answer {
	a := u.anywhere(http.MethodGet, protocol.JobPath(id, false), nil, 2*time.Second)
	u.rec.add("user", "poll %s at %s: %d %s %s", id, a.node, a.status, a.job.Status, a.err)
	return a
}
