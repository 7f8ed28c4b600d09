package leaser

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// expiry is an entry of the expiry heap: a lease and the instant at which to check it.
type expiry struct {
	at    identifier.Instant
	lease *Lease
}

// expiries is a heap of expiries, the earliest first. A renewal does not update it;
// an entry moves when it reaches the front, so that a renewal needs no search.
type expiries []expiry

func (e expiries) Len() int { return len(e) }

func (e expiries) Less(i, j int) bool { return e[i].at < e[j].at }

func (e expiries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *expiries) Push(x any) { *e = append(*e, x.(expiry)) }

func (e *expiries) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = expiry{}
	*e = old[:len(old)-1]
	return last
}
