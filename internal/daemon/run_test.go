package daemon

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"

	"oakpick/internal/controller"
	"oakpick/internal/protocol"
)

// One controller leads; the other one forwards users' requests and operators' settings to it
// over HTTP/2.
func TestFollowerForwardsToLeader(t *testing.T) {
	p := newControllerPair(t)
	for i, api := range p.apiAddresses {
		t.Run([]string{"users at the leader", "users at the follower"}[i], func(t *testing.T) {
			if status, _ := request(t, "GET", api+"/healthz", ""); status != 200 {
				t.Errorf("healthz: %d", status)
			}
			if status, body := request(t, "GET", api+"/v2/runs/wk-000001", ""); status != 404 {
				t.Errorf("an unknown job: %d %q", status, body)
			}
			if status, _ := request(t, "POST", api+"/v2/runs", "\x90"); status != 400 {
				t.Errorf("a list in place of a submission: %d", status)
			}
		})
	}
	leader, follower := p.peerAddresses[0], p.peerAddresses[1]
	t.Run("settings through the follower", func(t *testing.T) {
		if status, body := request(t, "PATCH", follower+"/admin/settings", `{"sample": 3}`); status != 200 {
			t.Errorf("settings through the follower: %d %s", status, body)
		}
		status, body := request(t, "PATCH", follower+"/admin/settings", `{"sample": -3}`)
		if status != 400 || !strings.Contains(body, "sample") {
			t.Errorf("bad settings through the follower: %d %s", status, body)
		}
		if _, body := request(t, "GET", leader+"/admin/settings", ""); !strings.Contains(body, `"sample": 3`) {
			t.Errorf("the leader's settings: %s", body)
		}
	})
	t.Run("metrics", func(t *testing.T) {
		if status, body := request(t, "GET", leader+"/admin/metrics", ""); status != 200 || !strings.Contains(body, "state_write") {
			t.Errorf("metrics: %d %s", status, body)
		}
	})
	t.Run("status of the follower", func(t *testing.T) {
		if _, body := request(t, "GET", follower+"/admin/status", ""); !strings.Contains(body, `"role": "follower"`) {
			t.Errorf("the follower's status: %s", body)
		}
	})
}

func TestJobStatusForOperatorsAtLeaderAndFollower(t *testing.T) {
	p := newControllerPair(t)
	submitEventually(t, p.apiAddresses[1], 1)
	for i, address := range p.peerAddresses {
		t.Run([]string{"leader", "follower"}[i], func(t *testing.T) {
			var job controller.JobStatus
			status, body := request(t, "GET", address+"/admin/jobs/wk-000001", "")
			err := json.Unmarshal([]byte(body), &job)
			if err != nil || status != 200 || job.Class != "c" || job.Waiting != 1 || job.Failures != nil {
				t.Errorf("%d %s", status, body)
			}
			if status, body := request(t, "GET", address+"/admin/jobs/wk-000002", ""); status != 404 {
				t.Errorf("an unknown job: %d %s", status, body)
			}
		})
	}
}

// jobStatus decodes the status of a job from a response. It is empty if the response has none.
func jobStatus(body string) string {
	var response protocol.JobResponse
	if protocol.Decode([]byte(body), &response) != nil {
		return ""
	}
	return response.Status
}

// pollConcurrently queries a job at both nodes concurrently, by polls and by repeated
// submissions. A response must have one of the allowed statuses or be a 503.
func (p *controllerPair) pollConcurrently(t *testing.T, i int, allowed ...string) {
	t.Helper()
	var users sync.WaitGroup
	for n := range 12 {
		users.Go(func() {
			api := p.apiAddresses[n%2]
			code, body := request(t, "GET", api+protocol.PathJobs+"/"+jobID(i), "")
			if n%3 == 0 {
				code, body = request(t, "POST", api+protocol.PathJobs, submission(i))
			}
			if code != 503 && (code != 200 || !slices.Contains(allowed, jobStatus(body))) {
				t.Errorf("%s at node %d: %d %q, allowed %v", jobID(i), n%2, code, jobStatus(body), allowed)
			}
		})
	}
	users.Wait()
}

// Users poll a job at both nodes concurrently: right after it was accepted, while it is
// cancelled, and after the leader has stopped. A request that is sent after a response was
// received must not get an older status than that response.
func TestJobStatusNeverGoesBack(t *testing.T) {
	p := newControllerPair(t)
	submitEventually(t, p.apiAddresses[0], 1)
	for i := 1; i <= 8; i++ {
		submitEventually(t, p.apiAddresses[i%2], i)
		p.pollConcurrently(t, i, protocol.StatusQueued)
		var polls sync.WaitGroup
		polls.Go(func() { p.pollConcurrently(t, i, protocol.StatusQueued, protocol.StatusCancelled) })
		eventually(t, func() (string, bool) {
			code, body := request(t, "POST", p.apiAddresses[(i+1)%2]+protocol.JobPath(jobID(i), true), "")
			return body, code == 200 && jobStatus(body) == protocol.StatusCancelled
		})
		p.pollConcurrently(t, i, protocol.StatusCancelled)
		polls.Wait()
	}
	p.stopLeader()
	eventually(t, func() (string, bool) {
		code, body := request(t, "GET", p.apiAddresses[1]+protocol.JobPath(jobID(3), false), "")
		return body, code == 200 && jobStatus(body) == protocol.StatusCancelled
	})
	for n := range 12 {
		path := protocol.JobPath(jobID(1+n%8), false)
		if code, body := request(t, "GET", p.apiAddresses[1]+path, ""); code != 503 && jobStatus(body) != protocol.StatusCancelled {
			t.Errorf("after the leader has stopped: %d %q", code, jobStatus(body))
		}
	}
}
