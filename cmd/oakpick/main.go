// Command oakpick is a scheduler for fleets that serve language models.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"oakpick/internal/config"
	"oakpick/internal/daemon"
	"oakpick/internal/logging"
)

// errNoConfig is returned by every command that needs the settings if --config is missing.
var errNoConfig = errors.New("--config FILE is missing")

// commandLine defines the flags and commands for kong. Each command is a field, whose Run method
// executes it.
type commandLine struct {
	Config     string `help:"Settings file (JSON) of this node." placeholder:"FILE"`
	Extensions string `help:"File (TOML) of what is to be switched on beyond the scheduler." placeholder:"FILE"`

	Serve       serveCommand       `cmd:"" default:"1" help:"Serve as a controller until killed (the default)."`
	CheckConfig checkConfigCommand `cmd:"" name:"check-config" help:"Check a settings file and name every problem."`
	Version     versionCommand     `cmd:"" help:"Print the version."`
	Weights     weightsCommand     `cmd:"" help:"Ask and steer the distribution of weights, through any controller."`
}

// load reads and validates the settings and, if --extensions is given, the extensions.
func (c *commandLine) load() (*config.Config, config.Extensions, error) {
	if c.Config == "" {
		return nil, config.Extensions{}, errNoConfig
	}
	cfg, err := config.Load(c.Config)
	if err != nil || c.Extensions == "" {
		return cfg, config.Extensions{}, err
	}
	extensions, err := config.LoadExtensions(c.Extensions, cfg)
	return cfg, extensions, err
}

// serveCommand runs a controller until the process is killed. There is no graceful shutdown, because
// controllers recover from a kill at any time.
type serveCommand struct{}

func (serveCommand) Run(cli *commandLine) error {
	cfg, extensions, err := cli.load()
	if err != nil {
		return err
	}
	return daemon.Run(context.Background(), cfg, extensions, logging.New(os.Stderr))
}

type checkConfigCommand struct{}

func (checkConfigCommand) Run(cli *commandLine) error {
	cfg, _, err := cli.load()
	if err != nil {
		return err
	}
	controllers := len(cfg.Peers) + 1
	fmt.Printf("%s: settings are in order for node %s of %d\n", cli.Config, cfg.Node, controllers)
	return nil
}

type versionCommand struct{}

func (versionCommand) Run(*commandLine) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Println("oakpick", version)
	return err
}

func main() {
	var cli commandLine
	ctx := kong.Parse(&cli, kong.Name("oakpick"),
		kong.Description("A scheduler for fleets that serve language models."), kong.UsageOnError())
	if err := ctx.Run(&cli); err != nil {
		logging.WriteError(os.Stderr, "oakpick", err)
		os.Exit(1)
	}
}
