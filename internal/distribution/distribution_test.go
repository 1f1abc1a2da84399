package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/opencontainers/go-digest"
)

// newTestManifest returns a manifest of three chunks, two of which are identical.
func newTestManifest(t *testing.T) *Manifest {
	t.Helper()
	m, err := NewManifest([]Chunk{{digest.FromString("a"), 10}, {digest.FromString("b"), 20}, {digest.FromString("a"), 10}})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// A manifest has the size and chunks that it was created from, and is refused under another digest.
func TestManifestRoundTrip(t *testing.T) {
	m := newTestManifest(t)
	if m.Size != 40 || len(m.Chunks) != 3 || m.Chunks[1].Size != 20 {
		t.Errorf("unexpected manifest: %+v", m)
	}
	if _, err := ParseManifest(m.Raw, digest.FromString("other")); err == nil {
		t.Error("a manifest with a different digest is accepted")
	}
}

// Every malformed manifest is refused with an error that names the invalid field, also if its sizes
// are zero, negative or too large.
func TestMalformedManifestsAreRefused(t *testing.T) {
	layer := func(d string, size int64) string { return fmt.Sprintf(`{"digest":%q,"size":%d}`, d, size) }
	good := digest.FromString("a").String()
	wrap := func(layers string) string { return `{"schemaVersion":2,"layers":[` + layers + `]}` }
	for name, test := range map[string]struct{ text, field string }{
		"not JSON":                {"{", "manifest"},
		"other schema version":    {`{"schemaVersion":1,"layers":[]}`, "schemaVersion"},
		"image index":             {`{"schemaVersion":2,"mediaType":"application/vnd.oci.image.index.v1+json"}`, "mediaType"},
		"no layers":               {wrap(""), "layers"},
		"malformed digest":        {wrap(layer("sha256:zz", 1)), "layers[0].digest"},
		"unsupported algorithm":   {wrap(layer("sha512:"+strings.Repeat("a", 128), 1)), "layers[0].digest"},
		"path instead of digest":  {wrap(layer("../../etc/passwd", 1)), "layers[0].digest"},
		"zero size":               {wrap(layer(good, 0)), "layers[0].size"},
		"negative size":           {wrap(layer(good, -1)), "layers[0].size"},
		"size above the maximum":  {wrap(layer(good, math.MaxInt64)), "layers[0].size"},
		"total above the maximum": {wrap(layer(good, MaxVersionBytes) + "," + layer(good, MaxVersionBytes)), "layers[1].size"},
		"two sizes for a digest":  {wrap(layer(good, 1) + "," + layer(good, 2)), "layers[1].size"},
		"too long":                {strings.Repeat(" ", MaxManifestBytes+1), "manifest"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseManifest([]byte(test.text), digest.FromString(test.text))
			requireField(t, err, test.field)
		})
	}
}

// requireField fails the test unless err is a FieldError for the given field.
func requireField(t *testing.T, err error, field string) {
	t.Helper()
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || fieldErr.Field != field {
		t.Errorf("got error %v, want one for the field %s", err, field)
	}
}

// Positions can be added and removed. Sets from other processes are truncated or extended to the
// requested size.
func TestChunkSet(t *testing.T) {
	s := NewChunkSet(10)
	s.Add(0)
	s.Add(9)
	if !s.Has(0) || s.Has(1) || !s.Has(9) || s.Has(1000) {
		t.Errorf("unexpected positions after Add: %v", s)
	}
	s.Remove(9)
	s.Remove(1000)
	if s.Has(9) {
		t.Error("a removed position is still in the set")
	}
	all := ChunkSet{0xff, 0xff, 0xff}
	if cut := all.Resized(10); len(cut) != 2 || cut.Has(10) || !cut.Has(9) {
		t.Errorf("unexpected positions after truncation: %v", cut)
	}
	if short := (ChunkSet{1}).Resized(100); !short.Has(0) || short.Has(8) || len(short) != 13 {
		t.Errorf("unexpected positions after extension: %v", short)
	}
}

// newTestInventory returns a valid inventory.
func newTestInventory() Inventory {
	return Inventory{Agent: "a", Zone: "z", Address: "10.0.0.1:7000", Session: 1, Sequence: 1, UploadSlots: 4, WantedNames: []string{"models/a"}}
}

// The error for an invalid inventory names the field that is out of range.
func TestInvalidInventoryFieldsAreNamed(t *testing.T) {
	d := digest.FromString("a")
	for field, invalidate := range map[string]func(*Inventory){
		"agent":                func(i *Inventory) { i.Agent = "" },
		"zone":                 func(i *Inventory) { i.Zone = strings.Repeat("z", 200) },
		"address":              func(i *Inventory) { i.Address = "nowhere" },
		"session":              func(i *Inventory) { i.Session = 0 },
		"sequence":             func(i *Inventory) { i.Sequence = -1 },
		"upload_slots":         func(i *Inventory) { i.UploadSlots = 1 << 30 },
		"wants[0]":             func(i *Inventory) { i.WantedNames[0] = "../x" },
		"wants":                func(i *Inventory) { i.WantedNames = make([]string, 65) },
		"holdings[0].manifest": func(i *Inventory) { i.Holdings = []Holding{{Manifest: "sha256:x", Total: 1}} },
		"holdings[0].chunks":   func(i *Inventory) { i.Holdings = []Holding{{Manifest: d, Chunks: 2, Total: 1}} },
		"holdings[0].total":    func(i *Inventory) { i.Holdings = []Holding{{Manifest: d, Chunks: 0, Total: 1 << 40}} },
		"faults[0].fault":      func(i *Inventory) { i.Faults = []SourceFault{{Source: "b", Manifest: d, Fault: "unknown"}} },
		"waits[0].name":        func(i *Inventory) { i.Waits = []WaitReason{{Name: "A"}} },
	} {
		t.Run(field, func(t *testing.T) {
			inventory := newTestInventory()
			invalidate(&inventory)
			text, err := json.Marshal(inventory)
			if err != nil {
				t.Fatal(err)
			}
			requireField(t, Decode(text, &Inventory{}), field)
		})
	}
}

// A body that doesn't decode to an inventory is refused.
func TestMalformedInventoriesAreRefused(t *testing.T) {
	for name, test := range map[string]struct{ text, field string }{
		"wrong type":    {`{"agent":1}`, "agent"},
		"not JSON":      {`[`, "body"},
		"not an object": {`"x"`, "body"},
		"too long":      {strings.Repeat("x", MaxMessageBytes+1), "body"},
	} {
		t.Run(name, func(t *testing.T) {
			requireField(t, Decode([]byte(test.text), &Inventory{}), test.field)
		})
	}
}

// Check refuses invalid inventories that pass the validation of the struct tags.
func TestInventoryCheck(t *testing.T) {
	d := digest.FromString("a")
	twice := newTestInventory()
	twice.Holdings = []Holding{{Manifest: d, Total: 1}, {Manifest: d, Total: 1}}
	if twice.Check() == nil {
		t.Error("an inventory that lists a manifest twice is accepted")
	}
	store := newTestInventory()
	store.Agent = StoreSource
	if store.Check() == nil {
		t.Error("an agent with the store's name is accepted")
	}
}

// Unknown fields are ignored, because agents and trackers of different releases run side by side.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	i := newTestInventory()
	text, err := json.Marshal(i)
	if err != nil {
		t.Fatal(err)
	}
	var got Inventory
	if err := Decode([]byte(strings.Replace(string(text), "{", `{"later":[1],`, 1)), &got); err != nil || got.Agent != "a" {
		t.Errorf("%v %+v", err, got)
	}
}

// Names and references are accepted if the OCI distribution specification allows them.
func TestNamesAndReferences(t *testing.T) {
	for _, name := range []string{"a", "models/frontdesk-large", "a.b/c__d/e-f"} {
		if err := CheckName(name); err != nil {
			t.Error(err)
		}
	}
	for _, name := range []string{"", "A", "a//b", "/a", "a/", "..", "a/../b", "a b", strings.Repeat("a", MaxNameBytes+1)} {
		if CheckName(name) == nil {
			t.Errorf("the invalid name %q is accepted", name)
		}
	}
	for reference, valid := range map[string]bool{
		"v1": true, digest.FromString("x").String(): true, "": false, "a/b": false, "sha256:1": false, "-x": false,
	} {
		if got := CheckReference(reference) == nil; got != valid {
			t.Errorf("reference %q: accepted is %v", reference, got)
		}
	}
}

// Every manifest that is accepted has chunks and a size within bounds.
func FuzzParseManifest(f *testing.F) {
	f.Add([]byte(`{"schemaVersion":2,"layers":[{"digest":"sha256:x","size":1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := ParseManifest(raw, digest.FromBytes(raw))
		if err == nil && (m.Size <= 0 || m.Size > MaxVersionBytes || len(m.Chunks) == 0) {
			t.Errorf("accepted manifest is out of bounds: %+v", m)
		}
	})
}
