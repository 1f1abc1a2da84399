package distributionrun

import (
	"encoding/json"
	"testing"
)

// Programs that read reports depend on these names of the parameters.
func TestReportKeepsNamesOfParameters(t *testing.T) {
	text, err := json.Marshal(smallParameters(t))
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Agents":6,"Zones":2,"Controllers":3,"SizeMB":8,"ChunkMB":0.25,"RateMB":8,"StoreRateMB":0,"StoreSlots":3,"UploadSlots":3,"SlowZone":1,` +
		`"ReportS":0.3,"Runs":1,"FromStore":false,"IdleS":0,"Faults":null,"Seed":1}`
	if string(text) != want {
		t.Errorf("got %s, want %s", text, want)
	}
}
