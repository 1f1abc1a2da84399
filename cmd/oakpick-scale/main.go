// Command oakpick-scale plays real controllers beside stand-ins for everything else on one
// machine, at several sizes and through faults, and reports what each role takes.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"oakpick/internal/logging"
	"oakpick/internal/scale"
	"oakpick/internal/scale/distributionrun"
)

type scheduler struct {
	scale.Parameters
	Deploy string `help:"Deploy file whose run command starts a controller. Build it first." default:"deploy/service.toml" type:"existingfile"`
	JSON   string `name:"json" help:"Write the report as JSON to this file, too." type:"path"`
}

type distribution struct {
	distributionrun.Parameters
	Deploy string `help:"Deploy file whose run command starts a controller. Build it first." default:"deploy/service.toml" type:"existingfile"`
	Agent  string `help:"The agent's program. Build it first." default:"target/oakpick-agent" type:"existingfile"`
	JSON   string `name:"json" help:"Write the report as JSON to this file, too." type:"path"`
	HTML   string `name:"html" help:"Write the report as a page with plots to this file, too." type:"path"`
}

type commandLine struct {
	Scheduler    scheduler    `cmd:"" default:"withargs" help:"Real controllers beside hollow workers, users, state service and cloud: a size after the other, then faults (the default)."`
	Distribution distribution `cmd:"" help:"Real controllers and real agents that fetch weights, beside a stand-in for the store."`
}

// errUnsound says that the report shows something that must not be.
var errUnsound = errors.New("the report is not sound: see above")

func main() {
	var cli commandLine
	parsed := kong.Parse(&cli, kong.Name("oakpick-scale"), kong.UsageOnError(),
		kong.Description("Plays real controllers over loopback and in real time. It takes no more than half of the machine's memory and stops by itself."))
	if err := parsed.Run(); err != nil {
		logging.Fail(os.Stderr, "oakpick-scale", err)
		os.Exit(1)
	}
}

// Run plays the scheduler.
func (s *scheduler) Run() error {
	if err := s.Check(); err != nil {
		return err
	}
	command, err := scale.RunCommand(s.Deploy)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := scale.Run(ctx, s.Parameters, command, os.Stderr)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteTable(os.Stdout), writeTo(s.JSON, func(f *os.File) error { return report.WriteJSON(f) }), verdict(report.Sound()))
}

// Run plays the distribution of weights.
func (d *distribution) Run() error {
	if err := d.Check(); err != nil {
		return err
	}
	command, err := scale.RunCommand(d.Deploy)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, failed := distributionrun.Run(ctx, d.Parameters, distributionrun.Commands{Controller: command, Agent: []string{d.Agent}}, os.Stderr)
	if report == nil {
		return failed
	}
	return errors.Join(failed, report.WriteTable(os.Stdout),
		writeTo(d.JSON, func(f *os.File) error { return report.WriteJSON(f) }),
		writeTo(d.HTML, func(f *os.File) error { return report.WriteHTML(f) }), verdict(report.Sound()))
}

func verdict(sound bool) error {
	if sound {
		return nil
	}
	return errUnsound
}

// writeTo writes a file, if one is named.
func writeTo(name string, write func(*os.File) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
