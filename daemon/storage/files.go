package storage

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// File is an open file in the data directory.
type File interface {
	io.Writer
	io.ReaderAt
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
	Close() error
}

// FileSystem is the file system interface of a Store. Tests replace it to inject failures.
type FileSystem interface {
	Open(path string) (File, error)                       // opens a file for reading
	Append(path string) (File, error)                     // opens a file for appending and creates it if it does not exist
	Create(path string) (File, error)                     // creates a file for writing, or truncates an existing one
	Rewrite(path string, data []byte, offset int64) error // writes data over existing bytes and syncs the file
	Rename(from, to string) error
	RemoveAll(path string) error
	List(dir string) ([]string, error)
	MkdirAll(dir string) error
	SyncDir(dir string) error
	Lock(path string) (io.Closer, error) // takes an exclusive lock between processes without waiting
}

// OS implements FileSystem with the file system of the operating system.
type OS struct{}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// wrap converts the result of an os function to a File.
func wrap(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open opens a file for reading.
func (OS) Open(path string) (File, error) { return wrap(os.Open(path)) }

// Append opens a file for appending and creates it if it does not exist.
func (OS) Append(path string) (File, error) {
	return wrap(os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600))
}

// Create creates a file for writing, or truncates an existing one.
func (OS) Create(path string) (File, error) {
	return wrap(os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600))
}

// Rewrite writes data over existing bytes of a file and syncs the file.
func (OS) Rewrite(path string, data []byte, offset int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.WriteAt(data, offset); err != nil {
		return err
	}
	return f.Sync()
}

// Rename renames a file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// RemoveAll removes a file, or a directory with its content.
func (OS) RemoveAll(path string) error { return os.RemoveAll(path) }

// List returns the names of the files in a directory, sorted.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// MkdirAll creates a directory and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// SyncDir makes created, renamed and removed files in a directory durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock takes an exclusive lock without waiting. The operating system releases it when the
// process ends.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("data directory is in use by another process: lock %s: %w", path, err)
	}
	return f, nil
}
