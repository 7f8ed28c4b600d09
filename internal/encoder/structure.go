package encoder

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// MalformedDataError reports truncated or malicious data: a value that declares a length beyond the
// end of the data or has an unknown type code, or extensions that are nested too deeply.
type MalformedDataError struct {
	// Offset is the position of the invalid value in the data.
	Offset identifier.Bytes
}

// Error returns a message that lists the possible faults.
func (e *MalformedDataError) Error() string {
	return "encoder: malformed data: the data is truncated, has an unknown type code or nests extensions too deeply"
}

// checkStructure scans one msgpack value, including the values nested in it. It returns a
// *MalformedDataError when a declared length exceeds the data, a type code is unknown or
// extensions are nested deeper than maxExtensionDepth. The msgpack library allocates memory
// for a declared length before it reads the value, so lengths must be checked first.
func checkStructure(data []byte) error {
	offset := 0
	// openEnds holds the end offsets of the extensions that enclose the current offset,
	// outermost first.
	var openEnds []int
	for pending := 1; pending > 0; pending-- {
		for len(openEnds) > 0 && openEnds[len(openEnds)-1] <= offset {
			openEnds = openEnds[:len(openEnds)-1]
		}
		if offset >= len(data) || len(openEnds) > maxExtensionDepth {
			return &MalformedDataError{Offset: identifier.Bytes(offset)}
		}
		if length, isExtension := extensionSize(data[offset:]); isExtension {
			openEnds = append(openEnds, offset+length)
		}
		size, elements, ok := scanValue(data[offset:])
		// Every element takes at least one byte.
		if !ok || size > len(data)-offset || elements > len(data)-offset-size {
			return &MalformedDataError{Offset: identifier.Bytes(offset)}
		}
		offset += size
		pending += elements
	}
	return nil
}

// The sizes in bytes of the length fields that follow a type code.
const (
	width8  = 1
	width16 = 2
	width32 = 4
)

// scanValue returns the size in bytes of the value at the start of the data, without its
// elements, and the number of elements. It reports false when the data ends within the
// length field or the type code is unknown.
func scanValue(data []byte) (size, elements int, ok bool) {
	c := data[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 1, 0, true
	case msgpcode.IsFixedString(c):
		return 1 + int(c&msgpcode.FixedStrMask), 0, true
	case msgpcode.IsFixedArray(c):
		return 1, int(c & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedMap(c):
		return 1, 2 * int(c&msgpcode.FixedMapMask), true
	}
	switch c {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 1, 0, true
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0, true
	case msgpcode.Uint16, msgpcode.Int16:
		return 3, 0, true
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0, true
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0, true
	case msgpcode.Str8, msgpcode.Bin8:
		return scanBytes(data, width8)
	case msgpcode.Str16, msgpcode.Bin16:
		return scanBytes(data, width16)
	case msgpcode.Str32, msgpcode.Bin32:
		return scanBytes(data, width32)
	case msgpcode.Array16:
		return scanElements(data, width16, 1)
	case msgpcode.Array32:
		return scanElements(data, width32, 1)
	case msgpcode.Map16:
		return scanElements(data, width16, 2)
	case msgpcode.Map32:
		return scanElements(data, width32, 2)
	}
	return scanExtension(data)
}

// maxExtensionDepth limits the nesting of extensions.
const maxExtensionDepth = 8

// extensionLengthWidths holds the size in bytes of the length field of each extension code.
// Fixed extensions have no length field.
var extensionLengthWidths = map[byte]int{
	msgpcode.FixExt1: 0, msgpcode.FixExt2: 0, msgpcode.FixExt4: 0, msgpcode.FixExt8: 0, msgpcode.FixExt16: 0,
	msgpcode.Ext8: width8, msgpcode.Ext16: width16, msgpcode.Ext32: width32,
}

// fixedBodySizes holds the body size in bytes of each fixed extension code.
var fixedBodySizes = map[byte]int{
	msgpcode.FixExt1: 1, msgpcode.FixExt2: 2, msgpcode.FixExt4: 4, msgpcode.FixExt8: 8, msgpcode.FixExt16: 16,
}

// scanExtension is scanValue for an extension, whose body is a single value: the fields of
// a variant.
func scanExtension(data []byte) (size, elements int, ok bool) {
	width, ok := extensionLengthWidths[data[0]]
	if !ok {
		return 0, 0, false
	}
	length, ok := extensionSize(data)
	return 1 + width + 1, 1, ok && length <= len(data)
}

// extensionSize returns the size in bytes of an extension, header and body. It reports false
// when the value is not an extension or the data ends within the header.
func extensionSize(data []byte) (int, bool) {
	width, ok := extensionLengthWidths[data[0]]
	if !ok {
		return 0, false
	}
	length, fixed := fixedBodySizes[data[0]]
	if !fixed {
		if length, ok = readLength(data, width); !ok {
			return 0, false
		}
	}
	return 1 + width + 1 + length, true
}

// scanBytes is scanValue for a string or binary value with a length field.
func scanBytes(data []byte, width int) (size, elements int, ok bool) {
	length, ok := readLength(data, width)
	return 1 + width + length, 0, ok
}

// scanElements is scanValue for an array or map with a length field. An array has one
// element for each entry, a map two.
func scanElements(data []byte, width, elementsPerEntry int) (size, elements int, ok bool) {
	count, ok := readLength(data, width)
	return 1 + width, count * elementsPerEntry, ok
}

// readLength reads the big-endian length field that follows the type code. It reports false
// when the data ends within it.
func readLength(data []byte, width int) (int, bool) {
	if len(data) < 1+width {
		return 0, false
	}
	switch width {
	case width8:
		return int(data[1]), true
	case width16:
		return int(binary.BigEndian.Uint16(data[1:])), true
	}
	return int(binary.BigEndian.Uint32(data[1:])), true
}
