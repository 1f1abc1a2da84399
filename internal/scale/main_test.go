package scale

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"testing"

	"oakpick/internal/config"
	"oakpick/internal/daemon"
)

// runAsControllerEnv is the environment variable that makes the test binary run as a controller, so
// that no controller has to be built before the tests.
const runAsControllerEnv = "OAKPICK_TEST_AS_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(runAsControllerEnv) == "" {
		os.Exit(m.Run())
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	fmt.Fprintln(os.Stderr, runController(os.Args[1], log))
	os.Exit(1)
}

func runController(settingsFile string, log *slog.Logger) error {
	settings, err := config.Load(settingsFile)
	if err != nil {
		return err
	}
	return daemon.Run(context.Background(), settings, config.Extensions{}, log)
}
