package simulation

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/spf13/afero"

	"oakpick/internal/distribution"
)

// A full disk pauses fetches until there is room again. What is served stays served.
func TestFullDiskPausesFetches(t *testing.T) {
	o := Defaults()
	w := New(o)
	first := w.Store.Publish(chunks, chunkBytes, nil, 0)
	freeBytes := int64(chunks * chunkBytes * 3 / 2)
	full := w.Agents[0]
	full.Disk = &fullDisk{full.Disk, &freeBytes}
	w.Use(weightsName, first.Digest)
	w.StartAll()
	requireReady(t, w, first)
	second := w.Store.Publish(chunks, chunkBytes, nil, 0)
	w.Use(weightsName, second.Digest)
	w.Run(maxWait)
	if full.Active(weightsName) != first.Digest || full.Counts().Faults[distribution.FaultDisk] == 0 {
		t.Errorf("it serves %s; faults %v", full.Active(weightsName), full.Counts().Faults)
	}
	if len(full.ReportedWaits) != 1 || !strings.Contains(full.ReportedWaits[0].Description, "disk") {
		t.Errorf("it waits for %+v", full.ReportedWaits)
	}
	freeBytes = 1 << 30
	requireReady(t, w, second)
}

// fullDisk is a file system with so many bytes left.
type fullDisk struct {
	afero.Fs
	freeBytes *int64
}

// OpenFile opens a file that can grow as far as the disk has room.
func (d *fullDisk) OpenFile(name string, flag int, mode os.FileMode) (afero.File, error) {
	file, err := d.Fs.OpenFile(name, flag, mode)
	if err != nil {
		return nil, err
	}
	return &fullDiskFile{file, d.freeBytes}, nil
}

// fullDiskFile is a file of a fullDisk.
type fullDiskFile struct {
	afero.File
	freeBytes *int64
}

// Write writes what there is room for, as a full disk does.
func (f *fullDiskFile) Write(p []byte) (int, error) {
	fits := min(int64(len(p)), *f.freeBytes)
	n, err := f.File.Write(p[:fits])
	*f.freeBytes -= int64(n)
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}
