package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Record is one entry of the log. Append sets Seq, which increases by one from
// each record to the next.
type Record struct {
	Seq  uint64
	Kind uint8
	// Index is the index of the replicated log entry that the record holds,
	// or 0 for other records. A segment may be removed once a snapshot covers
	// all its entries.
	Index uint64
	Data  []byte
}

// Layout of a record header, little-endian: length of the data (4 bytes),
// sequence (8), kind (1), index (8), CRC-32C of the data (4), CRC-32C of the
// header up to here (4). The header has its own checksum, because otherwise a
// damaged length in it could make a complete record look like a torn write.
const (
	seqOffset       = 4
	kindOffset      = 12
	indexOffset     = 13
	dataCRCOffset   = 21
	headerCRCOffset = 25
	headerSize      = 29
)

// Layout of a segment header: magic (8 bytes), first sequence (8), CRC-32C.
const (
	segmentMagic      = "LVSWAL1\n"
	segmentHeaderSize = 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

func appendRecord(buffer []byte, r Record) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(r.Data)))
	buffer = binary.LittleEndian.AppendUint64(buffer, r.Seq)
	buffer = append(buffer, r.Kind)
	buffer = binary.LittleEndian.AppendUint64(buffer, r.Index)
	buffer = binary.LittleEndian.AppendUint32(buffer, checksum(r.Data))
	buffer = binary.LittleEndian.AppendUint32(buffer, checksum(buffer[start:]))
	return append(buffer, r.Data...)
}

// Outcomes of parseRecord.
const (
	parsedOK = iota
	parsedIncomplete
	parsedDamaged
)

// parseRecord reads the record at the start of data, which must have the given
// sequence number. It returns the record, its size in bytes, and a detail for
// *Damaged if the outcome is parsedDamaged.
func parseRecord(data []byte, seq uint64) (r Record, size int64, outcome int, detail string) {
	if len(data) < headerSize {
		return r, 0, parsedIncomplete, ""
	}
	if checksum(data[:headerCRCOffset]) != binary.LittleEndian.Uint32(data[headerCRCOffset:]) {
		return r, 0, parsedDamaged, "record header checksum mismatch"
	}
	r.Seq = binary.LittleEndian.Uint64(data[seqOffset:])
	if r.Seq != seq {
		return r, 0, parsedDamaged, fmt.Sprintf("record has sequence number %d, expected %d", r.Seq, seq)
	}
	length := int64(binary.LittleEndian.Uint32(data))
	size = headerSize + length
	if int64(len(data)) < size {
		return r, size, parsedIncomplete, ""
	}
	r.Kind = data[kindOffset]
	r.Index = binary.LittleEndian.Uint64(data[indexOffset:])
	r.Data = data[headerSize:size:size]
	if checksum(r.Data) != binary.LittleEndian.Uint32(data[dataCRCOffset:]) {
		return r, size, parsedDamaged, "record data checksum mismatch"
	}
	return r, size, parsedOK, ""
}

func segmentHeader(firstSeq uint64) []byte {
	header := []byte(segmentMagic)
	header = binary.LittleEndian.AppendUint64(header, firstSeq)
	return binary.LittleEndian.AppendUint32(header, checksum(header))
}

func validSegmentHeader(data []byte, firstSeq uint64) bool {
	return string(data[:segmentHeaderSize]) == string(segmentHeader(firstSeq))
}
