// Package coverer counts which share of a customer's hash space an answer covers.
//
// Coverage is measured over the hash ranges of one partitioning, not over the
// backend servers that were heard from: a range without a validated part leaves
// a hole that counts, and no range counts twice.
//
// # Usage
//
//	c := coverer.New([]identifier.HashRange{{From: 0, To: 10}, {From: 10, To: 20}})
//	c.Cover(0)
//	fmt.Println(c.Ratio(), c.Complete())
package coverer

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// Coverer tracks the covered ranges of one answer.
type Coverer struct {
	ranges  []identifier.HashRange
	covered []bool
	total   identifier.HashPoint
	sum     identifier.HashPoint
	missing int
}

// New returns a Coverer for the given ranges, none of them covered. The ranges
// must not overlap; they are the denominator of the coverage.
func New(ranges []identifier.HashRange) *Coverer {
	c := &Coverer{ranges: ranges, covered: make([]bool, len(ranges)), missing: len(ranges)}
	for _, r := range ranges {
		c.total += r.Width()
	}
	return c
}

// Cover marks the range at the index as covered. It reports false when the
// index names no range or the range was covered before.
func (c *Coverer) Cover(index int) bool {
	if index < 0 || index >= len(c.ranges) || c.covered[index] {
		return false
	}
	c.covered[index] = true
	c.sum += c.ranges[index].Width()
	c.missing--
	return true
}

// Covered reports whether the range at the index has been covered.
func (c *Coverer) Covered(index int) bool {
	return index >= 0 && index < len(c.covered) && c.covered[index]
}

// Complete reports whether every range has been covered.
func (c *Coverer) Complete() bool {
	return c.missing == 0
}

// Width returns the sum of the covered ranges.
func (c *Coverer) Width() identifier.HashPoint {
	return c.sum
}

// Ratio returns the covered share of the denominator, from 0 to 1. It is exactly
// 1 when all ranges are covered and 0 when there are none.
func (c *Coverer) Ratio() identifier.Ratio {
	if c.total == 0 {
		return 0
	}
	return identifier.Ratio(c.sum) / identifier.Ratio(c.total)
}
