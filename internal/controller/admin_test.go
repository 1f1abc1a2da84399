package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/message"
)

// Invalid admin settings are rejected, and the response names them. Valid ones take effect
// whichever controller receives them, and survive a crash of all controllers.
func TestAdminSettingsAreValidatedAndDurable(t *testing.T) {
	w := newWorld(t)
	w.Run(2 * time.Second)
	for body, wantNamed := range map[string]string{
		`{"sample": 0}`:          "sample",
		`{"idle_s": "long"}`:     "idle_s",
		`{"write_share": 2}`:     "write_share",
		`{"no_such_figure": 1}`:  "no_such_figure",
		`{"warm_room": -1}`:      "warm_room",
		`[1]`:                    "",
		`{"takeover_wait_s": []`: "",
	} {
		t.Run(body, func(t *testing.T) {
			status, answer := adminRequest(w, 0, message.AdminChangeOptions, body)
			if status != 400 || !strings.Contains(answer, wantNamed) {
				t.Errorf("%d %s", status, answer)
			}
		})
	}
	if status, answer := adminRequest(w, 1, message.AdminChangeOptions, `{"sample": 7, "warm_room": 0.5}`); status != 200 {
		t.Fatalf("change through a follower: %d %s", status, answer)
	}
	crashAll(w)
	startAll(w)
	w.Run(6 * time.Second)
	for i, c := range w.Controllers {
		status, answer := adminRequest(w, i, message.AdminReadOptions, "")
		if status != 200 || !strings.Contains(answer, `"sample": 7`) || !strings.Contains(answer, `"warm_room": 0.5`) {
			t.Errorf("%s: %d %s", c.Name, status, answer)
		}
		if status, answer = adminRequest(w, i, message.AdminStatus, ""); status != 200 || !strings.Contains(answer, fmt.Sprintf(`"node": "n%d"`, i)) {
			t.Errorf("status of %s: %d %s", c.Name, status, answer)
		}
	}
}

// An invalid change is rejected as a whole: the response names every problem, and no setting
// is changed.
func TestAdminSettingsNameEveryProblem(t *testing.T) {
	w := newWorld(t)
	w.Run(2 * time.Second)
	_, before := adminRequest(w, 0, message.AdminReadOptions, "")
	for body, wantNamed := range map[string][]string{
		`{"write_share": null}`:              {"write_share"},
		`{}`:                                 {"no setting is named"},
		``:                                   {"not a JSON object"},
		`null`:                               {"no setting is named"},
		`{"write_share": 0.5} {"sample": 1}`: {"not a JSON object"},
		`{"write_share": 0.01}`:              {"write_share: out of range"},
		`{"write_share": 1e999}`:             {"write_share"},
		`{"write_share": "half"}`:            {"write_share: a string where"},
		`{"write_share": true, "sample": 1.5, "idle_s": -1, "no_such_figure": 2, "warm_room": 1}`: {"write_share", "sample", "idle_s", "no_such_figure"},
	} {
		t.Run(body, func(t *testing.T) {
			status, answer := adminRequest(w, 0, message.AdminChangeOptions, body)
			for _, name := range wantNamed {
				if status != 400 || !strings.Contains(answer, name) {
					t.Errorf("the response does not name %q: %d %s", name, status, answer)
				}
			}
		})
	}
	if _, after := adminRequest(w, 0, message.AdminReadOptions, ""); after != before {
		t.Errorf("rejected changes modified the settings from %s to %s", before, after)
	}
}
