package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// Record is one unit of the log. Seq is set by the log and rises by one from
// each record to the next.
type Record struct {
	Seq  uint64
	Kind uint8
	// Index is the position in the replicated log that the record holds, or
	// 0. A segment may be removed once a snapshot covers all its positions.
	Index uint64
	Data  []byte
}

// Layout of a record header, little-endian: length of the data (4 bytes),
// sequence (8), kind (1), index (8), CRC-32C of the data (4), CRC-32C of the
// header up to here (4). The header has a checksum of its own so that a
// damaged length is not taken for a record that the file is too short for.
const (
	seqAt       = 4
	kindAt      = 12
	indexAt     = 13
	dataCRCAt   = 21
	headerCRCAt = 25
	headerSize  = 29
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
	parsedBad
)

// parseRecord reads the record at the start of data. It returns the record,
// its size in bytes, and a detail if the record is bad.
func parseRecord(data []byte, seq uint64) (r Record, size int64, outcome int, detail string) {
	if len(data) < headerSize {
		return r, 0, parsedIncomplete, ""
	}
	if checksum(data[:headerCRCAt]) != binary.LittleEndian.Uint32(data[headerCRCAt:]) {
		return r, 0, parsedBad, "checksum of the record header"
	}
	r.Seq = binary.LittleEndian.Uint64(data[seqAt:])
	if r.Seq != seq {
		return r, 0, parsedBad, "record out of sequence"
	}
	length := int64(binary.LittleEndian.Uint32(data))
	size = headerSize + length
	if int64(len(data)) < size {
		return r, size, parsedIncomplete, ""
	}
	r.Kind = data[kindAt]
	r.Index = binary.LittleEndian.Uint64(data[indexAt:])
	r.Data = data[headerSize:size:size]
	if checksum(r.Data) != binary.LittleEndian.Uint32(data[dataCRCAt:]) {
		return r, size, parsedBad, "checksum of the record data"
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
