package storage

import (
	"encoding/binary"
	"hash/crc32"

	"samphirepaddle.example/core/consensus"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordType says what a log record holds.
type recordType uint8

const (
	recordEntry recordType = 1
	recordReset recordType = 2 // a snapshot that ends at index and term replaced the log
)

const (
	recordMagic  = 0x53504c52
	recordHeader = 40 // bytes before the data
	// maxRecordData bounds what a damaged length field can make the reader allocate.
	maxRecordData = 16 << 20
	flagWriteEnds = 1 // last record of its write
)

// record is one record of a log segment:
//
//	0 magic u32 | 4 CRC-32C of the rest u32 | 8 length of data u32 | 12 type, entry kind,
//	flags, zero | 16 write u64 | 24 index u64 | 32 term u64 | 40 data
//
// All records of one write are synced together. Their write numbers are consecutive, so the
// reader can tell an unfinished last write from damage in an earlier one.
type record struct {
	kind      recordType
	writeEnds bool
	write     uint64
	entry     consensus.Entry // only Index and Term with recordReset
}

func appendRecord(buf []byte, r record) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, recordHeader)...)
	buf = append(buf, r.entry.Data...)
	b := buf[start:]
	binary.LittleEndian.PutUint32(b, recordMagic)
	binary.LittleEndian.PutUint32(b[8:], uint32(len(r.entry.Data)))
	b[12] = byte(r.kind)
	b[13] = byte(r.entry.Kind)
	if r.writeEnds {
		b[14] = flagWriteEnds
	}
	binary.LittleEndian.PutUint64(b[16:], r.write)
	binary.LittleEndian.PutUint64(b[24:], r.entry.Index)
	binary.LittleEndian.PutUint64(b[32:], r.entry.Term)
	binary.LittleEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	return buf
}

// parseRecord reads the record at the start of b and returns its size; ok is false if
// there is no complete and undamaged record.
func parseRecord(b []byte) (r record, size int, ok bool) {
	if len(b) < recordHeader || binary.LittleEndian.Uint32(b) != recordMagic {
		return record{}, 0, false
	}
	length := int(binary.LittleEndian.Uint32(b[8:]))
	if length > maxRecordData || recordHeader+length > len(b) {
		return record{}, 0, false
	}
	size = recordHeader + length
	if crc32.Checksum(b[8:size], castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return record{}, 0, false
	}
	r = record{
		kind:      recordType(b[12]),
		writeEnds: b[14]&flagWriteEnds != 0,
		write:     binary.LittleEndian.Uint64(b[16:]),
		entry: consensus.Entry{
			Kind:  consensus.EntryKind(b[13]),
			Index: binary.LittleEndian.Uint64(b[24:]),
			Term:  binary.LittleEndian.Uint64(b[32:]),
			Data:  append([]byte(nil), b[recordHeader:size]...),
		},
	}
	return r, size, true
}

// laterWrite reports whether b contains, at any offset, an undamaged record of a write
// after the given one.
func laterWrite(b []byte, write uint64) bool {
	for i := 0; i+recordHeader <= len(b); i++ {
		if binary.LittleEndian.Uint32(b[i:]) != recordMagic {
			continue
		}
		if r, _, ok := parseRecord(b[i:]); ok && r.write > write {
			return true
		}
	}
	return false
}
