package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"sync"

	"oakpick/internal/config"

	"github.com/go-playground/validator/v10"
	"github.com/opencontainers/go-digest"
)

// Paths of the tracker's API.
const (
	PathPrefix    = "/v1/distribution/"
	PathInventory = PathPrefix + "inventory"
	PathWeights   = PathPrefix + "weights" // and /{name}
)

// ChunksHeader carries, in answers of agents, which chunks of a manifest the answering agent
// holds: a ChunkSet in base64.
const ChunksHeader = "Oakpick-Chunks"

// ManifestHeader names, in requests for a blob, the manifest whose chunks the asker is after.
const ManifestHeader = "Oakpick-Manifest"

// MaxMessageBytes is the largest message between an agent and the tracker.
const MaxMessageBytes = 64 << 10

// MaxNameBytes is the longest name of weights.
const MaxNameBytes = 128

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]+((\.|_|__|-+)[a-z0-9]+)*(/[a-z0-9]+((\.|_|__|-+)[a-z0-9]+)*)*$`)
	tagPattern  = regexp.MustCompile(`^[a-zA-Z0-9_][a-zA-Z0-9._-]{0,127}$`)
)

// CheckName accepts the names that the OCI distribution specification allows, up to MaxNameBytes.
func CheckName(name string) error {
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		return fieldError("name", "%.40q is not a name of weights", name)
	}
	return nil
}

// CheckReference accepts a tag or a digest.
func CheckReference(reference string) error {
	if tagPattern.MatchString(reference) {
		return nil
	}
	if err := CheckDigest(digest.Digest(reference)); err != nil {
		return fieldError("reference", "%.80q is neither a tag nor a digest", reference)
	}
	return nil
}

// Fault is what a taker found wrong with a source.
type Fault string

// Faults of sources.
const (
	FaultDamaged     Fault = "damaged"     // its bytes don't have the digest
	FaultUnreachable Fault = "unreachable" // it can't be reached, or its connection broke
	FaultSlow        Fault = "slow"        // it stalled or was below the least rate
	FaultMissing     Fault = "missing"     // it doesn't have what it says that it has
	FaultUseless     Fault = "useless"     // it has had nothing that is needed for a while
	FaultBusy        Fault = "busy"        // all of its slots are in use
	FaultDisk        Fault = "disk"        // not the source's fault: the chunk can't be stored
)

// Inventory is an agent's report to the tracker.
type Inventory struct {
	Agent       string        `json:"agent" validate:"required,max=128"`
	Zone        string        `json:"zone" validate:"required,max=128"`
	Address     string        `json:"address" validate:"required,max=256,hostname_port"`
	Session     int64         `json:"session" validate:"gt=0"`  // grows with each start of the agent
	Sequence    int64         `json:"sequence" validate:"gt=0"` // grows with each inventory of a session
	UploadSlots int           `json:"upload_slots" validate:"gte=0,lte=1024"`
	Wants       []string      `json:"wants,omitempty" validate:"max=64,dive,weights"`
	Holdings    []Holding     `json:"holdings,omitempty" validate:"max=128,dive"`
	Faults      []SourceFault `json:"faults,omitempty" validate:"max=64,dive"`
	Waits       []WaitReason  `json:"waits,omitempty" validate:"max=64,dive"`
}

// Holding is how much of a manifest an agent holds.
type Holding struct {
	Manifest digest.Digest `json:"manifest" validate:"sha256digest"`
	Chunks   int           `json:"chunks" validate:"gte=0,ltefield=Total"`
	Total    int           `json:"total" validate:"gte=1,lte=4194304"`
	Active   bool          `json:"active,omitempty"` // it is what the agent serves
}

// SourceFault is what was found wrong with a source since the last inventory.
type SourceFault struct {
	Source   string        `json:"source" validate:"required,max=128"`
	Manifest digest.Digest `json:"manifest" validate:"sha256digest"`
	Fault    Fault         `json:"fault" validate:"oneof=damaged unreachable slow missing useless"`
}

// Wait says why an agent doesn't get on with a name.
type WaitReason struct {
	Name   string        `json:"name" validate:"weights"`
	Why    string        `json:"why" validate:"max=256"`
	Chunk  digest.Digest `json:"chunk,omitempty" validate:"omitempty,sha256digest"` // one that is missing
	Chunks int           `json:"chunks,omitempty" validate:"gte=0"`                 // how many are
}

// Answer is the tracker's answer to an inventory.
type Answer struct {
	Term    int64           `json:"term"`
	Names   []NameRecord    `json:"names,omitempty"`
	Sources []Source        `json:"sources,omitempty"`
	Recheck []digest.Digest `json:"recheck,omitempty"` // manifests whose chunks the agent should verify anew
	Keep    bool            `json:"keep,omitempty"`    // the tracker has just begun: sources that aren't listed stay in use
	NextMs  int64           `json:"next_ms"`           // when to report again
}

// NameRecord is which manifest a name has.
type NameRecord struct {
	Name     string        `json:"name"`
	Manifest digest.Digest `json:"manifest"`
	Revision int64         `json:"revision"` // grows with every change
}

// Source is where an agent may fetch chunks of a manifest, for as long as the lease lasts.
type Source struct {
	Agent    string        `json:"agent"`
	Address  string        `json:"address,omitempty"`
	Zone     string        `json:"zone,omitempty"`
	Manifest digest.Digest `json:"manifest"`
	LeaseMs  int64         `json:"lease_ms"`
	// Stripe and Stripes are set for the store: its chunks with a position that leaves
	// Stripe when divided by Stripes come first.
	Stripe  int `json:"stripe,omitempty"`
	Stripes int `json:"stripes,omitempty"`
	Others  int `json:"others,omitempty"` // takers beside this one that may use the store
}

// StoreSource is the name of the store among sources.
const StoreSource = "store"

// UseRequest asks that a name have a manifest.
type UseRequest struct {
	Manifest digest.Digest `json:"manifest" validate:"sha256digest"`
}

// ErrorAnswer is the body of every answer that isn't 2xx.
type ErrorAnswer struct {
	Error string `json:"error"`
}

var validate = sync.OnceValue(func() *validator.Validate {
	v := config.NewValidator("json")
	register := func(tag string, check func(string) error) {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return check(f.Field().String()) == nil })
		if err != nil {
			panic(err) // the tags here are sound
		}
	}
	register("weights", CheckName)
	register("sha256digest", func(s string) error { return CheckDigest(digest.Digest(s)) })
	return v
})

// Decode reads a JSON message and checks it. Its error names the field at fault.
func Decode(body []byte, message any) error {
	if len(body) > MaxMessageBytes {
		return fieldError("body", "more than %d bytes", MaxMessageBytes)
	}
	if err := json.Unmarshal(body, message); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return fieldError(wrong.Field, "a %s where a %s belongs", wrong.Value, wrong.Type)
		}
		return fieldError("body", "not a JSON object of this kind")
	}
	var problems validator.ValidationErrors
	if err := validate().Struct(message); errors.As(err, &problems) {
		first := problems[0]
		_, field, _ := strings.Cut(first.Namespace(), ".")
		return fieldError(field, "out of range (%s)", strings.TrimSpace(first.Tag()+" "+first.Param()))
	} else if err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

// Check checks an inventory beyond what its tags say.
func (i *Inventory) Check() error {
	seen := map[digest.Digest]bool{}
	for n, h := range i.Holdings {
		if seen[h.Manifest] {
			return fieldError(fmt.Sprintf("holdings[%d].manifest", n), "named twice")
		}
		seen[h.Manifest] = true
	}
	if i.Agent == StoreSource {
		return fieldError("agent", "%q is the store's name", StoreSource)
	}
	return nil
}
