package consensus

import (
	"fmt"
	"slices"
	"sort"
)

// memoryLog holds the entries after the last compaction.
type memoryLog struct {
	baseIndex uint64 // last entry that was compacted
	baseTerm  uint64
	entries   []Entry
	bytes     int

	commit  uint64
	stable  uint64 // last entry that is durable here
	unsaved uint64 // first entry that was not handed out for writing
	handed  uint64 // last entry that was handed out as committed
}

func newMemoryLog(snapshot Snapshot, entries []Entry) (*memoryLog, error) {
	l := &memoryLog{baseIndex: snapshot.Index, baseTerm: snapshot.Term}
	if len(entries) > 0 && entries[0].Index <= snapshot.Index {
		// Entries up to the snapshot are kept for members that are slightly behind. The
		// term of the entry before the first one is unknown, so the first one becomes the base.
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
	l.handed = snapshot.Index
	l.stable = l.last()
	l.unsaved = l.last() + 1
	return l, nil
}

func (l *memoryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry and whether it is known.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

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

// batch returns entries from the index on whose counted size is at most maxBytes, but at
// least one.
func (l *memoryLog) batch(from uint64, maxBytes int) []Entry {
	size := 0
	to := from
	for ; to <= l.last(); to++ {
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

// truncate removes the entries from the index on.
func (l *memoryLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("consensus: entry %d would be removed but entries to %d are committed", index, l.commit))
	}
	for _, e := range l.slice(index, l.last()) {
		l.bytes -= e.size()
	}
	keep := index - l.baseIndex - 1
	// The capacity is cut so that later appends do not overwrite entries that a write or a
	// message in progress still refers to.
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
	l.unsaved = min(l.unsaved, index)
}

// reset replaces the log by a snapshot.
func (l *memoryLog) reset(s Snapshot) {
	l.baseIndex = s.Index
	l.baseTerm = s.Term
	l.entries = nil
	l.bytes = 0
	l.commit = s.Index
	l.handed = s.Index
	l.stable = s.Index
	l.unsaved = s.Index + 1
}

// compact forgets the entries up to the index.
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

// compactionPoint returns the greatest index up to limit for which the entries after it
// up to limit still have at least keepBytes.
func (l *memoryLog) compactionPoint(limit uint64, keepBytes int) uint64 {
	kept := 0
	index := limit
	for index > l.baseIndex && kept < keepBytes {
		kept += l.entries[index-l.baseIndex-1].size()
		index--
	}
	return index
}

// lastAtMost returns the greatest index up to the given one whose term is at most term.
func (l *memoryLog) lastAtMost(index, term uint64) uint64 {
	index = min(index, l.last())
	if index <= l.baseIndex {
		return index
	}
	// Terms never decrease along the log.
	above := sort.Search(int(index-l.baseIndex), func(i int) bool { return l.entries[i].Term > term })
	return l.baseIndex + uint64(above)
}

// upToDate reports whether a log that ends with the entry is at least as complete as this one.
func (l *memoryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}
