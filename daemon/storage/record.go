package storage

import (
	"encoding/binary"
	"hash/crc32"

	"samphirepaddle.example/core/consensus"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordType is the kind of a log record.
type recordType uint8

const (
	recordEntry recordType = 1
	recordReset recordType = 2 // a snapshot that ends at this index and term replaced the log
)

const (
	recordMagic      = 0x53504c52
	recordHeaderSize = 40 // size of the fields before the data, in bytes
	// maxRecordData is the maximum size of the data, in bytes. It bounds the allocation that a
	// damaged length field can cause.
	maxRecordData   = 16 << 20
	flagLastOfWrite = 1 // set on the last record of a write
)

// record is one record of a log segment:
//
//	0 magic u32 | 4 CRC-32C of the rest u32 | 8 length of data u32 | 12 type, entry kind,
//	flags, zero | 16 write u64 | 24 index u64 | 32 term u64 | 40 data
//
// All records of one write are synced together and have the same write number. The numbers of
// successive writes are consecutive, so that the reader can distinguish an incomplete last
// write from damage to an earlier one.
type record struct {
	kind        recordType
	lastOfWrite bool
	write       uint64          // write number
	entry       consensus.Entry // with recordReset, only Index and Term
}

// appendRecord appends the encoded record to buf.
func appendRecord(buf []byte, r record) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, recordHeaderSize)...)
	buf = append(buf, r.entry.Data...)
	b := buf[start:]
	binary.LittleEndian.PutUint32(b, recordMagic)
	binary.LittleEndian.PutUint32(b[8:], uint32(len(r.entry.Data)))
	b[12] = byte(r.kind)
	b[13] = byte(r.entry.Kind)
	if r.lastOfWrite {
		b[14] = flagLastOfWrite
	}
	binary.LittleEndian.PutUint64(b[16:], r.write)
	binary.LittleEndian.PutUint64(b[24:], r.entry.Index)
	binary.LittleEndian.PutUint64(b[32:], r.entry.Term)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	return buf
}

// parseRecord decodes the record at the start of b and returns its encoded size; ok is false if
// there is no complete and undamaged record.
func parseRecord(b []byte) (r record, size int, ok bool) {
	if len(b) < recordHeaderSize || binary.LittleEndian.Uint32(b) != recordMagic {
		return record{}, 0, false
	}
	length := int(binary.LittleEndian.Uint32(b[8:]))
	if length > maxRecordData || recordHeaderSize+length > len(b) {
		return record{}, 0, false
	}
	size = recordHeaderSize + length
	if crc32.Checksum(b[8:size], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return record{}, 0, false
	}
	r = record{
		kind:        recordType(b[12]),
		lastOfWrite: b[14]&flagLastOfWrite != 0,
		write:       binary.LittleEndian.Uint64(b[16:]),
		entry: consensus.Entry{
			Kind:  consensus.EntryKind(b[13]),
			Index: binary.LittleEndian.Uint64(b[24:]),
			Term:  binary.LittleEndian.Uint64(b[32:]),
			Data:  append([]byte(nil), b[recordHeaderSize:size]...),
		},
	}
	return r, size, true
}

// hasLaterWrite reports whether b contains, at any offset, an undamaged record with a greater
// write number.
func hasLaterWrite(b []byte, write uint64) bool {
	for i := 0; i+recordHeaderSize <= len(b); i++ {
		if binary.LittleEndian.Uint32(b[i:]) != recordMagic {
			continue
		}
		if r, _, ok := parseRecord(b[i:]); ok && r.write > write {
			return true
		}
	}
	return false
}
