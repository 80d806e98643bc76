package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"samphirepaddle.example/core/consensus"
)

// segment is one file of the log. The log is only appended to; an entry whose index exists
// already replaces that entry and everything after it.
type segment struct {
	number uint64
	last   uint64 // greatest entry index in the file
	size   int64
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016d", segmentPrefix, number)
}

// loader collects the log while the segments are read.
type loader struct {
	entries   []consensus.Entry
	lastWrite uint64
	writeEnds bool
}

func (s *Store) loadSegments(names []string) ([]consensus.Entry, error) {
	l := &loader{writeEnds: true}
	numbers, err := segmentNumbers(names)
	if err != nil {
		return nil, err
	}
	for i, number := range numbers {
		if err := s.loadSegment(l, number, i == len(numbers)-1); err != nil {
			return nil, err
		}
	}
	s.nextWrite = l.lastWrite + 1
	if len(numbers) == 0 {
		return nil, s.beginSegment(1)
	}
	s.active, err = s.files.Append(s.path(segmentName(numbers[len(numbers)-1])))
	return l.entries, err
}

func segmentNumbers(names []string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		number, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("data directory contains an unexpected file %q", name)
		}
		if len(numbers) > 0 && number != numbers[len(numbers)-1]+1 {
			return nil, &DamagedError{segmentName(number - 1), 0, "the segment is missing"}
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func (s *Store) loadSegment(l *loader, number uint64, newest bool) error {
	name := segmentName(number)
	data, err := s.readFile(name)
	if err != nil {
		return err
	}
	seg := segment{number: number}
	offset := 0
	for offset < len(data) {
		r, size, ok := parseRecord(data[offset:])
		if !ok {
			break
		}
		if err := l.take(r); err != nil {
			return &DamagedError{name, int64(offset), err.Error()}
		}
		seg.last = max(seg.last, r.entry.Index)
		offset += size
	}
	if offset < len(data) {
		if err := s.checkTorn(l, name, data, offset, newest); err != nil {
			return err
		}
	}
	seg.size = int64(offset)
	s.segments = append(s.segments, seg)
	return nil
}

// checkTorn truncates the rest of the newest segment if it can only be the last write,
// which was not synced when the process ended. A segment is left only after its last write
// was synced, and a write begins only after the one before it was synced.
func (s *Store) checkTorn(l *loader, name string, data []byte, offset int, newest bool) error {
	broken := l.lastWrite
	if l.writeEnds {
		broken++
	}
	if !newest || laterWrite(data[offset:], broken) {
		return &DamagedError{name, int64(offset), "a record before the last write cannot be read"}
	}
	f, err := s.files.Append(s.path(name))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(int64(offset)); err != nil {
		return err
	}
	return f.Sync()
}

// take adds a record to the log.
func (l *loader) take(r record) error {
	if l.lastWrite != 0 {
		expected := l.lastWrite
		if l.writeEnds {
			expected++
		}
		// The records of a write whose end was torn off stay; the next write has the next number.
		if r.write != expected && r.write != l.lastWrite+1 {
			return fmt.Errorf("write %d follows write %d", r.write, l.lastWrite)
		}
	}
	l.lastWrite = r.write
	l.writeEnds = r.writeEnds
	if r.kind == recordReset {
		l.entries = nil
		return nil
	}
	if len(l.entries) == 0 {
		l.entries = append(l.entries, r.entry)
		return nil
	}
	first := l.entries[0].Index
	last := l.entries[len(l.entries)-1].Index
	switch {
	case r.entry.Index > last+1:
		return fmt.Errorf("entry %d follows entry %d", r.entry.Index, last)
	case r.entry.Index < first:
		l.entries = l.entries[:0]
	default:
		l.entries = l.entries[:r.entry.Index-first]
	}
	l.entries = append(l.entries, r.entry)
	return nil
}

func (s *Store) beginSegment(number uint64) error {
	f, err := s.files.Append(s.path(segmentName(number)))
	if err != nil {
		return err
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		f.Close()
		return err
	}
	if s.active != nil {
		s.active.Close()
	}
	s.active = f
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// appendRecords writes the records with one write and one sync.
func (s *Store) appendRecords(records []record) error {
	if len(records) == 0 {
		return nil
	}
	current := &s.segments[len(s.segments)-1]
	if current.size >= s.segmentBytes {
		if err := s.beginSegment(current.number + 1); err != nil {
			return s.fail(err)
		}
		current = &s.segments[len(s.segments)-1]
	}
	s.buffer = s.buffer[:0]
	for i, r := range records {
		r.write = s.nextWrite
		r.writeEnds = i == len(records)-1
		s.buffer = appendRecord(s.buffer, r)
		current.last = max(current.last, r.entry.Index)
	}
	if _, err := s.active.Write(s.buffer); err != nil {
		return s.fail(err)
	}
	if err := s.active.Sync(); err != nil {
		return s.fail(err)
	}
	current.size += int64(len(s.buffer))
	s.nextWrite++
	if cap(s.buffer) > maxKeptBuffer {
		s.buffer = nil
	}
	return nil
}

// maxKeptBuffer bounds the write buffer that is kept between writes, in bytes.
const maxKeptBuffer = 1 << 20

// Compact deletes the oldest segments whose entries are all at or before the index.
func (s *Store) Compact(index uint64) error {
	removed := false
	for len(s.segments) > 1 && s.segments[0].last <= index {
		// The oldest goes first, so that an interruption leaves no gap.
		if err := s.files.RemoveAll(s.path(segmentName(s.segments[0].number))); err != nil {
			return s.fail(err)
		}
		s.segments = s.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return s.fail(err)
	}
	return nil
}

// LogBytes returns the size of the segments; called from the goroutine of Write.
func (s *Store) LogBytes() int64 {
	total := int64(0)
	for _, seg := range s.segments {
		total += seg.size
	}
	return total
}

func (s *Store) setAside(name string) error {
	err := s.files.Rename(s.path(name), s.path(filepath.Join(damagedName, name)))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.files.SyncDir(s.dir)
}
