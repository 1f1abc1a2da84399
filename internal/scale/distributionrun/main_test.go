package distributionrun

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"testing"

	"oakpick/internal/config"
	"oakpick/internal/daemon"
	"oakpick/internal/distribution/agent"
)

// asProcessEnv makes the test binary run as a controller or an agent, so that no other program has to
// be built for the tests.
const asProcessEnv = "OAKPICK_TEST_AS_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(asProcessEnv) == "" {
		os.Exit(m.Run())
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	fmt.Fprintln(os.Stderr, runProcess(os.Args[1:], log))
	os.Exit(1)
}

// runProcess runs an agent or a controller with extensions, depending on the first argument.
func runProcess(arguments []string, log *slog.Logger) error {
	settingsFile := arguments[len(arguments)-1]
	switch arguments[0] {
	case "--config":
		settings, err := agent.LoadSettings(settingsFile)
		if err != nil {
			return err
		}
		return agent.Run(context.Background(), settings, log)
	case "--extensions":
		settings, err := config.Load(settingsFile)
		if err != nil {
			return err
		}
		extensions, err := config.LoadExtensions(arguments[1], settings)
		if err != nil {
			return err
		}
		return daemon.Run(context.Background(), settings, extensions, log)
	}
	return fmt.Errorf("neither an agent nor a controller with extensions: %q", arguments)
}
