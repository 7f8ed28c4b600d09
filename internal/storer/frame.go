package storer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is a header and a payload. The header holds the payload's length, the
// payload's checksum, and a checksum of both, of the generation and of the offset,
// each in four bytes, big-endian. The payload is a sequence of records, each
// behind its length in four bytes.
const (
	lengthSize = 4
	headerSize = 12
	// sectorSize is the unit that a disk writes whole.
	sectorSize = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports damage to a file, at an offset in bytes.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the offset and the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("storer: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// headerChecksum covers the place of a frame too, so that one that was written
// for another place is not taken for this one.
func headerChecksum(g generation, offset int64, header []byte) uint32 {
	place := binary.BigEndian.AppendUint64(nil, uint64(g))
	place = binary.BigEndian.AppendUint64(place, uint64(offset))
	return crc32.Update(crc32.Checksum(place, castagnoli), castagnoli, header)
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

// segment is the bytes of a segment file that is being read.
type segment struct {
	generation generation
	file       string
	data       []byte
}

// scan returns all records, and the offset at which a frame that was never
// synced begins, or the file's length. It returns a *CorruptError for other damage.
func (s segment) scan() ([][]byte, int64, error) {
	var records [][]byte
	offset := 0
	for offset < len(s.data) {
		end, reason := s.check(offset)
		switch {
		case reason == "":
			found, err := s.split(offset, end)
			if err != nil {
				return nil, 0, err
			}
			records = append(records, found...)
			offset = end
		case s.torn(offset, end):
			return records, int64(offset), nil
		default:
			return nil, 0, &CorruptError{s.file, int64(offset), reason}
		}
	}
	return records, int64(offset), nil
}

// check returns the end of the frame at the offset, 0 when its header is
// damaged, and what is wrong with it, if anything is.
func (s segment) check(offset int) (int, string) {
	rest := s.data[offset:]
	if len(rest) < headerSize {
		return 0, "the header is cut short"
	}
	if binary.BigEndian.Uint32(rest[8:]) != headerChecksum(s.generation, int64(offset), rest[:8]) {
		return 0, "the header's checksum does not match"
	}
	end := headerSize + int(binary.BigEndian.Uint32(rest))
	if end > len(rest) {
		return offset + end, "the payload is cut short"
	}
	if binary.BigEndian.Uint32(rest[4:]) != crc32.Checksum(rest[headerSize:end], castagnoli) {
		return offset + end, "the payload's checksum does not match"
	}
	return offset + end, ""
}

// torn reports whether the damaged frame at the offset is one whose write did
// not finish: the file ends in it, or its last sectors were never written and
// nothing valid follows.
func (s segment) torn(offset, end int) bool {
	switch {
	case len(s.data)-offset < headerSize, end > len(s.data):
		return true
	case end == 0:
		return s.missesSector(offset) && !s.validAfter(offset)
	}
	return end == len(s.data) && s.missesSector(offset)
}

// missesSector reports whether a sector from the offset on is all zero.
func (s segment) missesSector(offset int) bool {
	for offset < len(s.data) {
		next := min(len(s.data), (offset/sectorSize+1)*sectorSize)
		if len(bytes.Trim(s.data[offset:next], "\x00")) == 0 {
			return true
		}
		offset = next
	}
	return false
}

// validAfter reports whether a whole frame begins anywhere after the offset.
func (s segment) validAfter(offset int) bool {
	for o := offset + 1; o+headerSize <= len(s.data); o++ {
		if _, reason := s.check(o); reason == "" {
			return true
		}
	}
	return false
}

// split returns the records of a frame whose checksums match.
func (s segment) split(offset, end int) ([][]byte, error) {
	var records [][]byte
	payload := s.data[offset+headerSize : end]
	for len(payload) > 0 {
		if len(payload) < lengthSize || int(binary.BigEndian.Uint32(payload)) > len(payload)-lengthSize {
			return nil, &CorruptError{s.file, int64(offset), "a record's length does not fit"}
		}
		size := lengthSize + int(binary.BigEndian.Uint32(payload))
		records = append(records, payload[lengthSize:size])
		payload = payload[size:]
	}
	return records, nil
}

// encodeSnapshot returns a snapshot file: one frame of one record.
func encodeSnapshot(g generation, snapshot []byte) []byte {
	return encodeFrame(g, 0, [][]byte{snapshot})
}

// decodeSnapshot returns the snapshot of a file, which is whole or corrupt,
// since it was renamed into place after its sync.
func decodeSnapshot(s segment) ([]byte, error) {
	end, reason := s.check(0)
	if reason == "" && end != len(s.data) {
		reason = "bytes follow the snapshot"
	}
	if reason != "" {
		return nil, &CorruptError{s.file, 0, reason}
	}
	records, err := s.split(0, end)
	if err != nil {
		return nil, err
	}
	if len(records) != 1 {
		return nil, &CorruptError{s.file, 0, "not one record"}
	}
	return records[0], nil
}
