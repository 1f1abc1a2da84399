package simulation

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/spf13/afero"

	"oakpick/internal/distribution"
)

// A full disk pauses fetches until there is free space again. The active version stays served.
func TestFullDiskPausesFetches(t *testing.T) {
	o := Defaults()
	w := New(o)
	first := w.Store.Publish(chunks, chunkBytes, nil, 0)
	freeBytes := int64(chunks * chunkBytes * 3 / 2)
	limitedAgent := w.Agents[0]
	limitedAgent.Disk = &limitedDisk{limitedAgent.Disk, &freeBytes}
	w.SetManifest(weightsName, first.Digest)
	w.StartAll()
	requireReady(t, w, first)
	second := w.Store.Publish(chunks, chunkBytes, nil, 0)
	w.SetManifest(weightsName, second.Digest)
	w.Run(maxWait)
	if limitedAgent.Active(weightsName) != first.Digest || limitedAgent.Counts().Faults[distribution.FaultDisk] == 0 {
		t.Errorf("the agent serves %s; faults %v", limitedAgent.Active(weightsName), limitedAgent.Counts().Faults)
	}
	if len(limitedAgent.ReportedWaits) != 1 || !strings.Contains(limitedAgent.ReportedWaits[0].Description, "disk") {
		t.Errorf("the agent waits for %+v", limitedAgent.ReportedWaits)
	}
	freeBytes = 1 << 30
	requireReady(t, w, second)
}

// limitedDisk is a file system with a limited number of free bytes.
type limitedDisk struct {
	afero.Fs
	freeBytes *int64
}

// OpenFile opens a file whose writes use up the free bytes.
func (d *limitedDisk) OpenFile(name string, flag int, mode os.FileMode) (afero.File, error) {
	file, err := d.Fs.OpenFile(name, flag, mode)
	if err != nil {
		return nil, err
	}
	return &limitedDiskFile{file, d.freeBytes}, nil
}

// limitedDiskFile is a file of a limitedDisk.
type limitedDiskFile struct {
	afero.File
	freeBytes *int64
}

// Write writes as many bytes as there is space for, and returns ENOSPC if that isn't all of them.
func (f *limitedDiskFile) Write(p []byte) (int, error) {
	fits := min(int64(len(p)), *f.freeBytes)
	n, err := f.File.Write(p[:fits])
	*f.freeBytes -= int64(n)
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}
