package encoder_test

import (
	"bytes"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// fields encodes a struct as the array of its fields, as the versions that have these fields do.
func fields(list ...any) []byte {
	var data bytes.Buffer
	gomega.Expect(msgpack.NewEncoder(&data).Encode(list)).To(gomega.Succeed())
	return data.Bytes()
}

var _ = ginkgo.Describe("a struct that got fields", func() {
	first := []any{"h", "d", []any{0, 0}, 7, 5, true, false}
	earlier := reducer.ServerListRequested{Host: "h", Domain: "d", Version: 7, Topology: 5, Subscribes: true}
	current := earlier
	current.Evacuations = 9

	for _, c := range []struct {
		name string
		list []any
		// event is nil if the data is invalid. Otherwise it is sent with count fields: hosts of an earlier version
		// reject others than they know.
		event reducer.Event
		count int
	}{
		{"is read as an earlier version sends it, and sent so", first, earlier, 7},
		{"is sent with a later field that is used", append(first[:7:7], 9), current, 8},
		{"is read as a later version sends it", append(first[:7:7], 9, []any{0, 0}, []any{"more"}, "x"), current, 8},
		{"is rejected without its first fields", first[:6], nil, 0},
	} {
		ginkgo.It(c.name, func() {
			tag, _ := encoder.Encode(reducer.ServerListRequested{})
			event, err := encoder.Decode(append(tag[:1:1], fields(c.list...)...))
			if c.event == nil {
				gomega.Expect(err).To(gomega.HaveOccurred())
				return
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(event).To(gomega.Equal(c.event))
			data, err := encoder.Encode(c.event)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(msgpack.NewDecoder(bytes.NewReader(data[1:])).DecodeArrayLen()).To(gomega.Equal(c.count))
		})
	}

	ginkgo.It("names no incarnation in a withdrawal that an earlier version relays", func() {
		tag, _ := encoder.Encode(reducer.WithdrawalRelayed{})
		event, err := encoder.Decode(append(tag[:1:1], fields("s-1")...))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(event).To(gomega.Equal(reducer.WithdrawalRelayed{Server: "s-1"}))
	})

	ginkgo.It("is read from what an earlier version has stored", func() {
		empty, source := []any{}, []any{3, []byte("x")}
		snapshot, err := encoder.DecodeSnapshot(fields(9, 2, empty, []any{empty, empty, source, empty}))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(snapshot.State.Source.Version).To(gomega.BeEquivalentTo(3))
		list, err := encoder.DecodeServerList(fields(empty, source, empty, empty))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(list.Source.Version).To(gomega.BeEquivalentTo(3))
	})
})
