package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() {
	cases["weights"] = caseFunc{shopWatch, func() []flavor { return shopWatchFlavors(2 * time.Second) }, playWeights}
}

const (
	agents            = 40
	versionBytes      = 24 << 20
	downloadBytesPerS = 3 << 20 // of each agent, so that one alone takes 8 s
	changeAfter       = 4 * time.Second
	backAfter         = 2 * time.Second
	readyWithin       = 60 * time.Second // after the last change; the aim is twice what one alone takes, 16 s
	weightsName       = "models/complaints"
	programTimeout    = 20 * time.Second
)

// playWeights: agents fetch a version of weights from each other and from a store. During the fetch the
// name is given another version, and then the first one again.
func playWeights(b *bench) {
	for _, c := range b.controllers {
		if err := c.enableTracker(); err != nil {
			b.fail("extensions: %v", err)
			return
		}
	}
	if b.startAll() == nil {
		return
	}
	layout := filepath.Join(b.directory, "layout")
	for _, tag := range []string{"v1", "v2"} {
		file := filepath.Join(b.directory, tag+".bin")
		if err := randomFile(file, versionBytes); err != nil {
			b.fail("weights: %v", err)
			return
		}
		if !b.program("weights", "pack", "--out", layout, "--tag", tag, "--chunk-mb", "1", file) {
			return
		}
	}
	store, err := freeAddress()
	if err != nil {
		b.fail("store: %v", err)
		return
	}
	if !b.background("store", b.run[0], "weights", "serve", layout, "--listen", store) || !b.awaitListener(store) {
		return
	}
	var trackers []string
	for _, c := range b.controllers {
		trackers = append(trackers, c.tracker)
	}
	use := func(tag string) bool {
		return b.program("weights", "--controller", strings.Join(trackers, ","), "use", weightsName, "--tag", tag, "--store", store)
	}
	addresses := make([]string, agents)
	for i := range agents {
		if addresses[i], err = b.startAgent(i, store, trackers); err != nil {
			b.fail("agent: %v", err)
			return
		}
	}
	for _, address := range addresses {
		if !b.awaitListener(address) {
			return
		}
	}
	if !use("v1") {
		return
	}
	if b.trouble {
		time.Sleep(changeAfter)
		b.record.line("disruption: the weights change version during the fetch")
		if !use("v2") {
			return
		}
		time.Sleep(backAfter)
		b.record.line("disruption: they change back")
		if !use("v1") {
			return
		}
	}
	changed := time.Now()
	ready := map[string]bool{}
	for len(ready) < agents && time.Since(changed) < readyWithin {
		for i, address := range addresses {
			if !ready[address] && serves(address) {
				ready[address] = true
				b.record.line("agent %02d: serves the version after %.1f s", i, time.Since(changed).Seconds())
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	for i, address := range addresses {
		if !ready[address] {
			b.breach("agent %02d serves nothing %s after the last change of version (404)", i, readyWithin)
		}
	}
	if len(ready) < agents {
		b.program("weights", "--controller", strings.Join(trackers, ","), "status", weightsName)
	}
}

// serves reports whether an agent serves a version.
func serves(address string) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Head("http://" + address + "/v1/active/" + weightsName)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// enableTracker writes a file of extensions for a controller, which is started with it.
func (c *controller) enableTracker() error {
	host, _, err := net.SplitHostPort(c.peer)
	if err != nil {
		return err
	}
	if c.tracker, err = freeAddress(); err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(c.tracker)
	if err != nil {
		return err
	}
	c.tracker = net.JoinHostPort(host, port)
	c.extensions = filepath.Join(c.bench.directory, c.name+"-extensions.toml")
	return os.WriteFile(c.extensions, []byte(fmt.Sprintf("[distribution]\nport = %s\nstore_slots = 8\n", port)), 0o600)
}

func randomFile(path string, size int64) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = io.CopyN(file, rand.Reader, size)
	return err
}

// program runs the controllers' program with other arguments to its end.
func (b *bench) program(arguments ...string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), programTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, b.run[0], arguments...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.CombinedOutput()
	b.record.line("operator: %s: %v\n%s", strings.Join(arguments, " "), err, strings.TrimSpace(string(output)))
	if err != nil {
		b.fail("%s: %v", arguments[0], err)
	}
	return err == nil
}

// background starts a program that goes on until the bench is closed.
func (b *bench) background(name, program string, arguments ...string) bool {
	log, err := os.Create(filepath.Join(b.directory, name+".log"))
	if err != nil {
		b.fail("%s: %v", name, err)
		return false
	}
	defer log.Close()
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		b.fail("%s: %v", name, err)
		return false
	}
	b.mu.Lock()
	b.others = append(b.others, command)
	b.mu.Unlock()
	return true
}

func (b *bench) startAgent(i int, store string, trackers []string) (address string, err error) {
	name := fmt.Sprintf("agent-%02d", i)
	if address, err = freeAddress(); err != nil {
		return "", err
	}
	content := fmt.Sprintf(`agent = %q
zone = "sejong-1"
listen = %q
directory = %q
trackers = ["%s"]
store = %q
names = [%q]
minimum_rate_bytes = 65536
download_bytes_per_s = %d
`, name, address, filepath.Join(b.directory, name), strings.Join(trackers, `", "`), store, weightsName, downloadBytesPerS)
	file := filepath.Join(b.directory, name+".toml")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		return "", err
	}
	if !b.background(name, "target/oakpick-agent", "--config", file) {
		return "", fmt.Errorf("%s doesn't start", name)
	}
	return address, nil
}

func (b *bench) awaitListener(address string) bool {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if connection, err := net.DialTimeout("tcp4", address, time.Second); err == nil {
			_ = connection.Close()
			return true
		}
	}
	b.fail("nothing listens at %s", address)
	return false
}
