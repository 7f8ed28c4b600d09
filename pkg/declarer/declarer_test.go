package declarer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

func declaration() declarer.Declaration {
	return declarer.Declaration{
		Version: 3,
		Routes: []declarer.Route{
			{ID: "search", Hostname: "a.example", PathPrefix: "/s/", Timeout: 1, Shards: []identifier.ServiceID{"one", "two"}},
			{ID: "archive", Hostname: "a.example", PathPrefix: "/a/", Timeout: 1, Targets: []declarer.Target{{"one", 1}, {"two", 3}}},
		},
		Services: []declarer.Service{{ID: "one"}, {ID: "two"}},
	}
}

var _ = ginkgo.Describe("a declaration", func() {
	for _, c := range []struct {
		name   string
		modify func(*declarer.Declaration)
		reason string
	}{
		{"is valid without modification", func(*declarer.Declaration) {}, ""},
		{"needs a version", func(d *declarer.Declaration) { d.Version = 0 }, "version"},
		{"needs a name for each service", func(d *declarer.Declaration) { d.Services[0].ID = "" }, "no name"},
		{"must not name an unknown shard", func(d *declarer.Declaration) { d.Routes[0].Shards[1] = "three" }, "not declared"},
		{"must not name an unknown target", func(d *declarer.Declaration) { d.Routes[1].Targets[1].Service = "three" }, "not declared"},
		{"needs a target or shard for each route", func(d *declarer.Declaration) { d.Routes[1].Targets = nil }, "names no service"},
		{"needs a total weight above 0", func(d *declarer.Declaration) {
			d.Routes[1].Targets[0].Weight, d.Routes[1].Targets[1].Weight = 0, 0
		}, "add up to 0"},
		{"must not have a negative weight", func(d *declarer.Declaration) { d.Routes[1].Targets[0].Weight = -1 }, "negative"},
		{"needs a timeout for each route", func(d *declarer.Declaration) { d.Routes[0].Timeout = 0 }, "timeout"},
		{"must not repeat a hostname and path prefix", func(d *declarer.Declaration) { d.Routes[1].PathPrefix = "/s/" }, "same hostname"},
	} {
		ginkgo.It(c.name, func() {
			d := declaration()
			c.modify(&d)
			err := d.Check()
			if c.reason == "" {
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.reason)))
		})
	}

	ginkgo.It("restores the text from its compressed source", func() {
		text := make([]byte, 100000)
		source, err := declarer.NewSource(3, text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(len(source.Packed)).To(gomega.BeNumerically("<", len(text)/10))
		gomega.Expect(source.Text()).To(gomega.Equal(text))
		source.Packed = source.Packed[:len(source.Packed)/2]
		_, err = source.Text()
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})

var _ = ginkgo.Describe("a customer", func() {
	for _, c := range []struct {
		name    string
		rate    identifier.Rate
		burst   float64
		limited bool
	}{
		{"with neither rate nor burst has no limit", 0, 0, false},
		// A level that doesn't refill would refuse every request.
		{"with a burst but no rate has no limit", 0, 5, false},
		{"with a rate has a limit", 2, 0, true},
	} {
		ginkgo.It(c.name, func() {
			customer := declarer.Customer{ID: "clinic", Rate: c.rate, Burst: c.burst}
			gomega.Expect(customer.Limited()).To(gomega.Equal(c.limited))
		})
	}
})
