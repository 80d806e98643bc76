package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"samphirepaddle.example/core/model"
)

// DamagedError says that durable data cannot be read back. The directory must not be used
// to vote, because votes or acknowledged entries may be missing from it.
type DamagedError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the offset and the reason.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("data directory is damaged: %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

const sealedHeader = 12 // magic, length, CRC-32C
const sealedMagic = 0x53505345

// writeSealed replaces a small file atomically and durably.
func (s *Store) writeSealed(name string, v any) error {
	payload, err := model.Encode(v)
	if err != nil {
		return err
	}
	data := make([]byte, sealedHeader, sealedHeader+len(payload))
	binary.LittleEndian.PutUint32(data, sealedMagic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(data[8:], crc32.Checksum(payload, castagnoli))
	data = append(data, payload...)
	temporary := name + temporarySuffix
	f, err := s.files.Create(s.path(temporary))
	if err != nil {
		return err
	}
	if err := writeAndClose(f, data); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return s.publish(temporary, name)
}

// publish gives a synced file its final name.
func (s *Store) publish(temporary, name string) error {
	if err := s.files.Rename(s.path(temporary), s.path(name)); err != nil {
		return err
	}
	return s.files.SyncDir(s.dir)
}

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

// readSealed reads a file that writeSealed wrote; ok is false if there is none.
func (s *Store) readSealed(name string, v any) (ok bool, err error) {
	data, err := s.readFile(name)
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	valid := len(data) >= sealedHeader && binary.LittleEndian.Uint32(data) == sealedMagic &&
		int(binary.LittleEndian.Uint32(data[4:])) == len(data)-sealedHeader &&
		crc32.Checksum(data[sealedHeader:], castagnoli) == binary.LittleEndian.Uint32(data[8:])
	if !valid {
		return false, &DamagedError{name, 0, "the checksum does not match"}
	}
	if err := model.Decode(data[sealedHeader:], v); err != nil {
		return false, &DamagedError{name, sealedHeader, err.Error()}
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
