package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"oakpick/internal/scale/testbed"
)

// Run executes the steps in order and injects the faults after the last step. The command, followed by
// the path of a settings file, starts a controller. Run writes progress as lines of text. Before it
// returns, it kills every process that it has started. If the context ends early, the report is
// partial.
func Run(ctx context.Context, p Parameters, command []string, progress io.Writer) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	report := &Report{Parameters: p, Violations: []string{}, Crashed: []string{}}
	for i, fraction := range p.Steps {
		e := experiment{
			parameters: p.step(fraction), fraction: fraction, injectFaults: i == len(p.Steps)-1,
			command: command, report: report, progress: testbed.NewProgressLog(progress),
		}
		err := e.run(ctx)
		if testbed.Interrupted(err) {
			report.Partial = fmt.Sprintf("interrupted in step %g", fraction)
			break
		}
		if err != nil {
			return report, err
		}
	}
	report.Lines = fitLines(report.Steps)
	return report, nil
}

// experiment executes one step of a run.
type experiment struct {
	parameters   Parameters // at this step's size
	fraction     float64    // of the full size
	command      []string   // starts a controller
	injectFaults bool
	report       *Report
	progress     *testbed.ProgressLog

	testbed      *testbed.Testbed
	workload     *workload
	gaps         *serviceGaps // owned by the testbed's loop
	killedLeader int          // number of the controller that killLeader killed
}

// run builds the testbed, runs the workload, measures the step and removes the testbed.
func (e *experiment) run(ctx context.Context) error {
	directory, err := os.MkdirTemp("", "oakpick-scale-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }() // leaving a temporary directory behind is harmless
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.build(directory)
	defer e.testbed.Close()
	if err := e.testbed.Start(ctx); err != nil {
		return err
	}
	if err := e.testbed.Controllers.StartAll(); err != nil {
		return err
	}
	e.testbed.ProbeHealth(ctx)
	e.testbed.Do(e.workload.begin)
	if err := e.settle(ctx); err != nil {
		return err
	}
	err = e.measure(ctx)
	e.collectViolations()
	return err
}

// build creates the workload and a testbed whose state service already stores the ended jobs.
func (e *experiment) build(directory string) {
	p := e.parameters
	e.gaps = &serviceGaps{}
	e.testbed = testbed.New(p.testbedSpec(), e.command, directory)
	e.testbed.OnUserResponse(e.gaps.answered)
	e.testbed.World.State.Restore(endedPages(p.Ended, p.StateValueKB))
	e.testbed.World.State.Restore(archivedPages(p.Archived, p.StateValueKB))
	e.workload = newWorkload(p, e.testbed.World, e.testbed.Meter, e.gaps)
}

// settle waits for the settling time of the step. If DuplicateStart is set, it then starts a running
// task a second time.
func (e *experiment) settle(ctx context.Context) error {
	p := e.parameters
	e.progress.Logf("step %g: %d workers, %d tasks, %.0f starts/s, %d ended jobs, %d controllers", e.fraction, p.Workers, p.Running, p.Starts, p.Ended, p.Controllers)
	if err := e.sleep(ctx, "settles", p.Settle); err != nil {
		return err
	}
	if p.DuplicateStart {
		return e.injectDuplicateStart(ctx)
	}
	return nil
}

// measure measures the step. In the last step it then injects the faults.
func (e *experiment) measure(ctx context.Context) error {
	step, err := e.measureStep(ctx)
	if err != nil {
		return err
	}
	e.report.Steps = append(e.report.Steps, *step)
	e.progress.Logf("%s", step.Summary())
	if !e.injectFaults {
		return nil
	}
	return e.runFaults(ctx)
}

// unansweredTimeout is how long status requests for an accepted job may go without an answer.
const unansweredTimeout = 75 * time.Second

// collectViolations adds the step's rule violations, unanswered jobs and crashed controllers to the
// report.
func (e *experiment) collectViolations() {
	e.testbed.DoAndWait(func() {
		e.report.Violations = append(e.report.Violations, e.testbed.World.Violations...)
		for _, job := range e.workload.unansweredJobs(unansweredTimeout) {
			e.report.Violations = append(e.report.Violations, "forgotten: nobody has been told of "+job)
		}
	})
	e.report.Crashed = append(e.report.Crashed, e.testbed.Controllers.Crashed()...)
}

// errNothingToDuplicate means that no task was running that could be started a second time.
var errNothingToDuplicate = errors.New("no running task to start a second time")

// injectDuplicateStart starts a running task a second time, on another machine. It waits until a
// task is running.
func (e *experiment) injectDuplicateStart(ctx context.Context) error {
	const attempts, interval = 60, 500 * time.Millisecond
	for range attempts {
		started := false
		e.testbed.DoAndWait(func() { started = e.testbed.World.DuplicateStart() })
		if started {
			return nil
		}
		if err := e.sleep(ctx, "nothing runs yet", interval); err != nil {
			return err
		}
	}
	return errNothingToDuplicate
}
