// Package matcher finds the route of a request: the route with the longest matching
// path prefix among those of the request's hostname.
//
// A Matcher is built once per declaration and is immutable, so it is safe for
// concurrent use.
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

// Matcher indexes routes by hostname and path prefix.
type Matcher struct {
	byHostname map[string]map[string]*declarer.Route
}

// New returns a Matcher for the routes, which must not be modified afterwards.
func New(routes []declarer.Route) *Matcher {
	m := &Matcher{byHostname: map[string]map[string]*declarer.Route{}}
	for i := range routes {
		r := &routes[i]
		prefixes, ok := m.byHostname[r.Hostname]
		if !ok {
			prefixes = map[string]*declarer.Route{}
			m.byHostname[r.Hostname] = prefixes
		}
		prefixes[r.PathPrefix] = r
	}
	return m
}

// Match returns the route of the hostname with the longest prefix of the path. It
// returns false if no route matches.
func (m *Matcher) Match(hostname, path string) (*declarer.Route, bool) {
	prefixes := m.byHostname[hostname]
	if len(prefixes) == 0 {
		return nil, false
	}
	for {
		// The path prefix of a route must end with a slash, so it is enough to look up the
		// prefixes of the path that end with one.
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
