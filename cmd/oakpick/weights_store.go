package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/afero"

	"oakpick/internal/distribution/layout"
	"oakpick/internal/distribution/registry"
	"oakpick/internal/logging"
)

// weightsPackCommand splits files into the chunks of a version and stores them in an OCI image layout.
type weightsPackCommand struct {
	Files   []string `arg:"" type:"existingfile" help:"Files whose bytes, one after the other, are the version."`
	Out     string   `help:"Directory of the OCI image layout; made if it isn't there." required:"" type:"path"`
	Tag     string   `help:"Tag that is to name the version." required:""`
	ChunkMB float64  `name:"chunk-mb" help:"Size of the chunks, in MiB." default:"32"`
}

const bytesPerMebibyte = 1 << 20

// Run packs the files and prints the manifest's digest.
func (p weightsPackCommand) Run() error {
	store, err := layout.Create(afero.NewOsFs(), p.Out)
	if err != nil {
		return err
	}
	var sources []io.Reader
	for _, name := range p.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer file.Close() //nolint:errcheck // the file is only read
		sources = append(sources, file)
	}
	m, err := store.Pack(io.MultiReader(sources...), int64(p.ChunkMB*bytesPerMebibyte), p.Tag)
	if err != nil {
		return err
	}
	fmt.Printf("%s is %s: %d chunks, %d bytes\n", p.Tag, m.Digest, len(m.Chunks), m.Size)
	return nil
}

// weightsCheckCommand verifies an OCI image layout.
type weightsCheckCommand struct {
	Directory string `arg:"" type:"existingdir" help:"Directory of the OCI image layout."`
}

// Run verifies the layout and prints its tags.
func (c weightsCheckCommand) Run() error {
	store, err := layout.Open(afero.NewOsFs(), c.Directory)
	if err != nil {
		return err
	}
	tags, err := store.Tags()
	if err := errors.Join(err, store.Check()); err != nil {
		return err
	}
	for _, tag := range slices.Sorted(maps.Keys(tags)) {
		fmt.Printf("%s is %s\n", tag, tags[tag])
	}
	return nil
}

// weightsServeCommand serves an OCI image layout to agents as a small store.
type weightsServeCommand struct {
	Directory string `arg:"" type:"existingdir" help:"Directory of the OCI image layout."`
	Listen    string `help:"Address to listen on." default:"127.0.0.1:5000"`
	Slots     int    `help:"Uploads at a time; others are told when to come back." default:"64"`
}

// storeTimeout limits the time for reading a request's header, and how long a connection may be idle.
const storeTimeout = 30 * time.Second

// Run serves the layout until the process receives SIGINT or SIGTERM.
func (s weightsServeCommand) Run() error {
	store, err := layout.Open(afero.NewOsFs(), s.Directory)
	if err != nil {
		return err
	}
	if s.Slots < 1 {
		return fmt.Errorf("--slots: %d is out of range", s.Slots)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{
		Addr: s.Listen, ReadHeaderTimeout: storeTimeout, IdleTimeout: storeTimeout, MaxHeaderBytes: 8 << 10,
		Handler: &registry.Handler{Content: store, Slots: registry.NewSlots(s.Slots), RetryAfter: time.Second},
	}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the process exits whether or not Close fails
	logging.New(os.Stderr).Info("store serves", "listen", s.Listen, "directory", s.Directory)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
