// Package merger selects the greatest records of all parts of an answer.
//
// Records have a fixed size and are compared bytewise. Equal records are kept as
// separate records. Trailing bytes shorter than a record are dropped.
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

// RecordSize is the size of a record in bytes.
const RecordSize = 16

// record is a slice of RecordSize bytes of a part's body.
type record []byte

// minHeap is a heap.Interface with the least record at index 0.
type minHeap []record

func (h minHeap) Len() int           { return len(h) }
func (h minHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h minHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *minHeap) Push(x any)        { *h = append(*h, x.(record)) }

func (h *minHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Merger keeps the greatest of the added records. It is not safe for concurrent use.
type Merger struct {
	limit int
	kept  minHeap
}

// New returns a Merger that keeps up to limit records.
func New(limit int) *Merger {
	return &Merger{limit: limit}
}

// Add adds the records of a part's body. The Merger keeps slices of the body, so the caller
// must not modify the body afterwards.
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

// Merged returns the concatenation of the kept records, greatest first.
func (m *Merger) Merged() []byte {
	ordered := slices.Clone(m.kept)
	slices.SortFunc(ordered, func(a, b record) int { return bytes.Compare(b, a) })
	body := make([]byte, 0, len(ordered)*RecordSize)
	for _, r := range ordered {
		body = append(body, r...)
	}
	return body
}
