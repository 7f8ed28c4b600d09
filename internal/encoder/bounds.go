package encoder

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// LengthError reports bytes whose declared lengths go beyond their end.
type LengthError struct {
	// Offset is where the value stands whose length is too large.
	Offset identifier.Bytes
}

// Error says that the bytes are cut off or forged.
func (e *LengthError) Error() string {
	return "encoder: a declared length goes beyond the end of the data"
}

// checkBounds walks one msgpack value and returns a *LengthError when a length
// that it declares goes beyond the data. The library allocates by declared
// lengths before it reads, so they can't be left to it.
func checkBounds(data []byte) error {
	offset := 0
	// open holds the ends of the extensions that the offset lies in.
	var open []int
	for pending := 1; pending > 0; pending-- {
		for len(open) > 0 && open[len(open)-1] <= offset {
			open = open[:len(open)-1]
		}
		if offset >= len(data) || len(open) > maxNesting {
			return &LengthError{Offset: identifier.Bytes(offset)}
		}
		if length, isExtension := extension(data[offset:]); isExtension {
			open = append(open, offset+length)
		}
		size, elements, ok := measure(data[offset:])
		// Every element takes at least a byte.
		if !ok || size > len(data)-offset || elements > len(data)-offset-size {
			return &LengthError{Offset: identifier.Bytes(offset)}
		}
		offset += size
		pending += elements
	}
	return nil
}

// widths are the bytes of a length that follows a code.
const (
	width8  = 1
	width16 = 2
	width32 = 4
)

// measure returns the bytes of the value at the start of the data, without its
// elements, and the number of elements. It reports false when the data ends
// within the value's length or its code is unknown.
func measure(data []byte) (size, elements int, ok bool) {
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
		return sized(data, width8)
	case msgpcode.Str16, msgpcode.Bin16:
		return sized(data, width16)
	case msgpcode.Str32, msgpcode.Bin32:
		return sized(data, width32)
	case msgpcode.Array16:
		return counted(data, width16, 1)
	case msgpcode.Array32:
		return counted(data, width32, 1)
	case msgpcode.Map16:
		return counted(data, width16, 2)
	case msgpcode.Map32:
		return counted(data, width32, 2)
	}
	return measureExtension(data)
}

// maxNesting bounds how deep extensions lie in each other.
const maxNesting = 8

// extensionWidths are the bytes of the length that follows the code of an
// extension; a fixed one has none.
var extensionWidths = map[byte]int{
	msgpcode.FixExt1: 0, msgpcode.FixExt2: 0, msgpcode.FixExt4: 0, msgpcode.FixExt8: 0, msgpcode.FixExt16: 0,
	msgpcode.Ext8: width8, msgpcode.Ext16: width16, msgpcode.Ext32: width32,
}

// fixedLengths are the bytes in the body of a fixed extension.
var fixedLengths = map[byte]int{
	msgpcode.FixExt1: 1, msgpcode.FixExt2: 2, msgpcode.FixExt4: 4, msgpcode.FixExt8: 8, msgpcode.FixExt16: 16,
}

// measureExtension is measure for an extension, whose body is one value, that of a variant.
func measureExtension(data []byte) (size, elements int, ok bool) {
	width, ok := extensionWidths[data[0]]
	if !ok {
		return 0, 0, false
	}
	length, ok := extension(data)
	return 1 + width + 1, 1, ok && length <= len(data)
}

// extension returns the bytes of an extension, header and body. It reports false
// for another value, and when the data ends within the header.
func extension(data []byte) (int, bool) {
	width, ok := extensionWidths[data[0]]
	if !ok {
		return 0, false
	}
	length, fixed := fixedLengths[data[0]]
	if !fixed {
		if length, ok = number(data, width); !ok {
			return 0, false
		}
	}
	return 1 + width + 1 + length, true
}

func sized(data []byte, width int) (size, elements int, ok bool) {
	length, ok := number(data, width)
	return 1 + width + length, 0, ok
}

func counted(data []byte, width, each int) (size, elements int, ok bool) {
	count, ok := number(data, width)
	return 1 + width, count * each, ok
}

// number reads the big-endian length that follows the code.
func number(data []byte, width int) (int, bool) {
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
