package storer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame consists of a header and a payload. The header has three fields of four bytes,
// big-endian: the payload's length, the payload's checksum, and a checksum over these two
// fields, the generation and the frame's offset in the file. The payload is a sequence of
// records, each prefixed by its length in four bytes.
const (
	lengthSize = 4
	headerSize = 12
	// sectorSize is the number of bytes that a disk writes atomically.
	sectorSize = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports a damaged or missing file. Offset is the position of the damaged
// frame, in bytes.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns a message with the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storer: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// headerChecksum returns the checksum of a frame's header. It covers the frame's generation
// and offset too, so that a frame written for another position is detected as corrupt.
func headerChecksum(g generation, offset int64, header []byte) uint32 {
	position := binary.BigEndian.AppendUint64(nil, uint64(g))
	position = binary.BigEndian.AppendUint64(position, uint64(offset))
	return crc32.Update(crc32.Checksum(position, castagnoli), castagnoli, header)
}

func encodeFrame(g generation, offset int64, records [][]byte) []byte {
	frame := make([]byte, headerSize)
	for _, r := range records {
		frame = binary.BigEndian.AppendUint32(frame, uint32(len(r)))
		frame = append(frame, r...)
	}
	payload := frame[headerSize:]
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.BigEndian.PutUint32(frame[8:], headerChecksum(g, offset, frame[:8]))
	return frame
}

// fileContent is the content of a segment or snapshot file that is being read.
type fileContent struct {
	generation generation
	file       string
	data       []byte
}

// scan returns all records and the offset of the torn frame at the end of the file, or the
// file's length if there is none. It returns a *CorruptError for any other damage.
func (c fileContent) scan() ([][]byte, int64, error) {
	var records [][]byte
	offset := 0
	for offset < len(c.data) {
		end, reason := c.checkFrame(offset)
		switch {
		case reason == "":
			found, err := c.splitRecords(offset, end)
			if err != nil {
				return nil, 0, err
			}
			records = append(records, found...)
			offset = end
		case c.isTorn(offset, end):
			return records, int64(offset), nil
		default:
			return nil, 0, &CorruptError{c.file, int64(offset), reason}
		}
	}
	return records, int64(offset), nil
}

// checkFrame returns the end of the frame at the offset, and the reason why the frame is
// invalid, empty if it is valid. The end is 0 when the header is damaged.
func (c fileContent) checkFrame(offset int) (int, string) {
	rest := c.data[offset:]
	if len(rest) < headerSize {
		return 0, "the header is truncated"
	}
	if binary.BigEndian.Uint32(rest[8:]) != headerChecksum(c.generation, int64(offset), rest[:8]) {
		return 0, "the header's checksum does not match"
	}
	end := headerSize + int(binary.BigEndian.Uint32(rest))
	if end > len(rest) {
		return offset + end, "the payload is truncated"
	}
	if binary.BigEndian.Uint32(rest[4:]) != crc32.Checksum(rest[headerSize:end], castagnoli) {
		return offset + end, "the payload's checksum does not match"
	}
	return offset + end, ""
}

// isTorn reports whether the invalid frame at the offset is the result of an incomplete
// write: the file ends within the frame, or a sector of it was never written and no valid
// frame follows.
func (c fileContent) isTorn(offset, end int) bool {
	switch {
	case len(c.data)-offset < headerSize, end > len(c.data):
		return true
	case end == 0:
		return c.hasZeroSector(offset) && !c.hasValidFrameAfter(offset)
	}
	return end == len(c.data) && c.hasZeroSector(offset)
}

// hasZeroSector reports whether any sector at or after the offset holds only zeros, a
// sign that it was never written.
func (c fileContent) hasZeroSector(offset int) bool {
	for offset < len(c.data) {
		next := min(len(c.data), (offset/sectorSize+1)*sectorSize)
		if len(bytes.Trim(c.data[offset:next], "\x00")) == 0 {
			return true
		}
		offset = next
	}
	return false
}

// hasValidFrameAfter reports whether a valid frame begins anywhere after the offset.
func (c fileContent) hasValidFrameAfter(offset int) bool {
	for o := offset + 1; o+headerSize <= len(c.data); o++ {
		if _, reason := c.checkFrame(o); reason == "" {
			return true
		}
	}
	return false
}

// splitRecords returns the records of a frame whose checksums match.
func (c fileContent) splitRecords(offset, end int) ([][]byte, error) {
	var records [][]byte
	payload := c.data[offset+headerSize : end]
	for len(payload) > 0 {
		if len(payload) < lengthSize || int(binary.BigEndian.Uint32(payload)) > len(payload)-lengthSize {
			return nil, &CorruptError{c.file, int64(offset), "a record's length exceeds the payload"}
		}
		size := lengthSize + int(binary.BigEndian.Uint32(payload))
		records = append(records, payload[lengthSize:size])
		payload = payload[size:]
	}
	return records, nil
}

// encodeSnapshot returns the content of a snapshot file: one frame with one record.
func encodeSnapshot(g generation, snapshot []byte) []byte {
	return encodeFrame(g, 0, [][]byte{snapshot})
}

// decodeSnapshot returns the snapshot that a file holds. Snapshot files are synced before
// they are renamed into place, so an incomplete one is corrupt and not the result of a crash.
func decodeSnapshot(c fileContent) ([]byte, error) {
	end, reason := c.checkFrame(0)
	if reason == "" && end != len(c.data) {
		reason = "unexpected data after the snapshot"
	}
	if reason != "" {
		return nil, &CorruptError{c.file, 0, reason}
	}
	records, err := c.splitRecords(0, end)
	if err != nil {
		return nil, err
	}
	if len(records) != 1 {
		return nil, &CorruptError{c.file, 0, "the file must hold exactly one record"}
	}
	return records[0], nil
}
