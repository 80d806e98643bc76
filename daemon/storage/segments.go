package storage

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"samphirepaddle.example/core/consensus"
)

// segment is one file of the log. The log is append-only: an appended entry whose index exists
// already replaces that entry and all entries after it.
type segment struct {
	number uint64
	last   uint64 // highest entry index in the file
	size   int64  // in bytes
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%016d", segmentPrefix, number)
}

// logLoader rebuilds the log from the records of the segments.
type logLoader struct {
	entries       []consensus.Entry
	lastWrite     uint64 // number of the write of the last record; zero if there is none
	writeComplete bool   // the last record completed its write
	tail          []byte // records of the last write, if it is in the newest segment
	tailOffset    int64
}

// loadSegments reads all segments, opens the newest one for appending and returns the entries. It
// writes the last write once more: after a failed sync, the page cache may hold data that is not
// on the disk and that another sync would not store.
func (s *Store) loadSegments(names []string) ([]consensus.Entry, error) {
	l := &logLoader{writeComplete: true}
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
		return nil, s.createSegment(1)
	}
	newest := s.path(segmentName(numbers[len(numbers)-1]))
	if err := s.files.Rewrite(newest, l.tail, l.tailOffset); err != nil {
		return nil, err
	}
	s.activeFile, err = s.files.Append(newest)
	return l.entries, err
}

// segmentNumbers returns the numbers of the segments and checks that none is missing.
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

// loadSegment reads one segment. An incomplete write at the end of the newest one is removed.
func (s *Store) loadSegment(l *logLoader, number uint64, newest bool) error {
	name := segmentName(number)
	data, err := s.readFile(name)
	if err != nil {
		return err
	}
	seg := segment{number: number}
	offset, tail := 0, 0 // tail is the offset of the last write
	for offset < len(data) {
		r, size, ok := parseRecord(data[offset:])
		if !ok {
			break
		}
		if r.write != l.lastWrite {
			tail = offset
		}
		if err := l.add(r); err != nil {
			return &DamagedError{name, int64(offset), err.Error()}
		}
		seg.last = max(seg.last, r.entry.Index)
		offset += size
	}
	if offset < len(data) {
		if err := s.truncateTornWrite(l, name, data, offset, newest); err != nil {
			return err
		}
	}
	l.tail, l.tailOffset = data[tail:offset], int64(tail)
	seg.size = int64(offset)
	s.segments = append(s.segments, seg)
	return nil
}

// truncateTornWrite truncates the segment at the offset if the rest is the last write, which
// was not synced when the process ended. Otherwise it returns a DamagedError. Only the last
// write can be incomplete: each write, and each new segment, begins only after the write
// before it was synced.
func (s *Store) truncateTornWrite(l *logLoader, name string, data []byte, offset int, newest bool) error {
	tornWrite := l.lastWrite
	if l.writeComplete {
		tornWrite++
	}
	if !newest || hasLaterWrite(data[offset:], tornWrite) {
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

// add applies a record to the log.
func (l *logLoader) add(r record) error {
	if l.lastWrite != 0 {
		expected := l.lastWrite
		if l.writeComplete {
			expected++
		}
		// Complete records of a torn write are kept, and the next write has the next number.
		if r.write != expected && r.write != l.lastWrite+1 {
			return fmt.Errorf("write %d follows write %d", r.write, l.lastWrite)
		}
	}
	l.lastWrite = r.write
	l.writeComplete = r.lastOfWrite
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

// createSegment creates a segment and makes it the active one.
func (s *Store) createSegment(number uint64) error {
	f, err := s.files.Append(s.path(segmentName(number)))
	if err != nil {
		return err
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		f.Close()
		return err
	}
	if s.activeFile != nil {
		s.activeFile.Close()
	}
	s.activeFile = f
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// appendRecords appends the records to the active segment with a single write and sync. It
// first starts a new segment if the active one is full.
func (s *Store) appendRecords(records []record) error {
	if len(records) == 0 {
		return nil
	}
	current := &s.segments[len(s.segments)-1]
	if current.size >= s.segmentBytes {
		if err := s.createSegment(current.number + 1); err != nil {
			return s.fail(err)
		}
		current = &s.segments[len(s.segments)-1]
	}
	s.writeBuffer = s.writeBuffer[:0]
	for i, r := range records {
		r.write = s.nextWrite
		r.lastOfWrite = i == len(records)-1
		s.writeBuffer = appendRecord(s.writeBuffer, r)
		current.last = max(current.last, r.entry.Index)
	}
	if _, err := s.activeFile.Write(s.writeBuffer); err != nil {
		return s.fail(err)
	}
	if err := s.activeFile.Sync(); err != nil {
		return s.fail(err)
	}
	current.size += int64(len(s.writeBuffer))
	s.nextWrite++
	if cap(s.writeBuffer) > maxRetainedBuffer {
		s.writeBuffer = nil
	}
	return nil
}

// maxRetainedBuffer is the maximum size of the buffer that is reused between writes, in bytes.
const maxRetainedBuffer = 1 << 20

// Compact deletes the oldest segments that have no entries after the index.
func (s *Store) Compact(index uint64) error {
	removed := false
	for len(s.segments) > 1 && s.segments[0].last <= index {
		// The oldest segment is deleted first, so that an interruption leaves no gap.
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

// LogBytes returns the total size of the segments, in bytes. It must be called from the
// goroutine that calls Write.
func (s *Store) LogBytes() int64 {
	total := int64(0)
	for _, seg := range s.segments {
		total += seg.size
	}
	return total
}

// moveToDamaged moves a file, if it exists, to the subdirectory for damaged data.
func (s *Store) moveToDamaged(name string) error {
	err := s.files.Rename(s.path(name), s.path(filepath.Join(damagedName, name)))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.files.SyncDir(s.dir)
}
