package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/opencontainers/go-digest"

	"oakpick/internal/config"
)

// Paths of the tracker's API.
const (
	PathPrefix    = "/v1/distribution/"
	PathInventory = PathPrefix + "inventory"
	PathWeights   = PathPrefix + "weights" // and /{name}
)

// ChunksHeader is the header in which agents tell which chunks of a manifest they hold: a
// ChunkSet in base64.
const ChunksHeader = "Oakpick-Chunks"

// ManifestHeader is the header in which a request for a blob names the manifest that it belongs
// to.
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

// Fault is what an agent found wrong with a source.
type Fault string

// Faults of sources.
const (
	FaultDamaged     Fault = "damaged"     // the bytes don't have the digest
	FaultUnreachable Fault = "unreachable" // it can't be reached, or the connection broke
	FaultSlow        Fault = "slow"        // it stalled, or was below the minimum rate
	FaultMissing     Fault = "missing"     // it doesn't have a chunk that it claims to have
	FaultUseless     Fault = "useless"     // it has had no needed chunk for a while
	FaultBusy        Fault = "busy"        // all of its slots are in use
	FaultDisk        Fault = "disk"        // not the source's: the chunk can't be stored
)

// Inventory is an agent's report to the tracker.
type Inventory struct {
	Agent       string        `json:"agent" validate:"required,max=128"`
	Zone        string        `json:"zone" validate:"required,max=128"`
	Address     string        `json:"address" validate:"required,max=256,hostname_port"`
	Session     int64         `json:"session" validate:"gt=0"`  // grows with each start of the agent
	Sequence    int64         `json:"sequence" validate:"gt=0"` // grows with each inventory of a session
	UploadSlots int           `json:"upload_slots" validate:"gte=0,lte=1024"`
	WantedNames []string      `json:"wants,omitempty" validate:"max=64,dive,weights"`
	Holdings    []Holding     `json:"holdings,omitempty" validate:"max=128,dive"`
	Faults      []SourceFault `json:"faults,omitempty" validate:"max=64,dive"`
	Waits       []WaitReason  `json:"waits,omitempty" validate:"max=64,dive"`
}

// Holding says how much of a manifest an agent holds.
type Holding struct {
	Manifest digest.Digest `json:"manifest" validate:"sha256digest"`
	Chunks   int           `json:"chunks" validate:"gte=0,ltefield=Total"`
	Total    int           `json:"total" validate:"gte=1,lte=4194304"`
	Active   bool          `json:"active,omitempty"` // the agent serves it
}

// SourceFault is what was found wrong with a source since the last inventory.
type SourceFault struct {
	Source   string        `json:"source" validate:"required,max=128"`
	Manifest digest.Digest `json:"manifest" validate:"sha256digest"`
	Fault    Fault         `json:"fault" validate:"oneof=damaged unreachable slow missing useless"`
}

// WaitReason says why an agent doesn't serve the wanted manifest of a name yet.
type WaitReason struct {
	Name          string        `json:"name" validate:"weights"`
	Description   string        `json:"why" validate:"max=256"`
	Chunk         digest.Digest `json:"chunk,omitempty" validate:"omitempty,sha256digest"` // a chunk that no source has
	MissingChunks int           `json:"chunks,omitempty" validate:"gte=0"`                 // how many are missing
}

// InventoryResponse is the tracker's answer to an inventory.
type InventoryResponse struct {
	Term         int64           `json:"term"`
	Names        []NameRecord    `json:"names,omitempty"`
	Sources      []Source        `json:"sources,omitempty"`
	Recheck      []digest.Digest `json:"recheck,omitempty"` // manifests whose chunks the agent should verify again
	KeepSources  bool            `json:"keep,omitempty"`    // the tracker has just started: sources that aren't listed stay in use
	NextReportMs int64           `json:"next_ms"`           // when to report again
}

// NameRecord says which manifest a name has.
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
	// Stripe and Stripes are set for the store: chunks at positions with the remainder Stripe
	// modulo Stripes are fetched first.
	Stripe          int `json:"stripe,omitempty"`
	Stripes         int `json:"stripes,omitempty"`
	OtherStoreUsers int `json:"others,omitempty"` // other agents that may use the store
}

// StoreSource is the name of the store among sources.
const StoreSource = "store"

// SetManifestRequest asks that a name refer to a manifest.
type SetManifestRequest struct {
	Manifest digest.Digest `json:"manifest" validate:"sha256digest"`
}

// ErrorResponse is the body of every answer with an error status.
type ErrorResponse struct {
	Error string `json:"error"`
}

// validate returns the validator of messages, with the tags that are particular to them.
var validate = sync.OnceValue(func() *validator.Validate {
	v := config.NewValidator("json")
	register := func(tag string, check func(string) error) {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return check(f.Field().String()) == nil })
		if err != nil {
			panic(err) // the tags are constants below
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
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return fieldError(typeErr.Field, "a %s where a %s belongs", typeErr.Value, typeErr.Type)
		}
		return fieldError("body", "not a JSON object of this kind")
	}
	var problems validator.ValidationErrors
	if err := validate().Struct(message); errors.As(err, &problems) {
		first := problems[0] // one is enough for the sender to go on
		_, field, _ := strings.Cut(first.Namespace(), ".")
		return fieldError(field, "out of range (%s)", strings.TrimSpace(first.Tag()+" "+first.Param()))
	} else if err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

// Check checks what the struct tags of an inventory can't express.
func (i *Inventory) Check() error {
	seen := map[digest.Digest]bool{}
	for n, holding := range i.Holdings {
		if seen[holding.Manifest] {
			return fieldError(fmt.Sprintf("holdings[%d].manifest", n), "named twice")
		}
		seen[holding.Manifest] = true
	}
	if i.Agent == StoreSource {
		return fieldError("agent", "%q is the store's name", StoreSource)
	}
	return nil
}
