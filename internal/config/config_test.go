package config

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

func example(t *testing.T) map[string]any {
	t.Helper()
	raw, err := os.ReadFile("../../testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var m map[string]any
	if err := json.Unmarshal(raw, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

func parse(t *testing.T, m map[string]any) error {
	t.Helper()
	raw, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	_, err = Parse(raw)
	return err
}

func TestExampleIsInOrderAndUnknownFieldsAreIgnored(t *testing.T) {
	m := example(t)
	m["a_new_field"] = 1
	if err := parse(t, m); err != nil {
		t.Fatal(err)
	}
}

// Every problem is named, all at once, one a line.
func TestAllProblemsAreNamed(t *testing.T) {
	m := example(t)
	delete(m, "front")
	s := m["settings"].(map[string]any)
	s["workers"].(map[string]any)["lease_s"] = -1
	s["state"].(map[string]any)["value_kb"] = 1e9
	s["teams"] = append(s["teams"].([]any), s["teams"].([]any)[0])
	err := parse(t, m)
	if err == nil {
		t.Fatal("taken")
	}
	for _, want := range []string{"front", "settings.workers.lease_s", "settings.state.value_kb", `"alpha" named twice`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q isn't named in:\n%v", want, err)
		}
	}
}

func TestWrongTypeAndNoJSON(t *testing.T) {
	m := example(t)
	m["settings"].(map[string]any)["size"] = "three"
	if err := parse(t, m); err == nil || !strings.Contains(err.Error(), "settings.size") {
		t.Errorf("got %v", err)
	}
	if _, err := Parse([]byte("front = 1")); err == nil || !strings.Contains(err.Error(), "not JSON") {
		t.Errorf("got %v", err)
	}
	if _, err := Load("does-not-exist.json"); err == nil {
		t.Error("a missing file was taken")
	}
}

// Limits to come are optional, each of them; impossible ones are named. What has to be
// kept to is the smaller of both.
func TestLimitsToCome(t *testing.T) {
	with := func(next any) (*Config, error) {
		m := example(t)
		m["settings"].(map[string]any)["state"].(map[string]any)["next"] = next
		raw, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return Parse(raw)
	}
	c, err := with(nil)
	if err != nil || c.Settings.State.Smallest() != c.Settings.State {
		t.Errorf("without any: %v", err)
	}
	c, err = with(map[string]any{"value_kb": 2.0, "write_rps": 100, "something": "new"})
	if err != nil {
		t.Fatal(err)
	}
	if s := c.Settings.State.Smallest(); s.ValueKB != 2 || s.WriteRPS != 40 || s.TxnOps != 8 || s.RPS != 200 {
		t.Errorf("the smaller of both are %+v", s)
	}
	for field, v := range map[string]any{"value_kb": 0, "txn_ops": 0, "write_rps": -1, "rps": 1e9} {
		if _, err := with(map[string]any{field: v}); err == nil || !strings.Contains(err.Error(), "settings.state.next."+field) {
			t.Errorf("%s %v: %v", field, v, err)
		}
	}
	if _, err := with("soon"); err == nil || !strings.Contains(err.Error(), "settings.state.next") {
		t.Errorf("a text: %v", err)
	}
}
