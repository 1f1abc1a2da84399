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

// Run runs the steps one after the other and the faults after the last. It writes its progress,
// a line at a time. The command starts a controller. Run ends every process that it has started,
// also when the context ends; then the report is partial.
func Run(ctx context.Context, p Parameters, command []string, progress io.Writer) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	report := &Report{Parameters: p, Violations: []string{}, Crashed: []string{}}
	for i, part := range p.Steps {
		e := experiment{
			parameters: p.step(part), part: part, injectFaults: i == len(p.Steps)-1,
			command: command, report: report, progress: testbed.NewProgressLog(progress),
		}
		err := e.run(ctx)
		if testbed.Interrupted(err) {
			report.Partial = fmt.Sprintf("interrupted in step %g", part)
			break
		}
		if err != nil {
			return report, err
		}
	}
	report.Lines = fitLines(report.Steps)
	return report, nil
}

// experiment is one step of a run.
type experiment struct {
	parameters   Parameters // at this step's size
	part         float64    // of the full size
	command      []string   // starts a controller
	injectFaults bool
	report       *Report
	progress     *testbed.ProgressLog

	testbed      *testbed.Testbed
	workload     *workload
	gaps         *serviceGaps // the testbed's loop owns it
	killedLeader int          // by the fault that kills the leader
}

// run builds the testbed, measures and removes it.
func (e *experiment) run(ctx context.Context) error {
	directory, err := os.MkdirTemp("", "oakpick-scale-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }() // a temporary directory left behind does no harm
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

// build makes the testbed, with the ended jobs on record, and its workload.
func (e *experiment) build(directory string) {
	p := e.parameters
	e.gaps = &serviceGaps{}
	e.testbed = testbed.New(p.testbed(), e.command, directory)
	e.testbed.OnUserResponse(e.gaps.answered)
	e.testbed.World.State.Restore(endedPages(p.Ended, p.StateValueKB))
	e.testbed.World.State.Restore(archivedPages(p.Archived, p.StateValueKB))
	e.workload = newWorkload(p, e.testbed.World, e.testbed.Meter, e.gaps)
}

// settle waits until the step is about to be measured, and has a rule broken if that is asked
// for.
func (e *experiment) settle(ctx context.Context) error {
	p := e.parameters
	e.progress.Logf("step %g: %d workers, %d tasks, %.0f starts/s, %d ended jobs, %d controllers", e.part, p.Workers, p.Running, p.Starts, p.Ended, p.Controllers)
	if err := e.sleep(ctx, "settles", p.Settle); err != nil {
		return err
	}
	if p.BreakRule {
		return e.duplicateStart(ctx)
	}
	return nil
}

// measure measures the step and injects the faults.
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

// unansweredTimeout is for how long questions about an accepted job may go unanswered.
const unansweredTimeout = 75 * time.Second

// collectViolations adds to the report what was against the rules in this step.
func (e *experiment) collectViolations() {
	e.testbed.DoAndWait(func() {
		e.report.Violations = append(e.report.Violations, e.testbed.World.Violations...)
		for _, job := range e.workload.unansweredJobs(unansweredTimeout) {
			e.report.Violations = append(e.report.Violations, "forgotten: nobody has been told of "+job)
		}
	})
	e.report.Crashed = append(e.report.Crashed, e.testbed.Controllers.Crashed()...)
}

// errNothingToDuplicate says that no task ran while a rule was to be broken.
var errNothingToDuplicate = errors.New("no task runs that could be started twice")

// duplicateStart has a task started twice, as soon as one runs.
func (e *experiment) duplicateStart(ctx context.Context) error {
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
