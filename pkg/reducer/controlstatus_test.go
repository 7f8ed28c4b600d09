package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Guards against the gauge of an entry host that shows it out of touch while it follows a control host.
var _ = ginkgo.Describe("the control status of an entry host", func() {
	for _, c := range []struct {
		name     string
		cut      bool
		expected bool
	}{
		{"shows that it is in touch", false, true},
		{"shows that it is cut off", true, false},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.isolated[entryName(0)] = c.cut
			f.run(5 * identifier.Second)
			gomega.Expect(f.hosts[entryName(0)].view.Control.InTouch).To(gomega.Equal(c.expected))
		})
	}
})
