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

// A snapshot file consists of: magic u32, length of the description u32, CRC-32C of the
// description u32, the description (consensus.Snapshot as CBOR, with the size and CRC-32C of
// the data), and the data.
const (
	snapshotMagic      = 0x53505348
	snapshotHeaderSize = 12
	// maxDescription is the maximum size of the description, in bytes. It bounds the allocation
	// that a damaged length field can cause.
	maxDescription = 1 << 20
)

func snapshotName(s consensus.Snapshot) string {
	return fmt.Sprintf("%s%020d-%020d", snapshotPrefix, s.Index, s.Term)
}

// snapshotPreamble returns the content of a snapshot file before the data.
func snapshotPreamble(s consensus.Snapshot) ([]byte, error) {
	description, err := model.Encode(s)
	if err != nil {
		return nil, err
	}
	data := make([]byte, snapshotHeaderSize, snapshotHeaderSize+len(description))
	binary.LittleEndian.PutUint32(data, snapshotMagic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(description)))
	binary.LittleEndian.PutUint32(data[8:], crc32.Checksum(description, castagnoli))
	return append(data, description...), nil
}

// SaveSnapshot stores data, the state after entry snapshot.Index, and returns snapshot with the
// size and checksum of data. It may be called concurrently with Write.
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
	tempName := snapshotName(snapshot) + tempSuffix
	f, err := s.files.Create(s.path(tempName))
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
	if err := s.renameDurably(tempName, snapshotName(snapshot)); err != nil {
		return snapshot, s.fail(err)
	}
	return snapshot, s.replaceSnapshot(snapshot)
}

// replaceSnapshot makes the snapshot the newest one if its index is higher, and deletes the file
// of the older one.
func (s *Store) replaceSnapshot(snapshot consensus.Snapshot) error {
	s.mu.Lock()
	old := s.snapshot
	if snapshot.Index > old.Index {
		s.snapshot = snapshot
		s.snapshotData = nil
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

// loadSnapshot finds the newest snapshot, verifies its checksums and deletes older ones.
func (s *Store) loadSnapshot(names []string) error {
	newest := ""
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, tempSuffix) {
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
	s.snapshotData = data
	return nil
}

// LoadSnapshot returns the newest snapshot and its data; Index is zero and the data is nil if
// there is none.
func (s *Store) LoadSnapshot() (consensus.Snapshot, []byte, error) {
	s.mu.Lock()
	snapshot, data := s.snapshot, s.snapshotData
	s.snapshotData = nil
	s.mu.Unlock()
	if snapshot.Index == 0 || data != nil {
		return snapshot, data, nil
	}
	return s.readSnapshot(snapshotName(snapshot))
}

// readSnapshot reads a snapshot file and verifies its checksums.
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

// parsePreamble decodes the description of a snapshot file and returns the offset of the data.
func parsePreamble(name string, data []byte) (snapshot consensus.Snapshot, start int, err error) {
	if len(data) < snapshotHeaderSize || binary.LittleEndian.Uint32(data) != snapshotMagic {
		return snapshot, 0, &DamagedError{name, 0, "the header cannot be read"}
	}
	length := int(binary.LittleEndian.Uint32(data[4:]))
	start = snapshotHeaderSize + length
	if length > maxDescription || start > len(data) ||
		crc32.Checksum(data[snapshotHeaderSize:start], castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return snapshot, 0, &DamagedError{name, snapshotHeaderSize, "the checksum of the description does not match"}
	}
	if err := model.Decode(data[snapshotHeaderSize:start], &snapshot); err != nil {
		return snapshot, 0, &DamagedError{name, snapshotHeaderSize, err.Error()}
	}
	return snapshot, start, nil
}

// ReadChunk returns up to length bytes of the data of the snapshot from the offset on. It fails
// if the file of the snapshot was deleted because a newer one exists.
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

// writeChunk stores a received chunk. After the last chunk it syncs the file and verifies the
// checksum of the whole snapshot. valid is false if that check fails, or if the first chunk of
// the snapshot is missing.
func (s *Store) writeChunk(c consensus.Chunk) (valid bool, err error) {
	if c.Offset == 0 {
		if err := s.createReceiveFile(c.Snapshot); err != nil {
			return false, err
		}
	}
	if s.receiveFile == nil {
		return false, nil
	}
	if _, err := s.receiveFile.Write(c.Data); err != nil {
		return false, err
	}
	if !c.Last() {
		return true, nil
	}
	if err := s.receiveFile.Sync(); err != nil {
		return false, err
	}
	return s.verifyReceived(c.Snapshot)
}

// createReceiveFile creates the file for a received snapshot and writes the preamble.
func (s *Store) createReceiveFile(snapshot consensus.Snapshot) error {
	if s.receiveFile != nil {
		s.receiveFile.Close()
	}
	preamble, err := snapshotPreamble(snapshot)
	if err != nil {
		return err
	}
	if s.receiveFile, err = s.files.Create(s.path(receiveName)); err != nil {
		return err
	}
	_, err = s.receiveFile.Write(preamble)
	return err
}

// verifyReceived reports whether the size and checksum of the received data match.
func (s *Store) verifyReceived(snapshot consensus.Snapshot) (bool, error) {
	preamble, err := snapshotPreamble(snapshot)
	if err != nil {
		return false, err
	}
	sum := crc32.New(castagnoli)
	section := io.NewSectionReader(s.receiveFile, int64(len(preamble)), int64(snapshot.Size))
	n, err := io.Copy(sum, section)
	if err != nil {
		return false, err
	}
	return uint64(n) == snapshot.Size && sum.Sum32() == snapshot.CRC, nil
}

// installReceived renames the file of the received snapshot to its final name and makes it the
// newest snapshot.
func (s *Store) installReceived(snapshot consensus.Snapshot) error {
	if s.receiveFile == nil {
		return fmt.Errorf("cannot install a snapshot: none was received")
	}
	s.receiveFile.Close()
	s.receiveFile = nil
	if err := s.renameDurably(receiveName, snapshotName(snapshot)); err != nil {
		return err
	}
	return s.replaceSnapshot(snapshot)
}
