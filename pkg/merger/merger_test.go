package merger_test

import (
	"bytes"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lagooncleat/lagooncleat/pkg/merger"
)

func records(first ...byte) []byte {
	var body []byte
	for _, b := range first {
		body = append(body, append([]byte{b}, make([]byte, merger.RecordSize-1)...)...)
	}
	return body
}

var _ = ginkgo.Describe("a merger", func() {
	for _, c := range []struct {
		name   string
		limit  int
		parts  [][]byte
		merged []byte
	}{
		{"returns an empty body without parts", 3, nil, []byte{}},
		{"orders the records from greatest to least", 3, [][]byte{records(1, 3), records(2)}, records(3, 2, 1)},
		{"keeps the greatest records", 2, [][]byte{records(1, 3), records(2, 9)}, records(9, 3)},
		{"keeps equal records", 3, [][]byte{records(5, 5), records(5, 1)}, records(5, 5, 5)},
		{"drops trailing bytes", 3, [][]byte{append(records(1), 255), records(2)[:15]}, records(1)},
		{"keeps no records with a limit of 0", 0, [][]byte{records(1)}, []byte{}},
	} {
		ginkgo.It(c.name, func() {
			m := merger.New(c.limit)
			for _, p := range c.parts {
				m.Add(p)
			}
			gomega.Expect(m.Merged()).To(gomega.Equal(c.merged))
		})
	}

	ginkgo.It("gives the same result as sorting all records", func() {
		rapid.Check(ginkgo.GinkgoTB(), func(t *rapid.T) {
			parts := rapid.SliceOf(rapid.SliceOf(rapid.Byte())).Draw(t, "parts")
			limit := rapid.IntRange(0, 8).Draw(t, "limit")
			m := merger.New(limit)
			var all [][]byte
			for _, p := range parts {
				m.Add(p)
				for r := range slices.Chunk(p, merger.RecordSize) {
					if len(r) == merger.RecordSize {
						all = append(all, r)
					}
				}
			}
			slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
			want := bytes.Join(all[:min(limit, len(all))], nil)
			if !bytes.Equal(m.Merged(), want) {
				t.Fatalf("merged %x, want %x", m.Merged(), want)
			}
		})
	})
})
