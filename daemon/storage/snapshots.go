package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"strings"

	"samphirepaddle.example/core/consensus"
	"samphirepaddle.example/core/model"
)

// A snapshot file is: magic u32, length of the description u32, CRC-32C of the description
// u32, the description (CBOR consensus.Snapshot, with the size and CRC-32C of the data), the
// data.
const (
	snapshotMagic  = 0x53505348
	snapshotHeader = 12
	// maxDescription bounds what a damaged length field can make the reader allocate, in bytes.
	maxDescription = 1 << 20
)

func snapshotName(s consensus.Snapshot) string {
	return fmt.Sprintf("%s%020d-%020d", snapshotPrefix, s.Index, s.Term)
}

func snapshotPreamble(s consensus.Snapshot) ([]byte, error) {
	description, err := model.Encode(s)
	if err != nil {
		return nil, err
	}
	data := make([]byte, snapshotHeader, snapshotHeader+len(description))
	binary.LittleEndian.PutUint32(data, snapshotMagic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(description)))
	binary.LittleEndian.PutUint32(data[8:], crc32.Checksum(description, castagnoli))
	return append(data, description...), nil
}

// SaveSnapshot stores the state after entry s.Index and returns s with its size and
// checksum. It may be called beside Write.
func (s *Store) SaveSnapshot(snapshot consensus.Snapshot, data []byte) (consensus.Snapshot, error) {
	if err := s.Err(); err != nil {
		return snapshot, err
	}
	snapshot.Size = uint64(len(data))
	snapshot.CRC = crc32.Checksum(data, castagnoli)
	preamble, err := snapshotPreamble(snapshot)
	if err != nil {
		return snapshot, err
	}
	temporary := snapshotName(snapshot) + temporarySuffix
	f, err := s.files.Create(s.path(temporary))
	if err != nil {
		return snapshot, s.fail(err)
	}
	if _, err := f.Write(preamble); err != nil {
		f.Close()
		return snapshot, s.fail(err)
	}
	if err := writeAndClose(f, data); err != nil {
		return snapshot, s.fail(err)
	}
	if err := s.publish(temporary, snapshotName(snapshot)); err != nil {
		return snapshot, s.fail(err)
	}
	return snapshot, s.adoptSnapshot(snapshot)
}

// adoptSnapshot makes the snapshot the present one if it is newer, and removes the other.
func (s *Store) adoptSnapshot(snapshot consensus.Snapshot) error {
	s.mu.Lock()
	old := s.snapshot
	if snapshot.Index > old.Index {
		s.snapshot = snapshot
		s.loaded = nil
	} else {
		old = snapshot
	}
	s.mu.Unlock()
	if old.Index == 0 || old.Index == snapshot.Index && old.Term == s.Snapshot().Term {
		return nil
	}
	if err := s.files.RemoveAll(s.path(snapshotName(old))); err != nil {
		return s.fail(err)
	}
	return nil
}

// Snapshot returns the description of the newest snapshot; Index is zero if there is none.
func (s *Store) Snapshot() consensus.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// loadSnapshot finds the newest snapshot, tests its checksum and removes older ones.
func (s *Store) loadSnapshot(names []string) error {
	newest := ""
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if newest != "" {
			if err := s.files.RemoveAll(s.path(newest)); err != nil {
				return err
			}
		}
		newest = name // names are sorted
	}
	if newest == "" {
		return nil
	}
	snapshot, data, err := s.readSnapshot(newest)
	if err != nil {
		return err
	}
	s.snapshot = snapshot
	s.loaded = data
	return nil
}

// LoadSnapshot returns the data of the newest snapshot, or nil if there is none.
func (s *Store) LoadSnapshot() (consensus.Snapshot, []byte, error) {
	s.mu.Lock()
	snapshot, data := s.snapshot, s.loaded
	s.loaded = nil
	s.mu.Unlock()
	if snapshot.Index == 0 || data != nil {
		return snapshot, data, nil
	}
	return s.readSnapshot(snapshotName(snapshot))
}

func (s *Store) readSnapshot(name string) (consensus.Snapshot, []byte, error) {
	data, err := s.readFile(name)
	if err != nil {
		return consensus.Snapshot{}, nil, err
	}
	snapshot, start, err := parsePreamble(name, data)
	if err != nil {
		return snapshot, nil, err
	}
	data = data[start:]
	if uint64(len(data)) != snapshot.Size || crc32.Checksum(data, castagnoli) != snapshot.CRC {
		return snapshot, nil, &DamagedError{name, int64(start), "the checksum of the data does not match"}
	}
	return snapshot, data, nil
}

func parsePreamble(name string, data []byte) (snapshot consensus.Snapshot, start int, err error) {
	if len(data) < snapshotHeader || binary.LittleEndian.Uint32(data) != snapshotMagic {
		return snapshot, 0, &DamagedError{name, 0, "the header cannot be read"}
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	start = snapshotHeader + length
	if length > maxDescription || start > len(data) ||
		crc32.Checksum(data[snapshotHeader:start], castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return snapshot, 0, &DamagedError{name, snapshotHeader, "the checksum of the description does not match"}
	}
	if err := model.Decode(data[snapshotHeader:start], &snapshot); err != nil {
		return snapshot, 0, &DamagedError{name, snapshotHeader, err.Error()}
	}
	return snapshot, start, nil
}

// ReadChunk returns up to length bytes of the snapshot's data. It fails if the snapshot is
// no longer the newest one.
func (s *Store) ReadChunk(snapshot consensus.Snapshot, offset, length uint64) ([]byte, error) {
	preamble, err := snapshotPreamble(snapshot)
	if err != nil {
		return nil, err
	}
	f, err := s.files.Open(s.path(snapshotName(snapshot)))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data := make([]byte, min(length, snapshot.Size-min(offset, snapshot.Size)))
	if len(data) == 0 {
		return data, nil
	}
	_, err = f.ReadAt(data, int64(len(preamble))+int64(offset))
	return data, err
}

// writeChunk stores a received part. With the last part it syncs the file and tests the
// checksum of the whole snapshot.
func (s *Store) writeChunk(c consensus.Chunk) (valid bool, err error) {
	if c.Offset == 0 {
		if err := s.beginReceive(c.Snapshot); err != nil {
			return false, err
		}
	}
	if s.receive == nil {
		return false, nil
	}
	if _, err := s.receive.Write(c.Data); err != nil {
		return false, err
	}
	if !c.Last() {
		return true, nil
	}
	if err := s.receive.Sync(); err != nil {
		return false, err
	}
	return s.receivedValid(c.Snapshot)
}

func (s *Store) beginReceive(snapshot consensus.Snapshot) error {
	if s.receive != nil {
		s.receive.Close()
	}
	preamble, err := snapshotPreamble(snapshot)
	if err != nil {
		return err
	}
	if s.receive, err = s.files.Create(s.path(receiveName)); err != nil {
		return err
	}
	_, err = s.receive.Write(preamble)
	return err
}

func (s *Store) receivedValid(snapshot consensus.Snapshot) (bool, error) {
	preamble, err := snapshotPreamble(snapshot)
	if err != nil {
		return false, err
	}
	sum := crc32.New(castagnoli)
	section := io.NewSectionReader(s.receive, int64(len(preamble)), int64(snapshot.Size))
	n, err := io.Copy(sum, section)
	if err != nil {
		return false, err
	}
	return uint64(n) == snapshot.Size && sum.Sum32() == snapshot.CRC, nil
}

// installReceived gives the received snapshot its final name.
func (s *Store) installReceived(snapshot consensus.Snapshot) error {
	if s.receive == nil {
		return fmt.Errorf("no snapshot was received that could be installed")
	}
	s.receive.Close()
	s.receive = nil
	if err := s.publish(receiveName, snapshotName(snapshot)); err != nil {
		return err
	}
	return s.adoptSnapshot(snapshot)
}
