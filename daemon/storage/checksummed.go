package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"samphirepaddle.example/core/model"
)

// DamagedError reports that durable data cannot be read back. A controller must not vote with
// this directory, because it may lack votes or acknowledged entries.
type DamagedError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the offset and the reason.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("data directory is damaged: %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

const checksummedHeaderSize = 12 // magic u32, length of the payload u32, CRC-32C of the payload u32
const checksummedMagic = 0x53505345

// writeChecksummed encodes v with a checksum and atomically and durably replaces the file.
func (s *Store) writeChecksummed(name string, v any) error {
	payload, err := model.Encode(v)
	if err != nil {
		return err
	}
	data := make([]byte, checksummedHeaderSize, checksummedHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(data, checksummedMagic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(data[8:], crc32.Checksum(payload, castagnoli))
	data = append(data, payload...)
	tempName := name + tempSuffix
	f, err := s.files.Create(s.path(tempName))
	if err != nil {
		return err
	}
	if err := writeAndClose(f, data); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return s.renameDurably(tempName, name)
}

// renameDurably renames a synced temporary file to its final name and syncs the directory.
func (s *Store) renameDurably(tempName, name string) error {
	if err := s.files.Rename(s.path(tempName), s.path(name)); err != nil {
		return err
	}
	return s.files.SyncDir(s.dir)
}

// writeAndClose writes the data, syncs the file and closes it.
func writeAndClose(f File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// readChecksummed decodes a file that writeChecksummed wrote into v; ok is false if the file
// does not exist.
func (s *Store) readChecksummed(name string, v any) (ok bool, err error) {
	data, err := s.readFile(name)
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	valid := len(data) >= checksummedHeaderSize && binary.LittleEndian.Uint32(data) == checksummedMagic &&
		int(binary.LittleEndian.Uint32(data[4:])) == len(data)-checksummedHeaderSize &&
		crc32.Checksum(data[checksummedHeaderSize:], castagnoli) == binary.LittleEndian.Uint32(data[8:])
	if !valid {
		return false, &DamagedError{name, 0, "the checksum does not match"}
	}
	if err := model.Decode(data[checksummedHeaderSize:], v); err != nil {
		return false, &DamagedError{name, checksummedHeaderSize, err.Error()}
	}
	return true, nil
}

func (s *Store) readFile(name string) ([]byte, error) {
	f, err := s.files.Open(s.path(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if size == 0 {
		return data, nil
	}
	_, err = f.ReadAt(data, 0)
	return data, err
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }
