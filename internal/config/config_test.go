package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"testing"
)

// exampleSettings returns the decoded example settings file.
func exampleSettings(t *testing.T) map[string]any {
	t.Helper()
	raw, err := os.ReadFile("../../testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var file map[string]any
	if err := json.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	return file
}

func parse(t *testing.T, file map[string]any) (*Config, error) {
	t.Helper()
	raw, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(raw)
}

// section returns the section of the settings at a path.
func section(file map[string]any, path ...string) map[string]any {
	for _, name := range path {
		file = file[name].(map[string]any)
	}
	return file
}

func TestExampleIsValidAndUnknownFieldsAreIgnored(t *testing.T) {
	file := exampleSettings(t)
	file["a_new_field"] = 1
	if _, err := parse(t, file); err != nil {
		t.Fatal(err)
	}
}

// All invalid fields are reported at once, each on its own line.
func TestAllProblemsAreNamed(t *testing.T) {
	file := exampleSettings(t)
	delete(file, "front")
	section(file, "settings", "workers")["lease_s"] = -1
	section(file, "settings", "state")["value_kb"] = 1e9
	settings := section(file, "settings")
	teams := settings["teams"].([]any)
	settings["teams"] = append(teams, teams[0])
	_, err := parse(t, file)
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"front", "settings.workers.lease_s", "settings.state.value_kb", `"alpha" named twice`} {
		t.Run(want, func(t *testing.T) {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("not named in:\n%v", err)
			}
		})
	}
	if lines := strings.Split(err.Error(), "\n"); len(lines) != 4 {
		t.Errorf("%d lines, want 4:\n%v", len(lines), err)
	}
}

func TestWrongTypeIsNamed(t *testing.T) {
	file := exampleSettings(t)
	section(file, "settings")["size"] = "three"
	_, err := parse(t, file)
	var problem *FieldError
	if !errors.As(err, &problem) || problem.Field != "settings.size" || !strings.Contains(err.Error(), "settings.size") {
		t.Errorf("error %v, want one for settings.size", err)
	}
}

func TestTextThatIsNotJSONIsRejected(t *testing.T) {
	if _, err := Parse([]byte("front = 1")); err == nil || !strings.Contains(err.Error(), "not JSON") {
		t.Errorf("error %v, want not JSON", err)
	}
}

func TestMissingSettingsFileIsRejected(t *testing.T) {
	if _, err := Load("does-not-exist.json"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v, want %v", err, fs.ErrNotExist)
	}
}

// withNext parses the example with the given announced limits of the state service ("next").
func withNext(t *testing.T, next any) (*Config, error) {
	t.Helper()
	file := exampleSettings(t)
	section(file, "settings", "state")["next"] = next
	return parse(t, file)
}

func TestAnnouncedLimitsAreOptional(t *testing.T) {
	c, err := withNext(t, nil)
	if err != nil || c.Settings.State.Smallest() != c.Settings.State {
		t.Errorf("without announced limits: %v", err)
	}
	c, err = withNext(t, map[string]any{"value_kb": 2.0, "write_rps": 100, "something": "new"})
	if err != nil {
		t.Fatal(err)
	}
	if s := c.Settings.State.Smallest(); s.ValueKB != 2 || s.WriteRPS != 40 || s.TxnOps != 8 || s.RPS != 200 {
		t.Errorf("smaller of current and announced limits: %+v", s)
	}
}

func TestImpossibleAnnouncedLimitsAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		next any
		want string
	}{
		"value_kb":  {map[string]any{"value_kb": 0}, "settings.state.next.value_kb"},
		"txn_ops":   {map[string]any{"txn_ops": 0}, "settings.state.next.txn_ops"},
		"write_rps": {map[string]any{"write_rps": -1}, "settings.state.next.write_rps"},
		"rps":       {map[string]any{"rps": 1e9}, "settings.state.next.rps"},
		"a text":    {"soon", "settings.state.next"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := withNext(t, c.next)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v: error %v, want one for %s", c.next, err, c.want)
			}
		})
	}
}

func TestFieldErrorNamesFileFieldAndCause(t *testing.T) {
	err := error(&FieldError{File: "a.toml", Field: "b.c", Err: fmt.Errorf("%w: 9", errOutOfRange)})
	if err.Error() != "a.toml: b.c: missing or out of range: 9" || !errors.Is(err, errOutOfRange) {
		t.Errorf("error %v", err)
	}
}
