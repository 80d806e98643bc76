package storage

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"samphirepaddle.example/core/consensus"
)

// starvedFileSystem has no free descriptor for the next calls that need one.
type starvedFileSystem struct {
	OS
	shortages int // calls that still fail
	err       error
}

func (f *starvedFileSystem) fail(path string) error {
	if f.shortages == 0 {
		return nil
	}
	f.shortages--
	return &os.PathError{Op: "open", Path: path, Err: f.err}
}

func (f *starvedFileSystem) Append(path string) (File, error) {
	if err := f.fail(path); err != nil {
		return nil, err
	}
	return f.OS.Append(path)
}

func (f *starvedFileSystem) Create(path string) (File, error) {
	if err := f.fail(path); err != nil {
		return nil, err
	}
	return f.OS.Create(path)
}

func (f *starvedFileSystem) SyncDir(dir string) error {
	if err := f.fail(dir); err != nil {
		return err
	}
	return f.OS.SyncDir(dir)
}

// Guards against a controller that ends because it ran out of descriptors: a write waits for one.
func TestWritesWaitForADescriptor(t *testing.T) {
	files := &starvedFileSystem{err: syscall.EMFILE}
	o := Options{Dir: t.TempDir(), FileSystem: files, SegmentBytes: 1}
	s := open(t, o)
	for i := range uint64(3) {
		files.shortages = 4
		write(t, s, consensus.Write{Seq: i + 1, Entries: entries(1, i+1, i+1)})
	}
	if s = reopen(t, s, o); len(s.Saved().Entries) != 3 {
		t.Errorf("%d entries were stored, want 3", len(s.Saved().Entries))
	}
}

// Guards against waiting for ever, and against waiting after errors that a wait does not change.
func TestWaitForADescriptorEnds(t *testing.T) {
	for cause, wantWait := range map[syscall.Errno]time.Duration{syscall.EMFILE: descriptorTimeout, syscall.EACCES: 0} {
		waited := time.Duration(0)
		files := patientFiles{&starvedFileSystem{shortages: 1 << 30, err: cause}, func(d time.Duration) { waited += d }}
		if _, err := files.Append("file"); !errors.Is(err, cause) || waited != wantWait {
			t.Errorf("%v: returned %v after %v, want it after %v", cause, err, waited, wantWait)
		}
	}
}
