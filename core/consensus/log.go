package consensus

import (
	"fmt"
	"slices"
	"sort"
)

// memoryLog holds the log entries after the compaction point, and the indexes that track how
// far the log is written, committed and delivered.
type memoryLog struct {
	baseIndex uint64 // index of the last compacted entry
	baseTerm  uint64
	entries   []Entry
	bytes     int

	commit      uint64 // last committed entry
	stable      uint64 // last entry that is durable on this node
	nextToWrite uint64 // first entry that is in no write yet
	delivered   uint64 // last entry that was returned in Output.Committed
}

func newMemoryLog(snapshot Snapshot, entries []Entry) (*memoryLog, error) {
	l := &memoryLog{baseIndex: snapshot.Index, baseTerm: snapshot.Term}
	if len(entries) > 0 && entries[0].Index <= snapshot.Index {
		// Storage keeps some entries before the snapshot for members that are slightly
		// behind. The term of the entry before the first one is unknown, so the first one
		// becomes the base.
		l.baseIndex = entries[0].Index
		l.baseTerm = entries[0].Term
		entries = entries[1:]
	}
	for i, e := range entries {
		if e.Index != l.baseIndex+uint64(i)+1 {
			return nil, fmt.Errorf("log has entry %d where entry %d is expected", e.Index, l.baseIndex+uint64(i)+1)
		}
		l.bytes += e.size()
	}
	l.entries = slices.Clone(entries)
	if term, ok := l.term(snapshot.Index); !ok || term != snapshot.Term {
		return nil, fmt.Errorf("log does not contain entry %d of term %d, where the snapshot ends", snapshot.Index, snapshot.Term)
	}
	l.commit = snapshot.Index
	l.delivered = snapshot.Index
	l.stable = l.lastIndex()
	l.nextToWrite = l.lastIndex() + 1
	return l, nil
}

func (l *memoryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at the index, and whether that term is known.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

// matches reports whether the log has an entry with this index and term.
func (l *memoryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// slice returns the entries from..to, both included.
func (l *memoryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.baseIndex-1 : to-l.baseIndex : to-l.baseIndex]
}

// batch returns consecutive entries that begin at index from and have a total size of at most
// maxBytes. It returns at least one entry if the log has any there.
func (l *memoryLog) batch(from uint64, maxBytes int) []Entry {
	size := 0
	to := from
	for ; to <= l.lastIndex(); to++ {
		size += l.entries[to-l.baseIndex-1].size()
		if size > maxBytes && to > from {
			break
		}
	}
	return l.slice(from, to-1)
}

func (l *memoryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += e.size()
}

// truncate removes the entry at the index and all later ones.
func (l *memoryLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("consensus: cannot truncate the log from entry %d on: entries up to %d are committed", index, l.commit))
	}
	for _, e := range l.slice(index, l.lastIndex()) {
		l.bytes -= e.size()
	}
	keep := index - l.baseIndex - 1
	// The capacity is limited, so that later appends do not overwrite entries that a pending
	// write or message still refers to.
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	l.nextToWrite = min(l.nextToWrite, index)
}

// reset discards all entries; the log then begins after the snapshot.
func (l *memoryLog) reset(s Snapshot) {
	l.baseIndex = s.Index
	l.baseTerm = s.Term
	l.entries = nil
	l.bytes = 0
	l.commit = s.Index
	l.delivered = s.Index
	l.stable = s.Index
	l.nextToWrite = s.Index + 1
}

// compact discards the entries up to the index.
func (l *memoryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	for _, e := range l.slice(l.baseIndex+1, index) {
		l.bytes -= e.size()
	}
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex = index
	l.baseTerm = term
}

// compactionPoint returns the highest index such that the entries after it, up to limit,
// still hold at least keepBytes.
func (l *memoryLog) compactionPoint(limit uint64, keepBytes int) uint64 {
	kept := 0
	index := limit
	for index > l.baseIndex && kept < keepBytes {
		kept += l.entries[index-l.baseIndex-1].size()
		index--
	}
	return index
}

// lastWithTermAtMost returns the index of the last entry that is not after the given index and
// whose term is at most the given one.
func (l *memoryLog) lastWithTermAtMost(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	if index <= l.baseIndex {
		return index
	}
	// Terms never decrease along the log.
	above := sort.Search(int(index-l.baseIndex), func(i int) bool { return l.entries[i].Term > term })
	return l.baseIndex + uint64(above)
}

// upToDate reports whether a log that ends with this index and term is at least as up to
// date as this log (the voting rule of Raft).
func (l *memoryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}
