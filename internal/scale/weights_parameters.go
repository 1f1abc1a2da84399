package scale

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"oakpick/internal/config"

	"github.com/go-playground/validator/v10"
)

// WeightsParameters are the size of a run of the distribution of weights: real controllers and
// agents, and a stand-in for the store, on one machine.
type WeightsParameters struct {
	Agents      int      `name:"agents" default:"40" validate:"gte=1,lte=200" help:"Agents, a process each."`
	Zones       int      `name:"zones" default:"3" validate:"gte=1,lte=4" help:"Zones that they are in."`
	Controllers int      `name:"controllers" default:"3" validate:"oneof=1 3 5" help:"Controllers: 1, 3 or 5."`
	SizeMB      float64  `name:"size-mb" default:"64" validate:"gt=0,lte=4096" help:"Size of a version, in MiB; random bytes."`
	ChunkMB     float64  `name:"chunk-mb" default:"1" validate:"gt=0,lte=1024" help:"Size of its chunks, in MiB."`
	RateMB      float64  `name:"rate-mb" default:"16" validate:"gt=0,lte=4096" help:"Each agent's link, MiB a second up and as much down."`
	StoreRateMB float64  `name:"store-rate-mb" default:"0" validate:"gte=0,lte=4096" help:"The store's uplink; 0: as each agent's."`
	StoreSlots  int      `name:"store-slots" default:"8" validate:"gte=1,lte=200" help:"Agents that may fetch from the store at a time."`
	UploadSlots int      `name:"upload-slots" default:"4" validate:"gte=0,lte=200" help:"Takers that each agent uploads to at a time."`
	SlowZone    float64  `name:"slow-zone" default:"1" validate:"gt=0,lte=1" help:"Links of the first zone's agents, as a part of the others'."`
	ReportS     float64  `name:"report-s" default:"1" validate:"gte=0.1,lte=60" help:"Seconds between the inventories of an agent that fetches."`
	Runs        int      `name:"runs" default:"1" validate:"gte=1,lte=20" help:"Runs, one after the other; each has one agent alone first."`
	FromStore   bool     `name:"from-store" help:"In the first run, have as many clients fetch everything from the store, too. It takes as many times as long."`
	IdleS       float64  `name:"idle-s" default:"5" validate:"gte=0,lte=600" help:"Seconds for which idle agents are measured at the end of a run."`
	Faults      []string `name:"faults" default:"" help:"Faults as KIND@PART, at a part of the time that one alone took: kill, restart, hang, leader, store, wrong, cut, version."`
	Seed        uint64   `name:"seed" default:"1" help:"What is drawn."`
}

// Kinds of faults of a weights run.
const (
	faultKill    = "kill"    // the agent that holds most is killed for good
	faultRestart = "restart" // the same, and starts again
	faultHang    = "hang"    // the same is stopped without a word, for good
	faultLeader  = "leader"  // the controller that leads is killed, and starts again
	faultStore   = "store"   // the store answers nobody for as long as one alone took
	faultWrong   = "wrong"   // the store's next answers have wrong bytes
	faultCut     = "cut"     // the store's next answers break off
	faultVersion = "version" // another version is to be used, with half of the chunks the same
)

var weightsFaults = []string{faultKill, faultRestart, faultHang, faultLeader, faultStore, faultWrong, faultCut, faultVersion}

// timedFault is a fault at a part of the time that one agent alone took.
type timedFault struct {
	kind string
	at   float64
}

func parseFault(text string) (timedFault, error) {
	kind, at, ok := strings.Cut(text, "@")
	part, err := strconv.ParseFloat(at, 64)
	if !ok || err != nil || part < 0 || part > 10 || !slices.Contains(weightsFaults, kind) {
		return timedFault{}, fmt.Errorf("--faults: %q is not KIND@PART with a kind of %s and a part up to 10", text, strings.Join(weightsFaults, ", "))
	}
	return timedFault{kind, part}, nil
}

// Check derives what is not given, and names every parameter at fault.
func (p *WeightsParameters) Check() error {
	if p.StoreRateMB == 0 {
		p.StoreRateMB = p.RateMB
	}
	problems := outOfRange(p)
	for _, f := range p.Faults {
		if _, err := parseFault(f); err != nil {
			problems = append(problems, err)
		}
	}
	if len(problems) == 0 && p.ChunkMB > p.SizeMB {
		problems = append(problems, fmt.Errorf("--chunk-mb: %g is more than --size-mb, %g", p.ChunkMB, p.SizeMB))
	}
	return errors.Join(problems...)
}

// chunks is how many a version has, and their size in bytes.
func (p *WeightsParameters) chunks() (count int, size int64) {
	return max(1, int(p.SizeMB/p.ChunkMB)), int64(p.ChunkMB * mebibyte)
}

const mebibyte = 1 << 20

// outOfRange names every field of parameters whose tag says that it is.
func outOfRange(parameters any) (problems []error) {
	var fields validator.ValidationErrors
	if err := config.NewValidator("name").Struct(parameters); errors.As(err, &fields) {
		for _, f := range fields {
			_, name, _ := strings.Cut(f.Namespace(), ".")
			problems = append(problems, fmt.Errorf("--%s: out of range (%s %s)", name, f.Tag(), f.Param()))
		}
	} else if err != nil {
		problems = append(problems, err)
	}
	return problems
}
