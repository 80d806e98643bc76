package replica

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"samphirepaddle.example/core/state"
	"samphirepaddle.example/daemon/storage"
)

// Guards against a vote or an acknowledgement by a controller whose synced log was damaged: it
// must rejoin with a new id, fetch the log again and replace its old id.
func TestDamagedDirectoryRejoins(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.proposeRange(1, 20)
	damaged := (c.leader() + 1) % 3
	old := c.controllers[damaged].replica.identity()
	c.kill(damaged)
	paths, err := filepath.Glob(filepath.Join(c.controllers[damaged].options.Dir, "log-*"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("log segments: %v, %v", paths, err)
	}
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(paths[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	c.start(damaged)
	c.waitVoters()
	if now := c.controllers[damaged].replica.identity(); now.ID == old.ID || now.Group != old.Group {
		t.Errorf("the identity was %+v and is %+v", old, now)
	}
	c.checkTickets(20)
	c.waitEqualStates()
}

// failingFiles is the file system of the operating system, except that syncs fail on demand.
type failingFiles struct {
	storage.OS
	fail atomic.Bool
}

type failingFile struct {
	storage.File
	files *failingFiles
}

var errSync = errors.New("input/output error")

func (f failingFile) Sync() error {
	if f.files.fail.Load() {
		return errSync
	}
	return f.File.Sync()
}

func (f *failingFiles) Append(path string) (storage.File, error) {
	file, err := f.OS.Append(path)
	return failingFile{file, f}, err
}

// Guards against a process that continues after a failed sync, and against success reported for a
// command that is not durable on a quorum.
func TestFailedSyncIsFatal(t *testing.T) {
	files := &failingFiles{}
	fatal := make(chan error, 1)
	c := newCluster(t, 1, func(o *Options) {
		o.FileSystem = files
		o.OnFatal = func(err error) { fatal <- err }
	})
	c.propose(1)
	files.fail.Store(true)
	_, err := c.controllers[0].replica.Propose(context.Background(), ticket(2))
	if !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("Propose with a failed sync: %v", err)
	}
	if err := <-fatal; !errors.Is(err, errSync) {
		t.Errorf("fatal error: %v", err)
	}
	if err := c.controllers[0].replica.Read(context.Background(), func(*state.State) {}); !errors.Is(err, ErrClosed) {
		t.Errorf("Read after a failed sync: %v", err)
	}
}

// Guards against lost commands or differing states after all controllers restart from a snapshot
// and the log after it.
func TestRestartOfAll(t *testing.T) {
	c := newCluster(t, 3, func(o *Options) { o.SnapshotBytes, o.KeepBytes = 2<<10, 1 })
	c.proposeRange(1, 100)
	if c.controllers[c.leader()].replica.Status().SnapshotIndex == 0 {
		t.Error("no snapshot was taken")
	}
	for i := range c.controllers {
		c.kill(i)
	}
	for i := range c.controllers {
		c.start(i)
	}
	c.checkTickets(100)
	c.propose(101)
	c.waitEqualStates()
}
