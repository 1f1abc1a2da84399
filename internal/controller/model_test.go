package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// TestInvariantsUnderRandomFaults draws days: jobs of all shapes, and crashes,
// cuts, outages, hangs, losses, late and repeated messages in any order. The
// rules hold throughout, and once the troubles are over everything is served.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := fake.Settings()
		if rapid.Bool().Draw(t, "limits to come") {
			settings.State.Next = nextLimits(1, rapid.IntRange(1, 3).Draw(t, "changes to come"), 25)
		}
		teams := []string{"red", "blue"}
		if rapid.Bool().Draw(t, "guests") {
			settings.Teams = append(settings.Teams, config.Team{Name: "guests"})
			teams = append(teams, "guests")
		}
		w := fake.NewWorld(settings)
		w.RewriteAsProduction = roundTripProduction
		rolls := rapid.Bool().Draw(t, "rolls")
		for _, n := range w.Controllers {
			if n.RunsProduction = rolls; rolls { // the day begins with the version in production
				n.Crash()
				n.Start()
			}
		}
		upgraded := func() bool {
			return !slices.ContainsFunc(w.Controllers, func(n *fake.Controller) bool { return n.RunsProduction })
		}
		cut := map[string]bool{}      // from>to: nothing arrives
		deaf := map[string]bool{}     // hosts that get no answers and no commands
		mute := map[string]bool{}     // hosts whose reports reach nobody
		var kept []protocol.Heartbeat // copies, for the next leader
		leader := ""
		loss, late, copies := 0, 0, 0 // in hundredths
		slow := time.Duration(0)      // answers of the state service
		w.Network = func(kind, from, to string) fake.Delivery {
			f := fake.Reliable()
			if cut[from+">"+to] {
				f.LoseRequest = true
				if late > 50 { // held, and delivered when the cut ends
					f.LoseRequest, f.RequestDelay = false, 20*time.Second
				}
				return f
			}
			if kind == fake.KindState {
				f.ResponseDelay += slow
			}
			draw := func(what string, share int) bool {
				return share > 0 && rapid.IntRange(0, 99).Draw(t, what) < share
			}
			if mute[from] && kind == fake.KindHeartbeat {
				f.LoseRequest = true
				return f
			}
			if deaf[to] && kind == fake.KindCommands || deaf[from] && kind == fake.KindHeartbeat {
				if kind == fake.KindCommands {
					f.LoseRequest = true
				}
				f.LoseResponse = true
				return f
			}
			f.LoseRequest = draw("lose request", loss)
			f.LoseResponse = draw("lose answer", loss)
			if draw("late", late) {
				f.RequestDelay = time.Duration(rapid.IntRange(1, 40).Draw(t, "late by")) * time.Second
			}
			if draw("copy", copies) {
				f.DuplicateAfter = time.Duration(rapid.IntRange(1, 40).Draw(t, "copied after")) * time.Second
			}
			return f
		}
		jobs := 0
		submit := func() {
			if jobs >= 8 {
				return
			}
			jobs++
			s := job(jobs, protocol.JobKind(rapid.IntRange(0, 2).Draw(t, "shape")), rapid.IntRange(1, 4).Draw(t, "tasks"))
			s.Priority = protocol.Priority(rapid.IntRange(0, 3).Draw(t, "priority"))
			s.Team = rapid.SampledFrom(teams).Draw(t, "team")
			s.Spot = rapid.Bool().Draw(t, "spot")
			s.CPUs = float64(rapid.IntRange(1, 3).Draw(t, "cpus"))
			switch rapid.IntRange(0, 5).Draw(t, "zones") {
			case 0:
				s.OneZone = true
			case 1:
				s.Spread = true
			case 2:
				s.Zone = "a"
			}
			s.Image = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "image")
			for i := 1; i < jobs && upgraded(); i++ { // nothing new is asked of the service before
				p := w.Jobs[fmt.Sprintf("wk-%06d", i)]
				if p.Accepted && p.Submission.Kind != protocol.Service && rapid.IntRange(0, 3).Draw(t, "needs") == 0 {
					s.Prerequisites = append(s.Prerequisites, p.Submission.ID)
				}
			}
			if s.Kind == protocol.Service {
				s.CheckpointIntervalS = 0
			}
			j := w.Submit(s, time.Duration(rapid.IntRange(1, 15).Draw(t, "run"))*time.Second)
			j.AlwaysFails = rapid.IntRange(0, 19).Draw(t, "broken") == 0
		}
		pick := func() (*fake.Worker, string) {
			names := w.MachineNames()
			if len(names) == 0 {
				return nil, ""
			}
			n := rapid.SampledFrom(names).Draw(t, "host")
			return w.Workers[n], n
		}
		node := func() *fake.Controller { return w.Controllers[rapid.IntRange(0, 2).Draw(t, "node")] }
		submit()
		submit()
		for range rapid.IntRange(4, 14).Draw(t, "actions") {
			switch rapid.SampledFrom([]string{
				"submit", "submit", "cancel", "crash", "crash all", "state down", "state cut", "isolate", "cut host", "deaf",
				"hang", "pause", "stall", "notice", "die", "cloud", "noise", "sick", "again", "zone",
				"mute", "keep reports", "looks", "cancel at end", "odd", "slow state", "roll", "roll", "lower limits",
			}).Draw(t, "action") {
			case "submit":
				submit()
			case "cancel":
				if j := w.Jobs[fmt.Sprintf("wk-%06d", rapid.IntRange(1, jobs).Draw(t, "job"))]; j != nil && !j.CancelRequested && j.Accepted {
					w.CancelJob(j)
				}
			case "again":
				if j := w.Jobs[fmt.Sprintf("wk-%06d", rapid.IntRange(1, jobs).Draw(t, "job"))]; j != nil && j.Accepted {
					w.Resubmit(j)
				}
			case "crash":
				if n := node(); n.Up {
					n.Crash()
					w.After(time.Duration(rapid.IntRange(0, 8000).Draw(t, "for"))*time.Millisecond, n.Start)
				}
			case "crash all":
				for _, n := range w.Controllers {
					if n.Up {
						n.Crash()
						w.After(time.Duration(rapid.IntRange(0, 8000).Draw(t, "for"))*time.Millisecond, n.Start)
					}
				}
			case "state down":
				w.State.SetOutage(true)
				w.After(time.Duration(rapid.IntRange(1, 40).Draw(t, "for"))*time.Second, func() { w.State.SetOutage(false) })
			case "state cut":
				n := node()
				w.State.Unreachable[n.Name] = true
				w.After(time.Duration(rapid.IntRange(1, 40).Draw(t, "for"))*time.Second, func() { w.State.Unreachable[n.Name] = false })
			case "isolate": // only its workers are left to it
				n := node()
				ends := []string{"state", "cloud", "n0", "n1", "n2"}
				for _, e := range ends {
					cut[n.Name+">"+e], cut[e+">"+n.Name] = true, true
				}
				w.After(time.Duration(rapid.IntRange(1, 60).Draw(t, "for"))*time.Second, func() {
					for _, e := range ends {
						delete(cut, n.Name+">"+e)
						delete(cut, e+">"+n.Name)
					}
				})
			case "cut host":
				_, h := pick()
				for _, n := range w.Controllers {
					cut[n.Name+">"+h], cut[h+">"+n.Name] = true, true
				}
				w.After(time.Duration(rapid.IntRange(1, 40).Draw(t, "for"))*time.Second, func() {
					for _, n := range w.Controllers {
						delete(cut, n.Name+">"+h)
						delete(cut, h+">"+n.Name)
					}
				})
			case "zone": // a node and a machine are left to themselves
				n := node()
				_, h := pick()
				for _, o := range w.Controllers {
					if o != n {
						cut[o.Name+">"+h], cut[h+">"+o.Name] = true, true
						cut[o.Name+">"+n.Name], cut[n.Name+">"+o.Name] = true, true
					}
				}
				cut[n.Name+">state"], cut[n.Name+">cloud"] = true, true
				w.After(time.Duration(rapid.IntRange(1, 60).Draw(t, "for"))*time.Second, func() { clear(cut) })
			case "deaf":
				_, h := pick()
				deaf[h] = true
				w.After(time.Duration(rapid.IntRange(1, 40).Draw(t, "for"))*time.Second, func() { delete(deaf, h) })
			case "hang":
				if k, _ := pick(); k != nil {
					k.HangUntil = w.Now + time.Duration(rapid.IntRange(1, 30).Draw(t, "for"))*time.Second
				}
			case "pause":
				node().PausedUntil = w.Now + time.Duration(rapid.IntRange(100, 6000).Draw(t, "for"))*time.Millisecond
			case "stall": // before it carries one of its next effects out
				n := node()
				left := rapid.IntRange(0, 30).Draw(t, "effects")
				d := time.Duration(rapid.IntRange(100, 30_000).Draw(t, "for")) * time.Millisecond
				n.StallBefore = func(message.Effect) time.Duration {
					if left--; left != 0 {
						return 0
					}
					return d
				}
			case "notice":
				_, h := pick()
				w.AnnounceInterruption(h, time.Duration(rapid.IntRange(1, 15).Draw(t, "in"))*time.Second)
			case "die":
				if _, h := pick(); h != "" {
					w.Cloud.Fail(h)
				}
			case "cloud":
				w.Cloud.Down = true
				w.After(time.Duration(rapid.IntRange(1, 30).Draw(t, "for"))*time.Second, func() { w.Cloud.Down = false })
			case "sick":
				if k, _ := pick(); k != nil {
					k.FailsTasks = true
					w.After(30*time.Second, func() { k.FailsTasks = false })
				}
			case "mute":
				_, h := pick()
				mute[h] = true
				w.After(time.Duration(rapid.IntRange(1, 40).Draw(t, "for"))*time.Second, func() { delete(mute, h) })
			case "keep reports":
				w.OnHeartbeat = func(r protocol.Heartbeat) {
					if len(kept) < 300 {
						r.Tasks = slices.Clone(r.Tasks)
						kept = append(kept, r)
					}
				}
			case "looks":
				for range 5 {
					for i := range jobs {
						w.QueryEverywhere(w.Jobs[fmt.Sprintf("wk-%06d", i+1)])
					}
					w.Run(30 * time.Millisecond)
				}
			case "cancel at end":
				j := w.Jobs[fmt.Sprintf("wk-%06d", rapid.IntRange(1, jobs).Draw(t, "job"))]
				if !j.CancelRequested && j.Accepted && j.Submission.Kind != protocol.Service {
					w.RunUntil(20*time.Second, func() bool { return len(j.DoneTasks) == j.Submission.Tasks })
					w.CancelEverywhere(j)
				}
			case "roll": // the next controller gets the new version
				for _, n := range w.Controllers {
					if n.RunsProduction {
						upgrade(w, n, time.Duration(rapid.IntRange(100, 6000).Draw(t, "for"))*time.Millisecond)
						break
					}
				}
			case "lower limits":
				if upgraded() {
					w.State.LowerLimits()
				}
			case "odd":
				w.InvalidRequests()
			case "slow state":
				slow = time.Duration(rapid.IntRange(50, 900).Draw(t, "by")) * time.Millisecond
				w.After(time.Duration(rapid.IntRange(1, 20).Draw(t, "for"))*time.Second, func() { slow = 0 })
			case "noise":
				loss, late, copies = rapid.IntRange(0, 20).Draw(t, "loss"), rapid.IntRange(0, 10).Draw(t, "late"), rapid.IntRange(0, 20).Draw(t, "copies")
			}
			for range rapid.IntRange(1, 6).Draw(t, "polls") {
				w.Run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "run")) * time.Millisecond)
				w.PollAll()
				if l := w.Leader(); l != nil && l.Name != leader {
					leader = l.Name
					for _, r := range kept { // to every controller, just as another leads
						for _, n := range w.Controllers {
							n.Request(message.HeartbeatRequest{Heartbeat: &r}, func(message.Reply) {})
						}
					}
					kept, w.OnHeartbeat = nil, nil
				}
			}
			requireNoViolations(t, w)
		}
		loss, late, copies, slow = 0, 0, 0, 0
		for _, n := range w.Controllers {
			if n.RunsProduction {
				upgrade(w, n, time.Second)
			}
		}
		for _, n := range w.Controllers {
			n.StallBefore = nil
		}
		w.Run(65 * time.Second) // the longest trouble is over
		over := w.Now
		for i := range jobs {
			j := w.Jobs[fmt.Sprintf("wk-%06d", i+1)]
			// What never ends is cancelled where it can keep others from running:
			// jobs that always fail, and services of the team with a limit.
			if !j.CancelRequested && j.Accepted && !w.CancelledByAncestor(j) && (j.AlwaysFails || j.Submission.Team == "red" && j.Submission.Kind == protocol.Service) {
				w.CancelJob(j)
			}
		}
		for range 40 {
			w.Run(6 * time.Second)
			w.PollAll()
		}
		w.Run(time.Second)
		requireNoViolations(t, w)
		requireAllServed(t, w)
		for id, j := range w.Jobs {
			if j.Accepted && j.AnsweredAt < max(over, w.Now-75*time.Second) {
				t.Fatalf("%s: no question was answered since %v", id, j.AnsweredAt)
			}
		}
	})
}
