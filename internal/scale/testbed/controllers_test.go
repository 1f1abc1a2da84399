package testbed

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
)

func TestControllerCommandReadsDeployFile(t *testing.T) {
	for _, test := range []struct {
		name, deploy string
		want         []string
		wantErr      error
	}{
		{"program and argument", `run = "sh controller"`, []string{"sh", "controller"}, nil},
		{"no run command", `build = "make"`, nil, ErrNoRunCommand},
		{"program not built", `run = "/nothing/that/could/start"`, nil, fs.ErrNotExist},
		{"program not in the path", `run = "nothing-that-could-start"`, nil, exec.ErrNotFound},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "service.toml")
			if err := os.WriteFile(file, []byte(test.deploy), 0o600); err != nil {
				t.Fatal(err)
			}
			command, err := ControllerCommand(file)
			if !errors.Is(err, test.wantErr) || !slices.Equal(command, test.want) {
				t.Errorf("got %q and error %v, want %q and error %v", command, err, test.want, test.wantErr)
			}
		})
	}
}

func TestControllerCommandWithoutDeployFile(t *testing.T) {
	if _, err := ControllerCommand(filepath.Join(t.TempDir(), "missing.toml")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error is %v, want fs.ErrNotExist", err)
	}
}
