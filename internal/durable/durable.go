// Package durable writes and renames files so that they survive a crash of the machine.
package durable

import (
	"errors"
	"io"
	"path"

	"github.com/spf13/afero"
)

// TemporarySuffix is appended to the name of a file while Replace writes it.
const TemporarySuffix = ".new"

// Write writes a file and returns its size in bytes after syncing its content. It does not
// sync the directory, so the file's name may be lost in a crash; Rename makes it durable.
func Write(files afero.Fs, name string, content io.Reader) (size int64, err error) {
	file, err := files.Create(name)
	if err != nil {
		return 0, err
	}
	size, err = io.Copy(file, content)
	return size, errors.Join(err, file.Sync(), file.Close())
}

// Rename moves a file within a file system and syncs the target directory, so that the new
// name is durable when Rename returns.
func Rename(files afero.Fs, from, to string) error {
	if err := files.Rename(from, to); err != nil {
		return err
	}
	directory, err := files.Open(path.Dir(to))
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Replace writes a file atomically: a reader sees either the old or the new content.
// After an error, a file with TemporarySuffix may remain.
func Replace(files afero.Fs, name string, content io.Reader) error {
	if _, err := Write(files, name+TemporarySuffix, content); err != nil {
		return err
	}
	return Rename(files, name+TemporarySuffix, name)
}
