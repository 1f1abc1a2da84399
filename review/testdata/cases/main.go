// Command cases plays the cases of the review: controllers as processes among stand-ins for the
// users, the workers, the state service and the cloud, on loopback addresses and the real clock.
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

type caseFunc struct {
	settings func() settings
	flavors  func() []flavor
	play     func(*bench)
}

var cases = map[string]caseFunc{}

// limit ends a case that takes too long.
const limit = 117 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(2)
	}
	played, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBench(record, played.settings(), trouble, played.flavors())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	record.line("case %s, with the disruption: %t", os.Args[1], trouble)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		played.play(b)
	}()
	select {
	case <-finished:
	case <-time.After(limit):
		b.fail("it takes too long")
	}
	if os.Getenv("KEEP_LOGS") != "" {
		for _, c := range b.controllers {
			content, _ := os.ReadFile(b.directory + "/" + c.name + ".log")
			_ = os.WriteFile(filepath.Join(filepath.Dir(os.Args[2]), c.name+".log"), content, 0o600)
		}
	}
	b.close()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case len(b.broken) > 0:
		fmt.Printf("the rule was broken: %s\n", b.broken[0])
		record.line("result: the rule was broken")
		os.Exit(1)
	case len(b.cantRun) > 0:
		fmt.Printf("the case couldn't run: %s\n", b.cantRun[0])
		record.line("result: couldn't run")
		os.Exit(2)
	}
	fmt.Println("the rule held")
	record.line("result: the rule held")
}
