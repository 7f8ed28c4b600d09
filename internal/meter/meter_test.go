package meter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

func TestMeter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "meter")
}

var _ = ginkgo.Describe("counters of customers", func() {
	for _, c := range []struct {
		name      string
		customers int
		lines     int
		other     bool
	}{
		{"have a label each", 200, 200, false},
		// Thousands of customers must not make the metrics larger than what is scraped in time.
		{"share a label beyond a limit", 5000, 257, true},
	} {
		ginkgo.It(c.name, func() {
			m := meter.New()
			for range 2 {
				for i := range c.customers {
					m.Count(reducer.Count{Counter: reducer.CustomerRequestsCounter, Customer: identifier.CustomerID(fmt.Sprint(i))})
				}
			}
			var out bytes.Buffer
			m.Write(&out)
			gomega.Expect(strings.Count(out.String(), "lagooncleat_customer_requests_total")).To(gomega.Equal(c.lines))
			gomega.Expect(strings.Contains(out.String(), `customer="(other)"`)).To(gomega.Equal(c.other))
			gomega.Expect(out.String()).To(gomega.ContainSubstring(`customer="7",rank="urgent"} 2`))
		})
	}
})
