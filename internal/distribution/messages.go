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

// HTTP paths of the tracker's API.
const (
	PathPrefix    = "/v1/distribution/"
	PathInventory = PathPrefix + "inventory"
	PathWeights   = PathPrefix + "weights" // all names; a single name is at PathWeights/{name}
)

// HeaderChunks is the response header in which an agent reports the chunks of a manifest that it
// holds: a ChunkSet in base64.
const HeaderChunks = "Oakpick-Chunks"

// HeaderManifest is the header that names a manifest: in a request for a blob, the manifest that the
// blob belongs to, and in an agent's response with the content of a version, that version's manifest.
const HeaderManifest = "Oakpick-Manifest"

// MaxMessageBytes is the maximum size of a message between an agent and the tracker, or between the
// trackers of two controllers.
const MaxMessageBytes = 64 << 10

// MaxNameBytes is the maximum length of a name of weights.
const MaxNameBytes = 128

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]+((\.|_|__|-+)[a-z0-9]+)*(/[a-z0-9]+((\.|_|__|-+)[a-z0-9]+)*)*$`)
	tagPattern  = regexp.MustCompile(`^[a-zA-Z0-9_][a-zA-Z0-9._-]{0,127}$`)
)

// CheckName returns an error unless name is valid by the OCI distribution specification and no
// longer than MaxNameBytes.
func CheckName(name string) error {
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		return fieldError("name", "%.40q is not a name of weights", name)
	}
	return nil
}

// CheckReference returns an error unless reference is a tag or a digest.
func CheckReference(reference string) error {
	if tagPattern.MatchString(reference) {
		return nil
	}
	if err := CheckDigest(digest.Digest(reference)); err != nil {
		return fieldError("reference", "%.80q is neither a tag nor a digest", reference)
	}
	return nil
}

// Fault is a reason why an agent failed to fetch chunks from a source.
type Fault string

// Kinds of faults. FaultBusy and FaultDisk are not reported to the tracker.
const (
	FaultDamaged     Fault = "damaged"     // the received bytes don't match the digest
	FaultUnreachable Fault = "unreachable" // the connection failed or broke
	FaultSlow        Fault = "slow"        // the transfer stalled or was below the minimum rate
	FaultMissing     Fault = "missing"     // the source doesn't have a chunk that it advertised
	FaultUseless     Fault = "useless"     // the source has had no needed chunk for a while
	FaultBusy        Fault = "busy"        // all upload slots of the source are in use
	FaultDisk        Fault = "disk"        // the agent itself failed to store the chunk
)

// Inventory is an agent's periodic report to the tracker.
type Inventory struct {
	Agent       string        `json:"agent" validate:"required,max=128"`
	Zone        string        `json:"zone" validate:"required,max=128"`
	Address     string        `json:"address" validate:"required,max=256,hostname_port"`
	Session     int64         `json:"session" validate:"gt=0"`  // increases with each start of the agent
	Sequence    int64         `json:"sequence" validate:"gt=0"` // increases with each inventory of a session
	UploadSlots int           `json:"upload_slots" validate:"gte=0,lte=1024"`
	WantedNames []string      `json:"wants,omitempty" validate:"max=64,dive,weights"`
	Holdings    []Holding     `json:"holdings,omitempty" validate:"max=128,dive"`
	Faults      []SourceFault `json:"faults,omitempty" validate:"max=64,dive"`
	Waits       []WaitReason  `json:"waits,omitempty" validate:"max=64,dive"`
}

// Holding reports how many chunks of a manifest an agent holds.
type Holding struct {
	Manifest digest.Digest `json:"manifest" validate:"sha256digest"`
	Chunks   int           `json:"chunks" validate:"gte=0,ltefield=Total"`
	Total    int           `json:"total" validate:"gte=1,lte=4194304"`
	Active   bool          `json:"active,omitempty"` // the agent serves the manifest
}

// SourceFault reports a fault that an agent found in a source since its last inventory.
type SourceFault struct {
	Source   string        `json:"source" validate:"required,max=128"`
	Manifest digest.Digest `json:"manifest" validate:"sha256digest"`
	Fault    Fault         `json:"fault" validate:"oneof=damaged unreachable slow missing useless"`
}

// WaitReason explains why an agent doesn't serve the wanted manifest of a name yet. If some
// of the missing chunks have no source, MissingChunks counts only these and Chunk is one of them.
// Otherwise MissingChunks counts all missing chunks.
type WaitReason struct {
	Name          string        `json:"name" validate:"weights"`
	Description   string        `json:"why" validate:"max=256"`
	Chunk         digest.Digest `json:"chunk,omitempty" validate:"omitempty,sha256digest"`
	MissingChunks int           `json:"chunks,omitempty" validate:"gte=0"`
}

// InventoryResponse is the tracker's response to an inventory.
type InventoryResponse struct {
	Term         int64           `json:"term"`
	Names        []NameRecord    `json:"names,omitempty"`
	Sources      []Source        `json:"sources,omitempty"`
	Recheck      []digest.Digest `json:"recheck,omitempty"` // manifests whose chunks the agent should verify again
	KeepSources  bool            `json:"keep,omitempty"`    // the leader is new: the agent keeps sources that aren't listed
	NextReportMs int64           `json:"next_ms"`           // time until the next inventory is due
}

// NameRecord maps a name of weights to a manifest.
type NameRecord struct {
	Name     string        `json:"name"`
	Manifest digest.Digest `json:"manifest"`
	Revision int64         `json:"revision"` // increases with every change
}

// Source is a peer or the store. The agent may fetch chunks of the manifest from it until the
// lease expires.
type Source struct {
	Agent    string        `json:"agent"`
	Address  string        `json:"address,omitempty"`
	Zone     string        `json:"zone,omitempty"`
	Manifest digest.Digest `json:"manifest"`
	LeaseMs  int64         `json:"lease_ms"`
	// Stripe and Stripes are set for the store only: the agent first fetches the chunks whose
	// position modulo Stripes equals Stripe.
	Stripe          int `json:"stripe,omitempty"`
	Stripes         int `json:"stripes,omitempty"`
	OtherStoreUsers int `json:"others,omitempty"` // other agents with a lease on the store for the manifest
}

// StoreSource is the Agent field of a Source that is the store.
const StoreSource = "store"

// SetManifestRequest is the body of a request that sets the manifest of a name.
type SetManifestRequest struct {
	Manifest digest.Digest `json:"manifest" validate:"sha256digest"`
}

// ErrorResponse is the body of every response with an error status.
type ErrorResponse struct {
	Error string `json:"error"`
}

// validate returns the validator of messages, with the custom tags weights and sha256digest.
var validate = sync.OnceValue(func() *validator.Validate {
	v := config.NewValidator("json")
	register := func(tag string, check func(string) error) {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return check(f.Field().String()) == nil })
		if err != nil {
			panic(err) // unreachable: both tags below are valid
		}
	}
	register("weights", CheckName)
	register("sha256digest", func(s string) error { return CheckDigest(digest.Digest(s)) })
	return v
})

// Decode decodes a JSON message and validates its struct tags. The error names the invalid field.
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
		first := problems[0] // one invalid field is enough to refuse the message
		_, field, _ := strings.Cut(first.Namespace(), ".")
		return fieldError(field, "out of range (%s)", strings.TrimSpace(first.Tag()+" "+first.Param()))
	} else if err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

// Check validates what struct tags can't express: each manifest is listed once, and the agent
// doesn't have the store's name.
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
