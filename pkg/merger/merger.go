// Package merger keeps the greatest records of the parts of an answer.
//
// Records have a fixed size and are compared byte by byte; equal records all
// count. A remainder shorter than a record is dropped.
//
// # Usage
//
//	m := merger.New(50)
//	m.Add(part)
//	body := m.Merged()
package merger

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordSize is the size of a record, in bytes.
const RecordSize = 16

// record is a slice of RecordSize bytes in the body of a part.
type record []byte

// least is a heap of records with the least on top.
type least []record

func (l least) Len() int           { return len(l) }
func (l least) Less(i, j int) bool { return bytes.Compare(l[i], l[j]) < 0 }
func (l least) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *least) Push(x any)        { *l = append(*l, x.(record)) }

func (l *least) Pop() any {
	old := *l
	last := old[len(old)-1]
	*l = old[:len(old)-1]
	return last
}

// Merger keeps the greatest records that were added. It is not safe for concurrent use.
type Merger struct {
	limit int
	kept  least
}

// New returns a Merger that keeps the given number of records.
func New(limit int) *Merger {
	return &Merger{limit: limit}
}

// Add takes in the records of a part's body, which must not change afterwards.
func (m *Merger) Add(body []byte) {
	for len(body) >= RecordSize {
		m.add(record(body[:RecordSize:RecordSize]))
		body = body[RecordSize:]
	}
}

func (m *Merger) add(r record) {
	if len(m.kept) < m.limit {
		heap.Push(&m.kept, r)
		return
	}
	if m.limit > 0 && bytes.Compare(r, m.kept[0]) > 0 {
		m.kept[0] = r
		heap.Fix(&m.kept, 0)
	}
}

// Merged returns the kept records in one body, greatest first.
func (m *Merger) Merged() []byte {
	ordered := slices.Clone(m.kept)
	slices.SortFunc(ordered, func(a, b record) int { return bytes.Compare(b, a) })
	body := make([]byte, 0, len(ordered)*RecordSize)
	for _, r := range ordered {
		body = append(body, r...)
	}
	return body
}
