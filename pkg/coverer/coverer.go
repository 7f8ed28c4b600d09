// Package coverer computes the fraction of a customer's hash space that an answer covers.
//
// Coverage is measured over the hash ranges of one partition, not over the backend servers that
// answered: a range without a validated part reduces the coverage, and no range counts twice.
//
// # Usage
//
//	c := coverer.New([]identifier.HashRange{{From: 0, To: 10}, {From: 10, To: 20}})
//	c.Cover(0)
//	fmt.Println(c.Ratio(), c.Complete())
package coverer

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// Coverer tracks the hash ranges that an answer covers.
type Coverer struct {
	ranges       []identifier.HashRange
	covered      []bool
	totalWidth   identifier.HashPoint
	coveredWidth identifier.HashPoint
	missing      int
}

// New returns a Coverer for the given ranges, none of which is covered yet. The ranges
// must not overlap. Coverage is relative to their total width.
func New(ranges []identifier.HashRange) *Coverer {
	c := &Coverer{ranges: ranges, covered: make([]bool, len(ranges)), missing: len(ranges)}
	for _, r := range ranges {
		c.totalWidth += r.Width()
	}
	return c
}

// Cover marks the range at the given index as covered. It returns false if the index
// is out of range or the range is already covered.
func (c *Coverer) Cover(index int) bool {
	if index < 0 || index >= len(c.ranges) || c.covered[index] {
		return false
	}
	c.covered[index] = true
	c.coveredWidth += c.ranges[index].Width()
	c.missing--
	return true
}

// Covered reports whether the range at the given index is covered.
func (c *Coverer) Covered(index int) bool {
	return index >= 0 && index < len(c.covered) && c.covered[index]
}

// Complete reports whether all ranges are covered.
func (c *Coverer) Complete() bool {
	return c.missing == 0
}

// CoveredWidth returns the total width of the covered ranges.
func (c *Coverer) CoveredWidth() identifier.HashPoint {
	return c.coveredWidth
}

// Ratio returns the covered fraction of the total width, from 0 to 1. It is exactly 1
// if all ranges are covered, and 0 if the total width is 0.
func (c *Coverer) Ratio() identifier.Ratio {
	if c.totalWidth == 0 {
		return 0
	}
	return identifier.Ratio(c.coveredWidth) / identifier.Ratio(c.totalWidth)
}
