// Command oakpick-scale plays real controllers beside hollow workers, users, state service
// and cloud on one machine, at several sizes and through faults, and reports what each role
// takes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"oakpick/internal/scale"
)

type commandLine struct {
	scale.Parameters
	Deploy string `help:"Deploy file whose run command starts a controller. Build it first." default:"deploy/service.toml" type:"existingfile"`
	JSON   string `name:"json" help:"Write the report as JSON to this file, too." type:"path"`
}

func main() {
	var cli commandLine
	kong.Parse(&cli, kong.Name("oakpick-scale"), kong.UsageOnError(),
		kong.Description("Plays real controllers beside hollow workers, users, state service and cloud, over loopback and in real time: a size after the other, then faults. It reports processor time, memory, messages and times, and checks the protocol's rules. It takes no more than half of the machine's memory and stops by itself."))
	sound, err := run(&cli)
	if err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "oakpick-scale:", line)
		}
		os.Exit(1)
	}
	if !sound {
		os.Exit(1)
	}
}

// run plays, and tells whether all was as it should be.
func run(cli *commandLine) (sound bool, err error) {
	if err := cli.Check(); err != nil {
		return false, err
	}
	command, err := scale.RunCommand(cli.Deploy)
	if err != nil {
		return false, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := scale.Run(ctx, cli.Parameters, command, os.Stderr)
	if err != nil {
		return false, err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return false, err
	}
	if cli.JSON == "" {
		return report.Sound(), nil
	}
	file, err := os.Create(cli.JSON)
	if err != nil {
		return false, err
	}
	defer file.Close()
	return report.Sound(), report.WriteJSON(file)
}
