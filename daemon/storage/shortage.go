package storage

import (
	"errors"
	"io"
	"syscall"
	"time"
)

// Waiting for a file descriptor. The process closes idle connections when it runs out of
// descriptors, so one becomes free soon; a write that waits meanwhile is only late.
const (
	descriptorRetryDelay = 10 * time.Millisecond
	descriptorTimeout    = 10 * time.Second
)

// patientFiles is a FileSystem whose calls wait while the process has no free descriptor.
type patientFiles struct {
	FileSystem
	sleep func(time.Duration)
}

// withDescriptor calls open until it fails for another reason than a shortage of descriptors, or
// the shortage lasts for descriptorTimeout.
func withDescriptor[T any](p patientFiles, open func() (T, error)) (T, error) {
	for waited := time.Duration(0); ; waited += descriptorRetryDelay {
		result, err := open()
		short := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
		if !short || waited >= descriptorTimeout {
			return result, err
		}
		p.sleep(descriptorRetryDelay)
	}
}

// Open opens a file for reading.
func (p patientFiles) Open(path string) (File, error) {
	return withDescriptor(p, func() (File, error) { return p.FileSystem.Open(path) })
}

// Append opens a file for appending and creates it if it does not exist.
func (p patientFiles) Append(path string) (File, error) {
	return withDescriptor(p, func() (File, error) { return p.FileSystem.Append(path) })
}

// Create creates a file for writing, or truncates an existing one.
func (p patientFiles) Create(path string) (File, error) {
	return withDescriptor(p, func() (File, error) { return p.FileSystem.Create(path) })
}

// Rewrite writes data over existing bytes of a file and syncs the file.
func (p patientFiles) Rewrite(path string, data []byte, offset int64) error {
	_, err := withDescriptor(p, func() (struct{}, error) { return struct{}{}, p.FileSystem.Rewrite(path, data, offset) })
	return err
}

// List returns the names of the files in a directory, sorted.
func (p patientFiles) List(dir string) ([]string, error) {
	return withDescriptor(p, func() ([]string, error) { return p.FileSystem.List(dir) })
}

// RemoveAll removes a file, or a directory with its content.
func (p patientFiles) RemoveAll(path string) error {
	_, err := withDescriptor(p, func() (struct{}, error) { return struct{}{}, p.FileSystem.RemoveAll(path) })
	return err
}

// SyncDir makes created, renamed and removed files in a directory durable.
func (p patientFiles) SyncDir(dir string) error {
	_, err := withDescriptor(p, func() (struct{}, error) { return struct{}{}, p.FileSystem.SyncDir(dir) })
	return err
}

// Lock takes an exclusive lock between processes without waiting for its holder.
func (p patientFiles) Lock(path string) (io.Closer, error) {
	return withDescriptor(p, func() (io.Closer, error) { return p.FileSystem.Lock(path) })
}
