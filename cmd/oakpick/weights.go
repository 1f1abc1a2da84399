package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/operator"
	"oakpick/internal/distribution/registry"
)

// weightsCommand groups the commands for the distribution of weights.
type weightsCommand struct {
	Controller []string      `help:"Trackers' addresses (HOST:PORT) of one or more controllers; the first that answers is used." placeholder:"ADDRESS"`
	Timeout    time.Duration `help:"Give up after this time." default:"10s"`

	List   weightsListCommand   `cmd:"" help:"List all names with their manifests."`
	Status weightsStatusCommand `cmd:"" help:"Tell who holds what of a name, what is fetched from whom, and why agents wait."`
	Use    weightsUseCommand    `cmd:"" help:"Have a name refer to a manifest, given by digest or by a tag of the store."`
	Pack   weightsPackCommand   `cmd:"" help:"Cut files into a version in an OCI image layout. No controller is asked."`
	Check  weightsCheckCommand  `cmd:"" help:"Read every byte of an OCI image layout and name what is missing or damaged. No controller is asked."`
	Serve  weightsServeCommand  `cmd:"" help:"Serve an OCI image layout to agents, as a small store. No controller is asked."`
}

// withClient calls run with a client for the controllers and a context that expires after the
// timeout.
func (w *weightsCommand) withClient(run func(ctx context.Context, client *operator.Client) error) error {
	if len(w.Controller) == 0 {
		return errors.New("--controller ADDRESS is missing")
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.Timeout)
	defer cancel()
	// Each controller gets a share of the timeout, so that one that hangs doesn't use up all of it.
	timeoutEach := w.Timeout / time.Duration(len(w.Controller)+1)
	return run(ctx, &operator.Client{Controllers: w.Controller, HTTP: http.Client{Timeout: timeoutEach}})
}

// weightsListCommand lists all names of weights.
type weightsListCommand struct{}

// Run prints a table of names.
func (weightsListCommand) Run(cli *commandLine) error {
	return cli.Weights.withClient(func(ctx context.Context, client *operator.Client) error {
		names, err := client.Names(ctx)
		if err != nil {
			return err
		}
		return operator.WriteNames(os.Stdout, names)
	})
}

// weightsStatusCommand shows how a name's weights are distributed.
type weightsStatusCommand struct {
	Name string `arg:"" help:"Name of the weights."`
}

// Run prints a table of agents.
func (s weightsStatusCommand) Run(cli *commandLine) error {
	if err := distribution.CheckName(s.Name); err != nil {
		return err
	}
	return cli.Weights.withClient(func(ctx context.Context, client *operator.Client) error {
		status, err := client.Status(ctx, s.Name)
		if err != nil {
			return err
		}
		return operator.WriteStatus(os.Stdout, status)
	})
}

// weightsUseCommand makes a name refer to a manifest.
type weightsUseCommand struct {
	Name     string `arg:"" help:"Name of the weights."`
	Manifest string `help:"Digest of the manifest." placeholder:"DIGEST" xor:"version" required:""`
	Tag      string `help:"Tag in the store instead; its manifest is fetched and verified." xor:"version" required:""`
	Store    string `help:"The store's address, for --tag." placeholder:"ADDRESS"`
}

// Run changes the name's manifest and prints the new record.
func (u weightsUseCommand) Run(cli *commandLine) error {
	if err := distribution.CheckName(u.Name); err != nil {
		return err
	}
	return cli.Weights.withClient(func(ctx context.Context, client *operator.Client) error {
		manifest, err := u.resolve(ctx, cli.Weights.Timeout)
		if err != nil {
			return err
		}
		record, err := client.SetManifest(ctx, u.Name, manifest)
		if err != nil {
			return err
		}
		fmt.Printf("%s is %s, revision %d\n", record.Name, record.Manifest, record.Revision)
		return nil
	})
}

// resolve returns the digest given by --manifest, or the digest that the store returns for --tag.
func (u weightsUseCommand) resolve(ctx context.Context, timeout time.Duration) (digest.Digest, error) {
	if u.Tag == "" {
		d := digest.Digest(u.Manifest)
		if err := distribution.CheckDigest(d); err != nil {
			return "", fmt.Errorf("--manifest: %w", err)
		}
		return d, nil
	}
	if u.Store == "" {
		return "", errors.New("--store ADDRESS is missing, where --tag is looked up")
	}
	if err := distribution.CheckReference(u.Tag); err != nil {
		return "", fmt.Errorf("--tag: %w", err)
	}
	store := registry.NewClient(timeout, nil, nil)
	defer store.Close()
	m, err := store.Resolve(ctx, u.Store, u.Name, u.Tag)
	if err != nil {
		return "", err
	}
	return m.Digest, nil
}
