package reducer

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// HomesInvariant requires that a request with homes is sent only to servers in these regions.
const HomesInvariant Invariant = "within-homes"

// homes are the regions that may see a request: a list for each object that names some, such as its route and its
// customer. All lists bind; without any, all regions may see it.
type homes [][]identifier.RegionID

// newHomes returns the homes that the lists define; an empty list allows all regions.
func newHomes(lists ...[]identifier.RegionID) homes {
	var h homes
	for _, list := range lists {
		if len(list) > 0 {
			h = append(h, list)
		}
	}
	return h
}

// include reports whether the region may see the request.
func (h homes) include(region identifier.RegionID) bool {
	for _, list := range h {
		if !slices.Contains(list, region) {
			return false
		}
	}
	return true
}

// withinHomes reports whether a request may reach the servers of a failure domain. A domain without a region is in
// no home. Hosts of the domain gather parts only if it holds: a body goes to no host outside the homes, except the
// one to which the client is connected.
func (s *State) withinHomes(q *request, id identifier.DomainID) bool {
	if len(q.homes) == 0 {
		return true
	}
	d, _ := s.parameters.Duty.(EntryDuty)
	region, known := d.Regions[id]
	return known && q.homes.include(region)
}
