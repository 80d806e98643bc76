// Package storage manages the data directory of a controller: its identity, its Raft term and
// vote, log segments and snapshots. An operation reports success only after the files and
// directories are synced. After a failed write or sync, a Store refuses all further writes,
// because the state of the page cache is then unknown; the process must end.
package storage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/founding"
)

// File names in the data directory.
const (
	lockName       = "lock"
	identityName   = "identity"
	hardStateName  = "term-and-vote"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	receiveName    = "receive" + tempSuffix
	tempSuffix     = ".tmp"
	damagedName    = "damaged"
)

// DefaultSegmentBytes is the size of a log segment, in bytes, after which a new one is started.
const DefaultSegmentBytes = 4 << 20

// Identity identifies the data directory and the Raft group that it belongs to.
type Identity struct {
	ID             consensus.MemberID   `json:"id"`
	Group          string               `json:"group"`              // empty until the directory belongs to a group
	InitialMembers consensus.Membership `json:"founding"`           // initial membership of the group; empty if not known
	Creators       string               `json:"creators,omitempty"` // Options.Creators when the directory was created; empty once it belongs to a group
	Vote           founding.Vote        `json:"vote,omitzero"`      // which group to create; zero once the directory belongs to one
}

// Store is an open data directory. Write and Compact must be called from the same goroutine;
// SaveSnapshot and ReadChunk may be called concurrently with them.
type Store struct {
	dir          string
	files        FileSystem
	lock         io.Closer
	segmentBytes int64
	creators     string // Options.Creators

	saved consensus.Saved // state that was read by Open or written by InitGroup or JoinGroup

	segments    []segment
	activeFile  File   // newest segment
	nextWrite   uint64 // number of the next write
	writeBuffer []byte
	receiveFile File // received chunks of a snapshot, nil if none

	mu           sync.Mutex // guards the fields below
	identity     Identity
	snapshot     consensus.Snapshot
	snapshotData []byte // data of snapshot as read by Open, until LoadSnapshot returns it
	failed       error  // first failed write or sync
}

// Options are the settings of a Store.
type Options struct {
	Dir          string
	FileSystem   FileSystem // file system; OS if nil
	SegmentBytes int64      // size after which a new segment is started; DefaultSegmentBytes if zero
	Creators     string     // recorded in a new directory: the controllers with which it may create a group, empty if it may not
}

// Open locks and opens the data directory, and creates it if it does not exist. It returns a
// DamagedError if durable data cannot be read back.
func Open(o Options) (*Store, error) {
	if o.FileSystem == nil {
		o.FileSystem = OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	s := &Store{dir: o.Dir, files: patientFiles{o.FileSystem, time.Sleep}, segmentBytes: o.SegmentBytes, creators: o.Creators}
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

// load reads the directory. The controller treats all that load has read as durable, but an earlier
// process may have ended before it synced its last write. load syncs that write for this reason,
// and the directory before it removes files.
func (s *Store) load() error {
	if err := s.files.SyncDir(s.dir); err != nil {
		return err
	}
	names, err := s.files.List(s.dir)
	if err != nil {
		return err
	}
	if err := s.removeTempFiles(names); err != nil {
		return err
	}
	if err := s.loadIdentity(names); err != nil {
		return err
	}
	if _, err := s.readChecksummed(hardStateName, &s.saved.HardState); err != nil {
		return err
	}
	if err := s.loadSnapshot(names); err != nil {
		return err
	}
	entries, err := s.loadSegments(names)
	if err != nil {
		return err
	}
	return s.reconcileLog(entries)
}

func (s *Store) removeTempFiles(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := s.files.RemoveAll(s.path(name)); err != nil {
				return err
			}
		}
	}
	return nil
}

// loadIdentity reads the identity, or creates one with a random id if the directory is empty.
func (s *Store) loadIdentity(names []string) error {
	ok, err := s.readChecksummed(identityName, &s.identity)
	if ok || err != nil {
		return err
	}
	for _, name := range names {
		if name == hardStateName || strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return &DamagedError{identityName, 0, "the file is missing but " + name + " exists"}
		}
	}
	var id [16]byte
	if _, err := rand.Read(id[:]); err != nil {
		return err
	}
	return s.saveIdentity(Identity{ID: consensus.MemberID(hex.EncodeToString(id[:])), Creators: s.creators})
}

func (s *Store) saveIdentity(id Identity) error {
	if err := s.writeChecksummed(identityName, id); err != nil {
		return s.fail(err)
	}
	s.mu.Lock()
	s.identity = id
	s.mu.Unlock()
	return nil
}

// reconcileLog checks that the log continues the snapshot, and resets the log if the snapshot
// replaced it.
func (s *Store) reconcileLog(entries []consensus.Entry) error {
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
	// The process ended after it stored a snapshot from the leader and before it appended the
	// reset record to the log.
	s.saved.Entries = nil
	return s.appendRecords([]record{resetRecord(snapshot)})
}

// containsEntry reports whether the contiguous entries include one with this index and term.
func containsEntry(entries []consensus.Entry, index, term uint64) bool {
	if len(entries) == 0 || index < entries[0].Index || index > entries[len(entries)-1].Index {
		return false
	}
	return entries[index-entries[0].Index].Term == term
}

// resetRecord returns the record that makes the log begin after the snapshot.
func resetRecord(snapshot consensus.Snapshot) record {
	return record{kind: recordReset, entry: consensus.Entry{Index: snapshot.Index, Term: snapshot.Term}}
}

// Identity returns the identity of the directory.
func (s *Store) Identity() Identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity
}

// Saved returns the Raft state that the directory held when it was opened or became part of a
// group.
func (s *Store) Saved() consensus.Saved { return s.saved }

// InitGroup makes the directory part of a new group with the initial members. Every initial
// member stores the same first entry, which holds the membership and counts as committed.
func (s *Store) InitGroup(group string, members consensus.Membership) error {
	data, err := consensus.EncodeMembership(members)
	if err != nil {
		return err
	}
	hardState := consensus.HardState{Term: 1}
	entries := []consensus.Entry{{Index: 1, Term: 1, Kind: consensus.EntryMembership, Data: data}}
	// The group is stored last: a directory without a group is treated as empty.
	if err := s.clear(); err != nil {
		return err
	}
	if _, err := s.Write(consensus.Write{HardState: &hardState, Entries: entries}); err != nil {
		return err
	}
	s.saved = consensus.Saved{HardState: hardState, Entries: entries}
	return s.saveIdentity(Identity{ID: s.identity.ID, Group: group, InitialMembers: members})
}

// SaveVote stores which group to create, in a directory without a group.
func (s *Store) SaveVote(vote founding.Vote) error {
	identity := s.Identity()
	identity.Vote = vote
	return s.saveIdentity(identity)
}

// JoinGroup makes the empty directory part of an existing group, which adds it as a learner.
func (s *Store) JoinGroup(group string) error {
	if err := s.clear(); err != nil {
		return err
	}
	return s.saveIdentity(Identity{ID: s.identity.ID, Group: group})
}

// clear resets the term, the vote and the log, because an interrupted InitGroup may have left data.
func (s *Store) clear() error {
	s.saved = consensus.Saved{}
	if _, err := s.Write(consensus.Write{HardState: &consensus.HardState{}}); err != nil {
		return err
	}
	return s.appendRecords([]record{resetRecord(consensus.Snapshot{})})
}

// Write makes w durable. chunkValid is false if w completes a received snapshot whose checksum
// does not match; such a snapshot must not be installed.
func (s *Store) Write(w consensus.Write) (chunkValid bool, err error) {
	if err := s.Err(); err != nil {
		return false, err
	}
	if w.HardState != nil {
		if err := s.writeChecksummed(hardStateName, *w.HardState); err != nil {
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

// Err returns the error of the first failed write or sync, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// fail records the first error, after which the Store refuses all writes, and returns it.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = fmt.Errorf("storage failed: %w", err)
	}
	return s.failed
}

// Close closes the files and releases the lock. It does not sync.
func (s *Store) Close() error {
	var errs []error
	for _, c := range []io.Closer{s.activeFile, s.receiveFile, s.lock} {
		if c != nil {
			errs = append(errs, c.Close())
		}
	}
	s.activeFile, s.receiveFile, s.lock = nil, nil, nil
	return errors.Join(errs...)
}

// MoveDamagedData moves the content of a damaged directory to a subdirectory, so that the next Open
// creates a new id. It deletes the content that an earlier call moved there.
func MoveDamagedData(o Options) error {
	if o.FileSystem == nil {
		o.FileSystem = OS{}
	}
	o.FileSystem = patientFiles{o.FileSystem, time.Sleep}
	s := &Store{dir: o.Dir, files: o.FileSystem}
	lock, err := o.FileSystem.Lock(s.path(lockName))
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := o.FileSystem.RemoveAll(s.path(damagedName)); err != nil {
		return err
	}
	if err := o.FileSystem.MkdirAll(s.path(damagedName)); err != nil {
		return err
	}
	names, err := o.FileSystem.List(o.Dir)
	if err != nil {
		return err
	}
	// The identity is moved first, so that an interruption cannot leave it with only a part of
	// the log. The next Open then finds data without an identity and reports damage again.
	if err := s.moveToDamaged(identityName); err != nil {
		return err
	}
	for _, name := range names {
		if name == lockName || name == damagedName || name == identityName {
			continue
		}
		if err := s.moveToDamaged(name); err != nil {
			return err
		}
	}
	return o.FileSystem.SyncDir(o.Dir)
}
