// Package storage keeps one controller's data directory: an identity, the term and vote,
// log segments and snapshots. Success is reported only after files and directories are
// synced. After a failed write or sync a Store refuses everything, because the state of the
// page cache is unknown then; the process must end.
package storage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"samphirepaddle.example/core/consensus"
)

// File names in the data directory.
const (
	lockName        = "lock"
	identityName    = "identity"
	hardName        = "term-and-vote"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	receiveName     = "receive" + temporarySuffix
	temporarySuffix = ".tmp"
	damagedName     = "damaged"
)

// DefaultSegmentBytes is the size after which a new log segment is begun.
const DefaultSegmentBytes = 4 << 20

// Identity names the data directory and the group that it belongs to.
type Identity struct {
	ID       consensus.MemberID   `json:"id"`
	Group    string               `json:"group"`    // empty until the directory belongs to a group
	Founding consensus.Membership `json:"founding"` // first membership of the group; empty if not known
}

// Store is an open data directory. Write and Compact are called from one goroutine;
// SaveSnapshot and ReadChunk may be called beside them.
type Store struct {
	dir          string
	files        Files
	lock         io.Closer
	segmentBytes int64

	saved consensus.Saved // as read at the start

	segments  []segment
	active    File
	nextWrite uint64
	buffer    []byte
	receive   File

	mu       sync.Mutex // guards the fields below
	identity Identity
	snapshot consensus.Snapshot
	loaded   []byte // data of snapshot as read at the start, until it is taken
	failed   error
}

// Options are the settings of a Store.
type Options struct {
	Dir          string
	Files        Files // OS if nil
	SegmentBytes int64 // DefaultSegmentBytes if zero
}

// Open opens or creates the data directory. It returns a DamagedError if durable data
// cannot be read back.
func Open(o Options) (*Store, error) {
	if o.Files == nil {
		o.Files = OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	s := &Store{dir: o.Dir, files: o.Files, segmentBytes: o.SegmentBytes}
	if err := s.files.MkdirAll(s.dir); err != nil {
		return nil, err
	}
	lock, err := s.files.Lock(s.path(lockName))
	if err != nil {
		return nil, err
	}
	s.lock = lock
	if err := s.load(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) load() error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return err
	}
	if err := s.removeTemporary(names); err != nil {
		return err
	}
	if err := s.loadIdentity(names); err != nil {
		return err
	}
	if _, err := s.readSealed(hardName, &s.saved.HardState); err != nil {
		return err
	}
	if err := s.loadSnapshot(names); err != nil {
		return err
	}
	entries, err := s.loadSegments(names)
	if err != nil {
		return err
	}
	return s.joinLog(entries)
}

func (s *Store) removeTemporary(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.files.RemoveAll(s.path(name)); err != nil {
				return err
			}
		}
	}
	return nil
}

// loadIdentity reads the identity, or chooses one if the directory is empty.
func (s *Store) loadIdentity(names []string) error {
	ok, err := s.readSealed(identityName, &s.identity)
	if ok || err != nil {
		return err
	}
	for _, name := range names {
		if name == hardName || strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return &DamagedError{identityName, 0, "the file is missing but " + name + " exists"}
		}
	}
	var id [16]byte
	if _, err := rand.Read(id[:]); err != nil {
		return err
	}
	return s.saveIdentity(Identity{ID: consensus.MemberID(hex.EncodeToString(id[:]))})
}

func (s *Store) saveIdentity(id Identity) error {
	if err := s.writeSealed(identityName, id); err != nil {
		return s.fail(err)
	}
	s.mu.Lock()
	s.identity = id
	s.mu.Unlock()
	return nil
}

// joinLog makes the log follow the snapshot.
func (s *Store) joinLog(entries []consensus.Entry) error {
	snapshot := s.snapshot
	s.saved.Snapshot = snapshot
	s.saved.Entries = entries
	if len(entries) == 0 && snapshot.Index == 0 {
		return nil
	}
	if len(entries) > 0 && entries[0].Index > snapshot.Index+1 {
		return &DamagedError{segmentPrefix, 0, fmt.Sprintf("the log begins with entry %d but the snapshot ends with %d", entries[0].Index, snapshot.Index)}
	}
	if containsEntry(entries, snapshot.Index, snapshot.Term) || (len(entries) > 0 && entries[0].Index == snapshot.Index+1) {
		return nil
	}
	// A snapshot of the leader was stored, and the process ended before the log recorded
	// that it begins anew there.
	s.saved.Entries = nil
	return s.appendRecords([]record{resetRecord(snapshot)})
}

func containsEntry(entries []consensus.Entry, index, term uint64) bool {
	if len(entries) == 0 || index < entries[0].Index || index > entries[len(entries)-1].Index {
		return false
	}
	return entries[index-entries[0].Index].Term == term
}

func resetRecord(snapshot consensus.Snapshot) record {
	return record{kind: recordReset, entry: consensus.Entry{Index: snapshot.Index, Term: snapshot.Term}}
}

// Identity returns the id of the directory and its group.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

// Saved returns what the directory held when it was opened or joined a group.
func (s *Store) Saved() consensus.Saved { return s.saved }

// Found makes the directory part of a group that begins with the membership. Every initial
// member stores the same first entry, which counts as committed.
func (s *Store) Found(group string, members consensus.Membership) error {
	data, err := consensus.EncodeMembership(members)
	if err != nil {
		return err
	}
	hard := consensus.HardState{Term: 1}
	entries := []consensus.Entry{{Index: 1, Term: 1, Kind: consensus.EntryMembership, Data: data}}
	// The group is recorded last: without it the directory counts as empty.
	if err := s.clear(); err != nil {
		return err
	}
	if _, err := s.Write(consensus.Write{HardState: &hard, Entries: entries}); err != nil {
		return err
	}
	s.saved = consensus.Saved{HardState: hard, Entries: entries}
	return s.saveIdentity(Identity{ID: s.identity.ID, Group: group, Founding: members})
}

// Join makes the empty directory part of a group that adds it as a learner.
func (s *Store) Join(group string) error {
	if err := s.clear(); err != nil {
		return err
	}
	return s.saveIdentity(Identity{ID: s.identity.ID, Group: group})
}

// clear removes what an interrupted Found left behind.
func (s *Store) clear() error {
	s.saved = consensus.Saved{}
	if _, err := s.Write(consensus.Write{HardState: &consensus.HardState{}}); err != nil {
		return err
	}
	return s.appendRecords([]record{resetRecord(consensus.Snapshot{})})
}

// Write makes w durable. chunkValid is false if w ended a received snapshot whose checksum
// does not match; the snapshot is then discarded.
func (s *Store) Write(w consensus.Write) (chunkValid bool, err error) {
	if err := s.Err(); err != nil {
		return false, err
	}
	if w.HardState != nil {
		if err := s.writeSealed(hardName, *w.HardState); err != nil {
			return false, s.fail(err)
		}
	}
	chunkValid = true
	if w.Chunk != nil {
		if chunkValid, err = s.writeChunk(*w.Chunk); err != nil {
			return false, s.fail(err)
		}
	}
	var records []record
	if w.InstallSnapshot != nil {
		if err := s.installReceived(*w.InstallSnapshot); err != nil {
			return false, s.fail(err)
		}
		records = append(records, resetRecord(*w.InstallSnapshot))
	}
	for _, e := range w.Entries {
		records = append(records, record{kind: recordEntry, entry: e})
	}
	return chunkValid, s.appendRecords(records)
}

// Err returns the first failed write or sync.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = fmt.Errorf("storage failed: %w", err)
	}
	return s.failed
}

// Close closes the files and gives up the lock; it syncs nothing.
func (s *Store) Close() error {
	var errs []error
	for _, c := range []io.Closer{s.active, s.receive, s.lock} {
		if c != nil {
			errs = append(errs, c.Close())
		}
	}
	s.active, s.receive, s.lock = nil, nil, nil
	return errors.Join(errs...)
}

// SetAside moves the content of a damaged directory into a subdirectory, so that the next
// Open begins with a new id. The content that was set aside before is removed.
func SetAside(o Options) error {
	if o.Files == nil {
		o.Files = OS{}
	}
	s := &Store{dir: o.Dir, files: o.Files}
	lock, err := o.Files.Lock(s.path(lockName))
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := o.Files.RemoveAll(s.path(damagedName)); err != nil {
		return err
	}
	if err := o.Files.MkdirAll(s.path(damagedName)); err != nil {
		return err
	}
	names, err := o.Files.List(o.Dir)
	if err != nil {
		return err
	}
	// The identity goes first, so that an interruption does not leave it with a part of the
	// log: the next Open finds data without an identity and reports damage again.
	if err := s.setAside(identityName); err != nil {
		return err
	}
	for _, name := range names {
		if name == lockName || name == damagedName || name == identityName {
			continue
		}
		if err := s.setAside(name); err != nil {
			return err
		}
	}
	return o.Files.SyncDir(o.Dir)
}
