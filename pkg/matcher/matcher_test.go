package matcher_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/matcher"
)

var _ = ginkgo.Describe("a matcher", func() {
	m := matcher.New([]declarer.Route{
		{ID: "all", Hostname: "a.example", PathPrefix: "/"},
		{ID: "deep", Hostname: "a.example", PathPrefix: "/x/y/"},
		{ID: "shallow", Hostname: "a.example", PathPrefix: "/x/"},
		{ID: "other", Hostname: "b.example", PathPrefix: "/x/"},
	})
	for _, c := range []struct {
		hostname, path string
		route          declarer.RouteID
	}{
		{"a.example", "/x/y/1", "deep"},
		{"a.example", "/x/y/", "deep"},
		{"a.example", "/x/y", "shallow"},
		{"a.example", "/x/z/1", "shallow"},
		{"a.example", "/x", "all"},
		{"a.example", "/", "all"},
		{"a.example", "//x/y/1", "all"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/x", ""},
		{"b.example", "/", ""},
		{"c.example", "/x/y/1", ""},
		{"a.example", "", ""},
		{"a.example", "x/y/1", ""},
	} {
		ginkgo.It("matches "+c.hostname+c.path+" to route "+string(c.route), func() {
			r, ok := m.Match(c.hostname, c.path)
			gomega.Expect(ok).To(gomega.Equal(c.route != ""))
			if ok {
				gomega.Expect(r.ID).To(gomega.Equal(c.route))
			}
		})
	}
})
