package storage

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"samphirepaddle.example/core/consensus"
)

// faultyFileSystem is the file system of the operating system with syncs that can be made to
// fail.
type faultyFileSystem struct {
	OS
	failSync    bool
	failSyncDir bool
}

var errSync = errors.New("input/output error")

type faultyFile struct {
	File
	files *faultyFileSystem
}

func (f faultyFile) Sync() error {
	if f.files.failSync {
		return errSync
	}
	return f.File.Sync()
}

func (f *faultyFileSystem) Append(path string) (File, error) {
	file, err := f.OS.Append(path)
	return faultyFile{file, f}, err
}

func (f *faultyFileSystem) Create(path string) (File, error) {
	file, err := f.OS.Create(path)
	return faultyFile{file, f}, err
}

func (f *faultyFileSystem) SyncDir(dir string) error {
	if f.failSyncDir {
		return errSync
	}
	return f.OS.SyncDir(dir)
}

func open(t *testing.T, o Options) *Store {
	t.Helper()
	s, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func write(t *testing.T, s *Store, w consensus.Write) {
	t.Helper()
	if _, err := s.Write(w); err != nil {
		t.Fatal(err)
	}
}

// entries returns the entries from..to of the term, both included.
func entries(term, from, to uint64) []consensus.Entry {
	var list []consensus.Entry
	for i := from; i <= to; i++ {
		list = append(list, consensus.Entry{Index: i, Term: term, Data: []byte(fmt.Sprintf("command %d of term %d", i, term))})
	}
	return list
}

// reopen closes the store and opens its directory again.
func reopen(t *testing.T, s *Store, o Options) *Store {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return open(t, o)
}

// Guards against a restart that loses the term, the vote, an entry or an overwrite of entries,
// including across several segments.
func TestReopen(t *testing.T) {
	o := Options{Dir: t.TempDir(), SegmentBytes: 300}
	s := open(t, o)
	id := s.Identity().ID
	hardState := consensus.HardState{Term: 7, Vote: "other"}
	write(t, s, consensus.Write{HardState: &hardState, Entries: entries(1, 1, 10)})
	write(t, s, consensus.Write{Entries: entries(2, 6, 8)})
	write(t, s, consensus.Write{Entries: entries(2, 9, 20)})
	s = reopen(t, s, o)
	want := append(entries(1, 1, 5), entries(2, 6, 20)...)
	if got := s.Saved(); got.HardState != hardState || !reflect.DeepEqual(got.Entries, want) {
		t.Errorf("read back %+v", got)
	}
	if s.Identity().ID != id {
		t.Error("the identity changed")
	}
	write(t, s, consensus.Write{Entries: entries(2, 21, 21)})
	s = reopen(t, s, o)
	if got := len(s.Saved().Entries); got != 21 {
		t.Errorf("%d entries after a second restart", got)
	}
}

// Guards against two processes that use the same data directory.
func TestLock(t *testing.T) {
	o := Options{Dir: t.TempDir()}
	s := open(t, o)
	if _, err := Open(o); err == nil {
		t.Fatal("the directory was opened twice")
	}
	reopen(t, s, o)
}

// onlySegment closes the store and returns the path and content of its only segment.
func onlySegment(t *testing.T, s *Store) (string, []byte) {
	t.Helper()
	s.Close()
	path := s.path(segmentName(1))
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, data
}

// Guards against a restart that fails or loses synced writes after the process ended during a
// write. The write may be cut at any byte, and its pages may have been written out of order.
func TestTornTail(t *testing.T) {
	o := Options{Dir: t.TempDir()}
	s := open(t, o)
	write(t, s, consensus.Write{Entries: entries(1, 1, 3)})
	synced := s.LogBytes()
	write(t, s, consensus.Write{Entries: entries(1, 4, 6)})
	path, data := onlySegment(t, s)
	for cut := int(synced); cut < len(data); cut++ {
		outOfOrder := bytes.Clone(data)
		clear(outOfOrder[synced:cut])
		for name, content := range map[string][]byte{"cut": data[:cut], "zeros first": outOfOrder} {
			if err := os.WriteFile(path, content, 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := Open(o)
			if err != nil {
				t.Fatalf("%s at %d: %v", name, cut, err)
			}
			if got := s.Saved().Entries; len(got) < 3 || !reflect.DeepEqual(got[:3], entries(1, 1, 3)) {
				t.Fatalf("%s at %d: read back %d entries", name, cut, len(got))
			}
			write(t, s, consensus.Write{Entries: entries(2, 4, 4)})
			s.Close()
			s = open(t, o)
			if got := s.Saved().Entries; len(got) != 4 || got[3].Term != 2 {
				t.Fatalf("%s at %d: after the next write read back %d entries", name, cut, len(got))
			}
			s.Close()
		}
	}
}

// Guards against synced entries that are silently lost or changed: damage to any byte before the
// last write must be reported.
func TestDamageBeforeTail(t *testing.T) {
	o := Options{Dir: t.TempDir()}
	s := open(t, o)
	write(t, s, consensus.Write{Entries: entries(1, 1, 3)})
	write(t, s, consensus.Write{Entries: entries(1, 4, 4)})
	synced := int(s.LogBytes())
	write(t, s, consensus.Write{Entries: entries(1, 5, 5)})
	path, data := onlySegment(t, s)
	for i := range synced {
		damaged := bytes.Clone(data)
		damaged[i] ^= 0x10
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(o)
		var want *DamagedError
		if !errors.As(err, &want) {
			t.Errorf("damaged byte %d: %v", i, err)
		}
		if err == nil {
			s.Close()
		}
	}
}

// Guards against a vote by a controller whose files are damaged: Open must report the damage, and
// the directory must get a new id after MoveDamagedData.
func TestDamagedFiles(t *testing.T) {
	for _, name := range []string{identityName, hardStateName, snapshotPrefix, segmentPrefix + "0000000000000001"} {
		t.Run(name, func(t *testing.T) {
			o := Options{Dir: t.TempDir(), SegmentBytes: 100}
			s := open(t, o)
			id := s.Identity().ID
			for i := uint64(1); i < 6; i++ {
				write(t, s, consensus.Write{HardState: &consensus.HardState{Term: i}, Entries: entries(i, i, i)})
			}
			if _, err := s.SaveSnapshot(consensus.Snapshot{Index: 2, Term: 2}, []byte("state")); err != nil {
				t.Fatal(err)
			}
			s.Close()
			paths, _ := filepath.Glob(filepath.Join(o.Dir, name+"*"))
			data, _ := os.ReadFile(paths[0])
			data[len(data)-1] ^= 1
			if err := os.WriteFile(paths[0], data, 0o600); err != nil {
				t.Fatal(err)
			}
			var damaged *DamagedError
			if _, err := Open(o); !errors.As(err, &damaged) || !strings.HasPrefix(damaged.File, name) {
				t.Fatalf("Open: %v", err)
			}
			if err := MoveDamagedData(o); err != nil {
				t.Fatal(err)
			}
			s = open(t, o)
			if s.Identity().ID == id || len(s.Saved().Entries) != 0 {
				t.Error("the directory kept its id or its entries after MoveDamagedData")
			}
		})
	}
}

// Guards against reporting success for data that may not be durable: after a failed sync, every
// write must fail, even if a later sync would succeed.
func TestFailedSync(t *testing.T) {
	for name, w := range map[string]consensus.Write{
		"entries": {Entries: entries(1, 1, 1)},
		"term":    {HardState: &consensus.HardState{Term: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			files := &faultyFileSystem{}
			s := open(t, Options{Dir: t.TempDir(), FileSystem: files})
			files.failSync = true
			if _, err := s.Write(w); !errors.Is(err, errSync) {
				t.Fatalf("Write: %v", err)
			}
			files.failSync = false
			if _, err := s.Write(w); !errors.Is(err, errSync) {
				t.Errorf("Write after a failed sync: %v", err)
			}
			if _, err := s.SaveSnapshot(consensus.Snapshot{Index: 1}, nil); !errors.Is(err, errSync) {
				t.Errorf("SaveSnapshot after a failed sync: %v", err)
			}
		})
	}
	files := &faultyFileSystem{}
	s := open(t, Options{Dir: t.TempDir(), FileSystem: files})
	files.failSyncDir = true
	if _, err := s.SaveSnapshot(consensus.Snapshot{Index: 1}, nil); !errors.Is(err, errSync) {
		t.Errorf("SaveSnapshot with a failed sync of the directory: %v", err)
	}
}

// Guards against installing a damaged snapshot, and against a restart that combines entries of
// the replaced log with the installed snapshot.
func TestInstallSnapshot(t *testing.T) {
	o := Options{Dir: t.TempDir()}
	source := open(t, Options{Dir: t.TempDir()})
	state := bytes.Repeat([]byte("state "), 100)
	write(t, source, consensus.Write{Entries: entries(3, 1, 10)})
	snapshot, err := source.SaveSnapshot(consensus.Snapshot{Index: 10, Term: 3}, state)
	if err != nil {
		t.Fatal(err)
	}
	s := open(t, o)
	write(t, s, consensus.Write{Entries: entries(1, 1, 15)})
	send := func(damage bool) (valid bool) {
		for offset := uint64(0); offset < snapshot.Size; offset += 100 {
			data, err := source.ReadChunk(snapshot, offset, 100)
			if err != nil {
				t.Fatal(err)
			}
			if damage && offset == 200 {
				data[0] ^= 1
			}
			if valid, err = s.Write(consensus.Write{Chunk: &consensus.Chunk{Snapshot: snapshot, Offset: offset, Data: data}}); err != nil {
				t.Fatal(err)
			}
		}
		return valid
	}
	if send(true) {
		t.Error("a damaged snapshot was accepted")
	}
	if !send(false) {
		t.Fatal("a complete snapshot was refused")
	}
	write(t, s, consensus.Write{InstallSnapshot: &snapshot, Entries: entries(3, 11, 12)})
	s = reopen(t, s, o)
	got, data, err := s.LoadSnapshot()
	if err != nil || got.Index != 10 || !bytes.Equal(data, state) {
		t.Errorf("snapshot %+v, %d bytes, %v", got, len(data), err)
	}
	if saved := s.Saved(); !reflect.DeepEqual(saved.Entries, entries(3, 11, 12)) {
		t.Errorf("read back %+v", saved.Entries)
	}
}

// Guards against a compaction that leaves a gap in the log, or that does not shrink it.
func TestCompact(t *testing.T) {
	o := Options{Dir: t.TempDir(), SegmentBytes: 200}
	s := open(t, o)
	for i := uint64(1); i <= 50; i++ {
		write(t, s, consensus.Write{Entries: entries(1, i, i)})
	}
	if _, err := s.SaveSnapshot(consensus.Snapshot{Index: 40, Term: 1}, []byte("state")); err != nil {
		t.Fatal(err)
	}
	before := s.LogBytes()
	if err := s.Compact(40); err != nil {
		t.Fatal(err)
	}
	if s.LogBytes() >= before/2 {
		t.Errorf("the log has %d bytes after compaction, %d before", s.LogBytes(), before)
	}
	s = reopen(t, s, o)
	saved := s.Saved()
	if first, last := saved.Entries[0].Index, saved.Entries[len(saved.Entries)-1].Index; first > 41 || last != 50 {
		t.Errorf("read back entries %d to %d", first, last)
	}
}
