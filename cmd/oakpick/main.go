// Command oakpick is a scheduler for fleets that serve language models.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"oakpick/internal/config"
	"oakpick/internal/daemon"
	"oakpick/internal/logging"
)

type serve struct{}

func (serve) Run(cli *commandLine) error {
	cfg, extensions, err := cli.load()
	if err != nil {
		return err
	}
	return daemon.Run(context.Background(), cfg, extensions, logging.New(os.Stderr))
}

type checkConfig struct{}

func (checkConfig) Run(cli *commandLine) error {
	cfg, _, err := cli.load()
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings are in order for node %s of %d\n", cli.Config, cfg.Node, len(cfg.Peers)+1)
	return nil
}

type version struct{}

func (version) Run(*commandLine) error {
	v := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		v = info.Main.Version + " " + info.GoVersion
	}
	fmt.Println("oakpick", v)
	return nil
}

type commandLine struct {
	Config     string `help:"Settings file (JSON) of this node." placeholder:"FILE"`
	Extensions string `help:"File (TOML) of what is to be switched on beyond the scheduler." placeholder:"FILE"`

	Serve       serve       `cmd:"" default:"1" help:"Serve as a controller until killed (the default)."`
	CheckConfig checkConfig `cmd:"" name:"check-config" help:"Check a settings file and name every problem."`
	Version     version     `cmd:"" help:"Print the version."`
	Weights     weights     `cmd:"" help:"Ask and steer the distribution of weights, through any controller."`
}

func (c *commandLine) load() (*config.Config, config.Extensions, error) {
	if c.Config == "" {
		return nil, config.Extensions{}, fmt.Errorf("--config FILE is missing")
	}
	cfg, err := config.Load(c.Config)
	if err != nil || c.Extensions == "" {
		return cfg, config.Extensions{}, err
	}
	extensions, err := config.LoadExtensions(c.Extensions, cfg)
	return cfg, extensions, err
}

func main() {
	var cli commandLine
	ctx := kong.Parse(&cli, kong.Name("oakpick"),
		kong.Description("A scheduler for fleets that serve language models."), kong.UsageOnError())
	if err := ctx.Run(&cli); err != nil {
		logging.Fail(os.Stderr, "oakpick", err)
		os.Exit(1)
	}
}
