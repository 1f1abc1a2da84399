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

// newTestManifest makes a manifest of three chunks, two of which are the same.
func newTestManifest(t *testing.T) *Manifest {
	t.Helper()
	m, err := NewManifest([]Chunk{{digest.FromString("a"), 10}, {digest.FromString("b"), 20}, {digest.FromString("a"), 10}})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// A manifest is read back as it was made, and only by its digest.
func TestManifestRoundTrip(t *testing.T) {
	m := newTestManifest(t)
	if m.Size != 40 || len(m.Chunks) != 3 || m.Chunks[1].Size != 20 {
		t.Errorf("not the manifest that was made: %+v", m)
	}
	if _, err := ParseManifest(m.Raw, digest.FromString("other")); err == nil {
		t.Error("a manifest with another digest is accepted")
	}
}

// Every malformed manifest is refused with the field's name, whatever sizes it claims.
func TestMalformedManifestsAreRefused(t *testing.T) {
	layer := func(d string, size int64) string { return fmt.Sprintf(`{"digest":%q,"size":%d}`, d, size) }
	good := digest.FromString("a").String()
	wrap := func(layers string) string { return `{"schemaVersion":2,"layers":[` + layers + `]}` }
	for name, test := range map[string]struct{ text, field string }{
		"no JSON":                {"{", "manifest"},
		"another version":        {`{"schemaVersion":1,"layers":[]}`, "schemaVersion"},
		"an index":               {`{"schemaVersion":2,"mediaType":"application/vnd.oci.image.index.v1+json"}`, "mediaType"},
		"no layers":              {wrap(""), "layers"},
		"a digest that is none":  {wrap(layer("sha256:zz", 1)), "layers[0].digest"},
		"another hash":           {wrap(layer("sha512:"+strings.Repeat("a", 128), 1)), "layers[0].digest"},
		"a path for a digest":    {wrap(layer("../../etc/passwd", 1)), "layers[0].digest"},
		"size nothing":           {wrap(layer(good, 0)), "layers[0].size"},
		"a negative size":        {wrap(layer(good, -1)), "layers[0].size"},
		"a size beyond all":      {wrap(layer(good, math.MaxInt64)), "layers[0].size"},
		"sizes that overflow":    {wrap(layer(good, MaxVersionBytes) + "," + layer(good, MaxVersionBytes)), "layers[1].size"},
		"two sizes for a digest": {wrap(layer(good, 1) + "," + layer(good, 2)), "layers[1].size"},
		"too long":               {strings.Repeat(" ", MaxManifestBytes+1), "manifest"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseManifest([]byte(test.text), digest.FromString(test.text))
			requireField(t, err, test.field)
		})
	}
}

// requireField fails unless an error names a field.
func requireField(t *testing.T, err error, field string) {
	t.Helper()
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) || fieldErr.Field != field {
		t.Errorf("%v, and %s is at fault", err, field)
	}
}

// Positions are added and removed, and sets of other processes are cut or extended to size.
func TestChunkSet(t *testing.T) {
	s := NewChunkSet(10)
	s.Add(0)
	s.Add(9)
	if !s.Has(0) || s.Has(1) || !s.Has(9) || s.Has(1000) {
		t.Errorf("%v", s)
	}
	s.Remove(9)
	s.Remove(1000)
	if s.Has(9) {
		t.Error("a removed position is still in the set")
	}
	all := ChunkSet{0xff, 0xff, 0xff}
	if cut := all.Resized(10); len(cut) != 2 || cut.Has(10) || !cut.Has(9) {
		t.Errorf("%v", cut)
	}
	if short := (ChunkSet{1}).Resized(100); !short.Has(0) || short.Has(8) || len(short) != 13 {
		t.Errorf("%v", short)
	}
}

// newTestInventory makes a valid inventory.
func newTestInventory() Inventory {
	return Inventory{Agent: "a", Zone: "z", Address: "10.0.0.1:7000", Session: 1, Sequence: 1, UploadSlots: 4, WantedNames: []string{"models/a"}}
}

// Every field that is out of range is named.
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
		"faults[0].fault":      func(i *Inventory) { i.Faults = []SourceFault{{Source: "b", Manifest: d, Fault: "bored"}} },
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

// Bodies that are no inventory at all are refused.
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

// Inventories that the struct tags can't refuse are refused by Check.
func TestInventoryCheck(t *testing.T) {
	d := digest.FromString("a")
	twice := newTestInventory()
	twice.Holdings = []Holding{{Manifest: d, Total: 1}, {Manifest: d, Total: 1}}
	if twice.Check() == nil {
		t.Error("a manifest that is named twice is accepted")
	}
	store := newTestInventory()
	store.Agent = StoreSource
	if store.Check() == nil {
		t.Error("an agent may call itself the store")
	}
}

// An unknown field is no error: versions run side by side.
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

// Names and references are accepted as the OCI distribution specification allows them.
func TestNamesAndReferences(t *testing.T) {
	for _, name := range []string{"a", "models/frontdesk-large", "a.b/c__d/e-f"} {
		if err := CheckName(name); err != nil {
			t.Error(err)
		}
	}
	for _, name := range []string{"", "A", "a//b", "/a", "a/", "..", "a/../b", "a b", strings.Repeat("a", MaxNameBytes+1)} {
		if CheckName(name) == nil {
			t.Errorf("%q is accepted", name)
		}
	}
	for reference, valid := range map[string]bool{
		"v1": true, digest.FromString("x").String(): true, "": false, "a/b": false, "sha256:1": false, "-x": false,
	} {
		if got := CheckReference(reference) == nil; got != valid {
			t.Errorf("%q is accepted: %v", reference, got)
		}
	}
}

// A manifest that is accepted has chunks, and a size within bounds.
func FuzzParseManifest(f *testing.F) {
	f.Add([]byte(`{"schemaVersion":2,"layers":[{"digest":"sha256:x","size":1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := ParseManifest(raw, digest.FromBytes(raw))
		if err == nil && (m.Size <= 0 || m.Size > MaxVersionBytes || len(m.Chunks) == 0) {
			t.Errorf("%+v", m)
		}
	})
}
