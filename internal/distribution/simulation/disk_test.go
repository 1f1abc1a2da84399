package simulation

import (
	"os"
	"syscall"

	"github.com/spf13/afero"
)

// limitedDisk takes so many more bytes.
type fullDisk struct {
	afero.Fs
	freeBytes *int64
}

func (d *fullDisk) OpenFile(name string, flag int, mode os.FileMode) (afero.File, error) {
	f, err := d.Fs.OpenFile(name, flag, mode)
	if err != nil {
		return nil, err
	}
	return &fullDiskFile{f, d.freeBytes}, nil
}

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
