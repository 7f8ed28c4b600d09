package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Guards against requests that are lost on a connection from before a delegate's failure domain lost power.
var _ = ginkgo.Describe("an entry host replaces its connection", func() {
	for _, c := range []struct {
		name  string
		steps func(f *smallFleet)
		hosts []identifier.HostID
	}{
		{"to a delegate that comes back", func(f *smallFleet) {
			f.stop(controlName(1), false)
			f.stop(entryName(1), false)
			f.run(5 * identifier.Second)
			f.start(controlName(1))
			f.start(entryName(1))
			f.run(5 * identifier.Second)
		}, []identifier.HostID{entryName(1)}},
		{"to no delegate while nothing changes", func(f *smallFleet) { f.run(5 * identifier.Second) }, nil},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			var hosts []identifier.HostID
			f.onEffect = func(id identifier.HostID, e reducer.Effect) {
				if r, ok := e.(reducer.Reconnect); ok && id == entryName(0) {
					hosts = append(hosts, r.Host)
				}
			}
			c.steps(f)
			gomega.Expect(hosts).To(gomega.Equal(c.hosts))
		})
	}
})
