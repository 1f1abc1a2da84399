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

func newTestManifest(t *testing.T) *Manifest {
	t.Helper()
	m, err := NewManifest([]Chunk{{digest.FromString("a"), 10}, {digest.FromString("b"), 20}, {digest.FromString("a"), 10}})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestManifestRoundTrip(t *testing.T) {
	m := newTestManifest(t)
	if m.Size != 40 || len(m.Chunks) != 3 || m.Chunks[1].Size != 20 {
		t.Errorf("%+v", m)
	}
	if _, err := ParseManifest(m.Raw, digest.FromString("other")); err == nil {
		t.Error("a manifest with another digest is taken")
	}
}

// Every malformed manifest is refused with the field's name, and nothing is made as large as
// it says.
func TestMalformedManifestsAreRefused(t *testing.T) {
	layer := func(d string, size int64) string { return fmt.Sprintf(`{"digest":%q,"size":%d}`, d, size) }
	good := digest.FromString("a").String()
	wrap := func(layers string) string { return `{"schemaVersion":2,"layers":[` + layers + `]}` }
	for name, c := range map[string]struct{ text, field string }{
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
		_, err := ParseManifest([]byte(c.text), digest.FromString(c.text))
		var field *FieldError
		if !errors.As(err, &field) || field.Field != c.field {
			t.Errorf("%s: %v, and %s is at fault", name, err, c.field)
		}
	}
}

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
		t.Error("it is still there")
	}
	all := ChunkSet{0xff, 0xff, 0xff}
	if cut := all.ForChunks(10); len(cut) != 2 || cut.Has(10) || !cut.Has(9) {
		t.Errorf("%v", cut)
	}
	if short := (ChunkSet{1}).ForChunks(100); !short.Has(0) || short.Has(8) || len(short) != 13 {
		t.Errorf("%v", short)
	}
}

func newTestInventory() Inventory {
	return Inventory{Agent: "a", Zone: "z", Address: "10.0.0.1:7000", Session: 1, Sequence: 1, UploadSlots: 4, Wants: []string{"models/a"}}
}

// Every field that is out of range is named.
func TestInvalidInventoryFieldsAreNamed(t *testing.T) {
	d := digest.FromString("a")
	for field, spoil := range map[string]func(*Inventory){
		"agent":                func(i *Inventory) { i.Agent = "" },
		"zone":                 func(i *Inventory) { i.Zone = strings.Repeat("z", 200) },
		"address":              func(i *Inventory) { i.Address = "nowhere" },
		"session":              func(i *Inventory) { i.Session = 0 },
		"sequence":             func(i *Inventory) { i.Sequence = -1 },
		"upload_slots":         func(i *Inventory) { i.UploadSlots = 1 << 30 },
		"wants[0]":             func(i *Inventory) { i.Wants[0] = "../x" },
		"wants":                func(i *Inventory) { i.Wants = make([]string, 65) },
		"holdings[0].manifest": func(i *Inventory) { i.Holdings = []Holding{{Manifest: "sha256:x", Total: 1}} },
		"holdings[0].chunks":   func(i *Inventory) { i.Holdings = []Holding{{Manifest: d, Chunks: 2, Total: 1}} },
		"holdings[0].total":    func(i *Inventory) { i.Holdings = []Holding{{Manifest: d, Chunks: 0, Total: 1 << 40}} },
		"faults[0].fault":      func(i *Inventory) { i.Faults = []SourceFault{{Source: "b", Manifest: d, Fault: "bored"}} },
		"waits[0].name":        func(i *Inventory) { i.Waits = []WaitReason{{Name: "A"}} },
	} {
		i := newTestInventory()
		spoil(&i)
		text, err := json.Marshal(i)
		if err != nil {
			t.Fatal(err)
		}
		var got Inventory
		var problem *FieldError
		if err := Decode(text, &got); !errors.As(err, &problem) || problem.Field != field {
			t.Errorf("%v, and %s is at fault", err, field)
		}
	}
	var got Inventory
	for text, field := range map[string]string{
		`{"agent":1}`: "agent", `[`: "body", `"x"`: "body", strings.Repeat("x", MaxMessageBytes+1): "body",
	} {
		var problem *FieldError
		if err := Decode([]byte(text), &got); !errors.As(err, &problem) || problem.Field != field {
			t.Errorf("%.20s: %v, and %s is at fault", text, err, field)
		}
	}
	twice := newTestInventory()
	twice.Holdings = []Holding{{Manifest: d, Total: 1}, {Manifest: d, Total: 1}}
	if twice.Check() == nil {
		t.Error("a manifest named twice is taken")
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

func TestNamesAndReferences(t *testing.T) {
	for _, n := range []string{"a", "models/frontdesk-large", "a.b/c__d/e-f"} {
		if err := CheckName(n); err != nil {
			t.Error(err)
		}
	}
	for _, n := range []string{"", "A", "a//b", "/a", "a/", "..", "a/../b", "a b", strings.Repeat("a", MaxNameBytes+1)} {
		if CheckName(n) == nil {
			t.Errorf("%q is taken", n)
		}
	}
	for reference, ok := range map[string]bool{
		"v1": true, digest.FromString("x").String(): true, "": false, "a/b": false, "sha256:1": false, "-x": false,
	} {
		if got := CheckReference(reference) == nil; got != ok {
			t.Errorf("%q: %v", reference, got)
		}
	}
}

func FuzzParseManifest(f *testing.F) {
	f.Add([]byte(`{"schemaVersion":2,"layers":[{"digest":"sha256:x","size":1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := ParseManifest(raw, digest.FromBytes(raw))
		if err == nil && (m.Size <= 0 || m.Size > MaxVersionBytes || len(m.Chunks) == 0) {
			t.Errorf("%+v", m)
		}
	})
}
