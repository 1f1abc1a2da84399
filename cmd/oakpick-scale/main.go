// Command oakpick-scale runs real controllers on one machine and simulates everything else. It
// increases the load in steps, injects faults, and reports the resource usage of each role.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"oakpick/internal/logging"
	"oakpick/internal/scale"
	"oakpick/internal/scale/distributionrun"
	"oakpick/internal/scale/testbed"
)

type schedulerCommand struct {
	scale.Parameters
	Deploy string `help:"Deploy file whose run command starts a controller. Build it first." default:"deploy/service.toml" type:"existingfile"`
	JSON   string `name:"json" help:"Write the report as JSON to this file, too." type:"path"`
}

type distributionCommand struct {
	distributionrun.Parameters
	Deploy string `help:"Deploy file whose run command starts a controller. Build it first." default:"deploy/service.toml" type:"existingfile"`
	Agent  string `help:"The agent's program. Build it first." default:"target/oakpick-agent" type:"existingfile"`
	JSON   string `name:"json" help:"Write the report as JSON to this file, too." type:"path"`
	HTML   string `name:"html" help:"Write the report as a page with plots to this file, too." type:"path"`
}

type commandLine struct {
	Scheduler    schedulerCommand    `cmd:"" default:"withargs" help:"Real controllers beside hollow workers, users, state service and cloud: a size after the other, then faults (the default)."`
	Distribution distributionCommand `cmd:"" help:"Real controllers and real agents that fetch weights, beside a stand-in for the store."`
}

// errNotSound means that the report is incomplete or contains a rule violation or a crash.
var errNotSound = errors.New("the report is not sound: see above")

func main() {
	var cli commandLine
	parsed := kong.Parse(&cli, kong.Name("oakpick-scale"), kong.UsageOnError(),
		kong.Description("Plays real controllers over loopback and in real time. It takes no more than half of the machine's memory and stops by itself."))
	if err := parsed.Run(); err != nil {
		logging.WriteError(os.Stderr, "oakpick-scale", err)
		os.Exit(1)
	}
}

// Run runs the scale experiment of the controllers.
func (s *schedulerCommand) Run() error {
	if err := s.Check(); err != nil {
		return err
	}
	controller, err := testbed.ControllerCommand(s.Deploy)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	report, err := scale.Run(ctx, s.Parameters, controller, os.Stderr)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteTable(os.Stdout), writeFile(s.JSON, report.WriteJSON), soundnessError(report.Sound()))
}

// Run runs the weight distribution experiment. If a run fails, Run still writes the report of the
// part that was completed.
func (d *distributionCommand) Run() error {
	if err := d.Check(); err != nil {
		return err
	}
	controller, err := testbed.ControllerCommand(d.Deploy)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	commands := distributionrun.Commands{Controller: controller, Agent: []string{d.Agent}}
	report, runErr := distributionrun.Run(ctx, d.Parameters, commands, os.Stderr)
	if report == nil {
		return runErr
	}
	return errors.Join(runErr, report.WriteTable(os.Stdout),
		writeFile(d.JSON, report.WriteJSON), writeFile(d.HTML, report.WriteHTML), soundnessError(report.Sound()))
}

// signalContext returns a context that is cancelled when the process receives SIGINT or SIGTERM.
func signalContext() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func soundnessError(sound bool) error {
	if sound {
		return nil
	}
	return errNotSound
}

// writeFile creates the file and calls write for it. It does nothing if the path is empty.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
