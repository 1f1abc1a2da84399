package simulation

import (
	"os"
	"syscall"

	"github.com/spf13/afero"
)

// limitedDisk takes so many more bytes.
type limitedDisk struct {
	afero.Fs
	left *int64
}

func (d *limitedDisk) OpenFile(name string, flag int, mode os.FileMode) (afero.File, error) {
	f, err := d.Fs.OpenFile(name, flag, mode)
	if err != nil {
		return nil, err
	}
	return &limitedFile{f, d.left}, nil
}

type limitedFile struct {
	afero.File
	left *int64
}

// Write writes what there is room for, as a full disk does.
func (f *limitedFile) Write(p []byte) (int, error) {
	fits := min(int64(len(p)), *f.left)
	n, err := f.File.Write(p[:fits])
	*f.left -= int64(n)
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return n, err
}
