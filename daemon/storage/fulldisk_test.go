package storage

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"reflect"
	"syscall"
	"testing"

	"samphirepaddle.example/core/consensus"
)

// writerModel writes to a Store like a controller, and records what was acknowledged.
type writerModel struct {
	t         *testing.T
	disk      *simDisk
	store     *Store
	term      uint64
	last      uint64 // last entry of the log, acknowledged or not
	hardState consensus.HardState
	entries   []consensus.Entry // acknowledged, by index-1; entries that a snapshot covers have index 0
	snapshot  consensus.Snapshot
	step      int
}

const modelSteps = 14

func newWriterModel(t *testing.T, seed uint64) *writerModel {
	return &writerModel{t: t, disk: newSimDisk(seed), term: 1}
}

func (m *writerModel) options() Options {
	return Options{Dir: "data", FileSystem: m.disk, SegmentBytes: 250}
}

func snapshotData(index uint64) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("state %d ", index)), 8)
}

// next carries out one step of the schedule.
func (m *writerModel) next() error {
	m.step++
	switch m.step % 7 {
	case 3:
		if m.last > m.snapshot.Index {
			return m.saveSnapshot()
		}
	case 5: // a new leader replaces the last entry
		m.term++
		return m.write(max(m.last, m.snapshot.Index+1), 2, true)
	case 6:
		if m.step > 7 {
			return m.installSnapshot()
		}
	}
	return m.write(m.last+1, 2, false)
}

func (m *writerModel) write(from, count uint64, newTerm bool) error {
	w := consensus.Write{Entries: entries(m.term, from, from+count-1)}
	hardState := consensus.HardState{Term: m.term, Vote: "other"}
	if newTerm {
		w.HardState = &hardState
	}
	if _, err := m.store.Write(w); err != nil {
		return err
	}
	if newTerm {
		m.hardState = hardState
	}
	m.entries = append(m.entries[:from-1], w.Entries...)
	m.last = from + count - 1
	return nil
}

func (m *writerModel) saveSnapshot() error {
	index := m.last
	saved, err := m.store.SaveSnapshot(consensus.Snapshot{Index: index, Term: m.entries[index-1].Term}, snapshotData(index))
	if err != nil {
		return err
	}
	m.snapshot = saved
	return m.store.Compact(index)
}

// installSnapshot receives a snapshot that is ahead of the log.
func (m *writerModel) installSnapshot() error {
	data := snapshotData(m.last + 5)
	snapshot := consensus.Snapshot{Index: m.last + 5, Term: m.term, Size: uint64(len(data)), CRC: crc32.Checksum(data, castagnoli)}
	half := len(data) / 2
	for _, chunk := range []consensus.Chunk{{Snapshot: snapshot, Data: data[:half]}, {Snapshot: snapshot, Offset: uint64(half), Data: data[half:]}} {
		if _, err := m.store.Write(consensus.Write{Chunk: &chunk}); err != nil {
			return err
		}
	}
	if _, err := m.store.Write(consensus.Write{InstallSnapshot: &snapshot}); err != nil {
		return err
	}
	m.snapshot, m.last = snapshot, snapshot.Index
	m.entries = append(m.entries, make([]consensus.Entry, snapshot.Index-uint64(len(m.entries)))...)
	return nil
}

// restart opens the directory until the disk has room for it, like a supervisor.
func (m *writerModel) restart() {
	m.t.Helper()
	if m.store != nil {
		m.store.Close()
	}
	for range m.disk.fullTo + 1 {
		var err error
		if m.store, err = Open(m.options()); err == nil {
			m.adopt()
			return
		}
		if !errors.Is(err, syscall.ENOSPC) {
			m.t.Fatalf("start: %v", err)
		}
	}
	m.t.Fatal("the directory could not be opened after the disk had room again")
}

// adopt checks that the Store holds all that was acknowledged. A controller treats all that a
// Store holds after its start as durable, so it counts as acknowledged from now on.
func (m *writerModel) adopt() {
	m.t.Helper()
	saved := m.store.Saved()
	if saved.HardState.Term < m.hardState.Term || saved.HardState.Term == m.hardState.Term && saved.HardState != m.hardState {
		m.t.Fatalf("term and vote are %+v, acknowledged was %+v", saved.HardState, m.hardState)
	}
	if saved.Snapshot.Index < m.snapshot.Index {
		m.t.Fatalf("snapshot %d is lost, read back %d", m.snapshot.Index, saved.Snapshot.Index)
	}
	held := map[uint64]consensus.Entry{}
	last := saved.Snapshot.Index
	for _, e := range saved.Entries {
		held[e.Index] = e
		last = e.Index
	}
	for i, e := range m.entries {
		index := uint64(i + 1)
		if e.Index == 0 || index <= saved.Snapshot.Index {
			continue
		}
		if got, ok := held[index]; !ok || got.Term < e.Term || got.Term == e.Term && !reflect.DeepEqual(got, e) {
			m.t.Fatalf("acknowledged entry %d of term %d is lost, read back %+v", index, e.Term, got)
		}
	}
	if _, data, err := m.store.LoadSnapshot(); err != nil || saved.Snapshot.Index > 0 && !bytes.Equal(data, snapshotData(saved.Snapshot.Index)) {
		m.t.Fatalf("snapshot %d: %v", saved.Snapshot.Index, err)
	}
	m.hardState, m.snapshot, m.last = saved.HardState, saved.Snapshot, last
	m.term = max(m.term, saved.HardState.Term)
	m.entries = make([]consensus.Entry, last)
	for index, e := range held {
		m.entries[index-1] = e
	}
}

// run carries out the schedule. After each refused operation it calls recover, which must restart
// the Store.
func (m *writerModel) run(recover func()) {
	m.t.Helper()
	m.restart()
	for m.step < modelSteps {
		err := m.next()
		if err == nil {
			continue
		}
		if !errors.Is(err, syscall.ENOSPC) {
			m.t.Fatalf("step %d: %v", m.step, err)
		}
		recover()
	}
	m.restart()
}

// countOperations returns the number of operations of a run on a disk with room.
func countOperations(t *testing.T) int {
	m := newWriterModel(t, 1)
	m.run(m.restart)
	return m.disk.operations
}

// forEachFullDisk runs the schedule with a disk that is full from each operation on, for
// different numbers of operations and kinds of refusal.
func forEachFullDisk(t *testing.T, run func(m *writerModel)) {
	operations := countOperations(t)
	for _, refuse := range []refusal{refuseData, refusePartData, refuseSync, refuseAll, refuseSyncAndForget, refuseRoom} {
		t.Run(refuse.String(), func(t *testing.T) {
			for from := 1; from <= operations; from++ {
				for _, length := range []int{1, 2, 5, 20} {
					ok := t.Run(fmt.Sprintf("full from %d for %d", from, length), func(t *testing.T) {
						m := newWriterModel(t, uint64(from))
						m.disk.refuse, m.disk.fullFrom, m.disk.fullTo = refuse, from, from+length-1
						m.disk.room = []int{0, 20, 60, 200}[from%4]
						run(m)
						m.store.Close()
						if m.disk.open != 0 {
							t.Errorf("%d files were not closed", m.disk.open)
						}
					})
					if !ok {
						return // the first failure of each kind is enough
					}
				}
			}
		})
	}
}

// Guards against a controller that cannot start, that loses what it acknowledged, or that writes
// no more after its disk was full at any write, sync, rename or start and has room again.
func TestDiskFullAtEachOperation(t *testing.T) {
	forEachFullDisk(t, func(m *writerModel) { m.run(m.restart) })
}

// Guards against a controller that counts as durable what an earlier process wrote and could not
// sync: after a restart and a loss of power, a vote or an entry that it acknowledged is lost.
func TestDataReadAtTheStartSurvivesALossOfPower(t *testing.T) {
	for _, keepNothing := range []bool{true, false} {
		t.Run(fmt.Sprintf("keep nothing %v", keepNothing), func(t *testing.T) {
			forEachFullDisk(t, func(m *writerModel) {
				m.run(func() {
					m.restart()
					m.disk.losePower(keepNothing)
					m.restart()
				})
			})
		})
	}
}

// Guards against a controller that loses what it acknowledged, or that reports damage, after a
// loss of power while its disk is full.
func TestLossOfPowerWhileTheDiskIsFull(t *testing.T) {
	for _, keepNothing := range []bool{true, false} {
		t.Run(fmt.Sprintf("keep nothing %v", keepNothing), func(t *testing.T) {
			forEachFullDisk(t, func(m *writerModel) {
				m.run(func() {
					m.disk.losePower(keepNothing)
					m.restart()
				})
			})
		})
	}
}
