// Package matcher finds the route of a request: among the routes of its hostname
// the one with the longest path prefix.
//
// A Matcher is built once for each declaration and never changes, so any number
// of goroutines may read it.
//
// # Usage
//
//	m := matcher.New(declaration.Routes)
//	route, ok := m.Match("search.example", "/records/17")
package matcher

import (
	"strings"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
)

// Matcher holds routes by hostname and path prefix.
type Matcher struct {
	hosts map[string]map[string]*declarer.Route
}

// New returns a Matcher of the routes, which must not change afterwards.
func New(routes []declarer.Route) *Matcher {
	m := &Matcher{hosts: map[string]map[string]*declarer.Route{}}
	for i := range routes {
		r := &routes[i]
		prefixes, ok := m.hosts[r.Hostname]
		if !ok {
			prefixes = map[string]*declarer.Route{}
			m.hosts[r.Hostname] = prefixes
		}
		prefixes[r.PathPrefix] = r
	}
	return m
}

// Match returns the route of the hostname whose path prefix is the longest that
// begins the path. It reports false when there is none.
func (m *Matcher) Match(hostname, path string) (*declarer.Route, bool) {
	prefixes := m.hosts[hostname]
	if len(prefixes) == 0 {
		return nil, false
	}
	for {
		// Prefixes end with a slash, so only the parts up to one can match.
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			return nil, false
		}
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
		path = path[:end]
	}
}
