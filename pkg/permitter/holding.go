package permitter

import (
	"cmp"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Holding is how many requests of an account a host may send.
type Holding[A cmp.Ordered] struct {
	Account A
	Count   Requests
}

// Holdings returns what the host holds of the accounts of which it holds most, in that order and up to a number of
// accounts, and the total over all accounts.
func (h *Holder[A]) Holdings(now identifier.Instant, most int) ([]Holding[A], Requests) {
	h.endLapsed(now)
	var holdings []Holding[A]
	total := Requests(0)
	for id, x := range h.shares {
		if count := x.unspent() + x.earlier; count > 0 {
			holdings = append(holdings, Holding[A]{Account: id, Count: count})
			total += count
		}
	}
	slices.SortFunc(holdings, func(a, b Holding[A]) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Account, b.Account))
	})
	return holdings[:min(len(holdings), most)], total
}

// Sessions returns the number of holders whose allotments have not ended.
func (o *Allotter[A]) Sessions(now identifier.Instant) int {
	count := 0
	for _, s := range o.sessions {
		if now <= s.until {
			count++
		}
	}
	return count
}
