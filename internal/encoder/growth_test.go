package encoder_test

import (
	"bytes"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// fields encodes a struct as the array of its fields, as the versions that have these fields do.
func fields(list ...any) []byte {
	var data bytes.Buffer
	gomega.Expect(msgpack.NewEncoder(&data).Encode(list)).To(gomega.Succeed())
	return data.Bytes()
}

var _ = ginkgo.Describe("a struct that got fields", func() {
	held := []any{0, 0}
	request := func(more ...any) []any {
		return append([]any{"h", "d", held, 7, 5, true, false}, more...)
	}
	tag, _ := encoder.Encode(reducer.ServerListRequested{})
	expected := reducer.ServerListRequested{Host: "h", Domain: "d", Version: 7, Topology: 5, Subscribes: true}
	withRevision := expected
	withRevision.Evacuations = 9

	for _, c := range []struct {
		name string
		list []any
		// event is nil if the data is invalid.
		event reducer.Event
	}{
		{"is read as an earlier version has sent it", request(), expected},
		{"is read as this version sends it", request(9), withRevision},
		{"is read as a later version sends it", request(9, []any{"more"}, "x"), withRevision},
		{"is rejected without its first fields", request()[:6], nil},
	} {
		ginkgo.It(c.name, func() {
			event, err := encoder.Decode(append(tag[:1:1], fields(c.list...)...))
			if c.event == nil {
				gomega.Expect(err).To(gomega.HaveOccurred())
				return
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(event).To(gomega.Equal(c.event))
		})
	}

	// Hosts of an earlier version reject a longer array, so nothing may change for them until the fields are used.
	for _, c := range []struct {
		name  string
		event reducer.Event
		count byte
	}{
		{"a request for the server list", expected, 7},
		{"a request for the server list with evacuations", withRevision, 8},
		{"a server list", reducer.ServerListSent{}, 11},
		{"a server list with evacuations", reducer.ServerListSent{Evacuations: &reducer.Evacuations{}}, 12},
		{"a request for parts", reducer.PartsRequested{}, 10},
		{"a request for parts with homes", reducer.PartsRequested{Homes: [][]identifier.RegionID{{"r"}}}, 11},
	} {
		ginkgo.It("is sent with as few fields as it needs: "+c.name, func() {
			data, err := encoder.Encode(c.event)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			const fixedArray = 0x90
			gomega.Expect(data[1]).To(gomega.Equal(fixedArray | c.count))
		})
	}

	ginkgo.It("is read from what an earlier version has stored", func() {
		empty := []any{}
		source := []any{3, []byte("x")}
		snapshot, err := encoder.DecodeSnapshot(fields(9, 2, empty, []any{empty, empty, source, empty}))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(snapshot.State.Source.Version).To(gomega.Equal(identifier.Version(3)))
		list, err := encoder.DecodeServerList(fields(empty, source, empty, empty))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(list.Source.Version).To(gomega.Equal(identifier.Version(3)))
	})

	ginkgo.It("is stored and read with its later fields", func() {
		stored := replicator.Snapshot[reducer.ControlSnapshot]{Index: 9, State: reducer.ControlSnapshot{
			Evacuations: []reducer.RecordedEvacuation{{Domain: "d", Revision: 1 << 63, Ended: true}},
		}}
		data, err := encoder.EncodeSnapshot(stored)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(encoder.DecodeSnapshot(data)).To(gomega.Equal(stored))
	})
})
