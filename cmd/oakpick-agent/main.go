// Command oakpick-agent fetches, verifies, stores and serves weights on one machine, and uploads
// them to other agents.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"oakpick/internal/distribution/agent"
	"oakpick/internal/logging"
)

// commandLine defines the flags of the command.
type commandLine struct {
	Config string `help:"Settings file (TOML) of this agent." placeholder:"FILE" required:"" type:"existingfile"`
	Check  bool   `help:"Only check the settings file, and name every problem."`
}

func main() {
	var cli commandLine
	kong.Parse(&cli, kong.Name("oakpick-agent"), kong.UsageOnError(),
		kong.Description("Fetches the weights that it is to hold from peers and the store, verifies and stores them, and passes them on. It serves a version only once every chunk of it is there. Ends on SIGTERM; what it holds is kept."))
	if err := run(&cli); err != nil {
		logging.WriteError(os.Stderr, "oakpick-agent", err)
		os.Exit(1)
	}
}

// run checks the settings file with --check. Otherwise it runs the agent until the process receives
// SIGINT or SIGTERM.
func run(cli *commandLine) error {
	settings, err := agent.LoadSettings(cli.Config)
	if err != nil {
		return err
	}
	if cli.Check {
		fmt.Printf("%s: settings are in order for agent %s\n", cli.Config, settings.Agent)
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return agent.Run(ctx, settings, logging.New(os.Stderr))
}
