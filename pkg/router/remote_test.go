package router_test

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

var _ = ginkgo.Describe("the selected hosts of remote failure domains", func() {
	hosts := func(perDomain ...int) []router.Host {
		var list []router.Host
		for d, n := range perDomain {
			for i := range n {
				list = append(list, router.Host{
					ID: identifier.HostID(fmt.Sprintf("h-%d-%d", d, i)), Domain: identifier.DomainID(fmt.Sprintf("fd-%d", d)),
				})
			}
		}
		return list
	}
	for _, c := range []struct {
		name  string
		hosts []router.Host
		count int
		want  int
	}{
		{"are none if there is one domain", hosts(5), 2, 0},
		{"are the requested number of each domain", hosts(5, 5, 5), 2, 4},
		{"are all hosts of a small domain", hosts(5, 1, 3), 2, 3},
	} {
		ginkgo.It(c.name, func() {
			found := router.RemoteHosts("h-0-0", "fd-0", c.hosts, c.count)
			gomega.Expect(found).To(gomega.HaveLen(c.want))
			for _, h := range found {
				gomega.Expect(h.Domain).NotTo(gomega.Equal(identifier.DomainID("fd-0")))
			}
		})
	}

	ginkgo.It("are loaded evenly", func() {
		all := hosts(60, 20)
		load := map[identifier.HostID]int{}
		for _, h := range all[:60] {
			for _, d := range router.RemoteHosts(h.ID, h.Domain, all, 2) {
				load[d.ID]++
			}
		}
		for _, n := range load {
			gomega.Expect(n).To(gomega.BeNumerically("<=", 4*6), "the average is six")
		}
		gomega.Expect(len(load)).To(gomega.BeNumerically(">=", 15))
	})
})
