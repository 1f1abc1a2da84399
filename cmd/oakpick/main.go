// Command oakpick is a scheduler for fleets that serve language models.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"oakpick/internal/config"
	"oakpick/internal/daemon"
)

type serve struct{}

func (serve) Run(cli *commandLine) error {
	cfg, err := cli.load()
	if err != nil {
		return err
	}
	return daemon.Run(context.Background(), cfg, logger())
}

type checkConfig struct{}

func (checkConfig) Run(cli *commandLine) error {
	cfg, err := cli.load()
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
	Config string `help:"Settings file (JSON) of this node." placeholder:"FILE"`

	Serve       serve       `cmd:"" default:"1" help:"Serve as a controller until killed (the default)."`
	CheckConfig checkConfig `cmd:"" name:"check-config" help:"Check a settings file and name every problem."`
	Version     version     `cmd:"" help:"Print the version."`
}

func (c *commandLine) load() (*config.Config, error) {
	if c.Config == "" {
		return nil, fmt.Errorf("--config FILE is missing")
	}
	return config.Load(c.Config)
}

func logger() *slog.Logger {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

func main() {
	var cli commandLine
	ctx := kong.Parse(&cli, kong.Name("oakpick"),
		kong.Description("A scheduler for fleets that serve language models."), kong.UsageOnError())
	if err := ctx.Run(&cli); err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "oakpick:", line)
		}
		os.Exit(1)
	}
}
