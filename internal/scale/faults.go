package scale

import (
	"context"
	"fmt"
	"time"

	"oakpick/internal/config"
)

// fault is a trouble: what it does, and for how long until it is undone.
type fault struct {
	begin  func(*play) error
	lasts  time.Duration
	leases float64 // how much longer it lasts, in workers' leases
	end    func(*play) error
}

// How long and how far faults go.
const (
	restartDelay  = 5 * time.Second
	outageLasts   = 20 * time.Second
	cutShare      = 10 // one worker of so many
	rackMachines  = 40
	restartsADay  = 210
	restartsWatch = time.Minute
)

var faults = map[string]fault{
	"leader": {
		begin: func(y *play) error {
			y.restarted = y.controllers.leader()
			if y.restarted < 0 {
				return fmt.Errorf("nobody leads")
			}
			y.controllers.kill(y.restarted)
			return nil
		},
		lasts: restartDelay,
		end:   func(y *play) error { return y.controllers.start(y.restarted) },
	},
	"all-controllers": {
		begin: func(y *play) error { y.controllers.killAll(); return nil },
		lasts: restartDelay,
		end:   func(y *play) error { return y.controllers.startAll() },
	},
	"state": {
		begin: func(y *play) error { y.loop.wait(func() { y.world.State.SetOutage(true) }); return nil },
		lasts: outageLasts,
		end:   func(y *play) error { y.loop.wait(func() { y.world.State.SetOutage(false) }); return nil },
	},
	"cut": {
		begin: func(y *play) error {
			y.loop.wait(func() {
				for i, name := range y.world.MachineNames() {
					if i%cutShare == 0 {
						y.cut[name] = true
					}
				}
			})
			return nil
		},
		leases: 1.5,
		end:    func(y *play) error { y.loop.wait(func() { clear(y.cut) }); return nil },
	},
	"rack": {
		begin: func(y *play) error {
			y.loop.wait(func() {
				names := y.world.MachineNames()
				for _, name := range names[:min(rackMachines, len(names)/2)] {
					y.world.Cloud.Fail(name)
				}
			})
			return nil
		},
		end: func(*play) error { return nil },
	},
	// As many restarts in a minute as a bad hour has if it has all that a day has.
	"restarts": {
		begin: func(y *play) error {
			y.loop.wait(func() {
				apart := time.Hour / restartsADay
				for at := apart / 2; at < restartsWatch; at += apart {
					y.world.After(at, func() {
						if names := y.world.MachineNames(); len(names) > 0 {
							y.world.Cloud.Fail(names[y.workload.rng.IntN(len(names))])
						}
					})
				}
			})
			return nil
		},
		lasts: restartsWatch,
		end:   func(*play) error { return nil },
	},
}

// lasting is how long a fault lasts with these settings.
func (y *play) lasting(f fault) time.Duration {
	return f.lasts + config.Seconds(f.leases*y.p.LeaseS)
}

// faults injects the faults one after the other.
func (y *play) faults(ctx context.Context, report *Report) error {
	for _, name := range y.p.Faults {
		r, err := y.fault(ctx, name)
		if err != nil {
			return err
		}
		report.Faults = append(report.Faults, *r)
		y.say("fault %s: %.1f s without answers, %.1f s without starts, %d tasks killed by lease, %d died, %d rules broken",
			name, r.WithoutAnswers, r.WithoutStarts, r.KilledByLease, r.TasksDied, r.Broken)
	}
	return nil
}

func (y *play) fault(ctx context.Context, name string) (*FaultReport, error) {
	f := faults[name]
	var killed, died, broken int
	y.loop.wait(func() {
		y.meter.forget()
		y.times.watch(y.world.Now)
		killed, died, broken = y.world.TasksLostToLeaseExpiry, y.world.TasksLostWithMachine, len(y.world.Violations)
	})
	if err := f.begin(y); err != nil {
		return nil, fmt.Errorf("fault %s: %w", name, err)
	}
	if err := y.sleep(ctx, "fault "+name, y.lasting(f)); err != nil {
		return nil, err
	}
	if err := f.end(y); err != nil {
		return nil, fmt.Errorf("the end of fault %s: %w", name, err)
	}
	if err := y.sleep(ctx, "after fault "+name, y.p.Recover); err != nil {
		return nil, err
	}
	r := &FaultReport{Fault: name, Urgent: y.meter.times.Summaries()["urgent start received"]}
	y.loop.wait(func() {
		answers, starts := y.times.seen(y.world.Now)
		r.WithoutAnswers, r.WithoutStarts = answers.Seconds(), starts.Seconds()
		r.KilledByLease = y.world.TasksLostToLeaseExpiry - killed
		r.TasksDied = y.world.TasksLostWithMachine - died
		r.Broken = len(y.world.Violations) - broken
	})
	return r, nil
}
