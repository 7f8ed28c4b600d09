// Package leaser manages the leases of backend servers.
//
// A backend server sends an announcement at least once a second. Each announcement renews its
// lease. A server whose lease has expired, or whose announced state is Draining, receives no
// new work. Announcements are ordered by incarnation, then by sequence, so a late one never
// replaces a newer one.
//
// # Usage
//
//	l := leaser.New(2 * identifier.Second)
//	changed := l.Receive(now, leaser.Announcement{Server: "s-1", Service: "desk-1"})
//	expired := l.Expire(now.Add(3 * identifier.Second))
package leaser

import (
	"container/heap"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// ServerState is the announced state of a backend server.
type ServerState uint8

// The states of a backend server.
const (
	// Serving means that the server accepts new work.
	Serving ServerState = iota
	// Starting means that the server accepts new work, but its caches are cold.
	Starting
	// Draining means that the server finishes its work and accepts no new work.
	Draining
)

// Holding is a hash range that a server holds under the partition with the given epoch, and the
// index versions that it holds for that range.
type Holding struct {
	Epoch    identifier.Epoch          `msgpack:"e" json:"epoch"`
	Range    identifier.HashRange      `msgpack:"r" json:"range"`
	Versions []identifier.IndexVersion `msgpack:"v" json:"versions"`
}

// Announcement is a backend server's description of itself.
type Announcement struct {
	Server      identifier.ServerID    `msgpack:"i"`
	Incarnation identifier.Incarnation `msgpack:"n"`
	Sequence    identifier.Sequence    `msgpack:"q"`
	Service     identifier.ServiceID   `msgpack:"s"`
	Domain      identifier.DomainID    `msgpack:"d"`
	Address     identifier.Address     `msgpack:"a"`
	Slots       identifier.Slots       `msgpack:"l"`
	Connections identifier.Connections `msgpack:"c"`
	State       ServerState            `msgpack:"t"`
	Holdings    []Holding              `msgpack:"h"`
	// Load is the reported number of running and queued requests. It may be outdated or wrong.
	Load int `msgpack:"o"`
}

// NewerThan reports whether the announcement replaces the other one.
func (a Announcement) NewerThan(other Announcement) bool {
	if a.Incarnation != other.Incarnation {
		return a.Incarnation > other.Incarnation
	}
	return a.Sequence > other.Sequence
}

// SameForRouting reports whether the announcements are equal in all fields that
// routing depends on.
func (a Announcement) SameForRouting(other Announcement) bool {
	return a.Server == other.Server &&
		a.Incarnation == other.Incarnation &&
		a.Service == other.Service &&
		a.Domain == other.Domain &&
		a.Address == other.Address &&
		a.Slots == other.Slots &&
		a.Connections == other.Connections &&
		a.State == other.State &&
		slices.EqualFunc(a.Holdings, other.Holdings, Holding.equal)
}

func (h Holding) equal(other Holding) bool {
	return h.Epoch == other.Epoch && h.Range == other.Range && slices.Equal(h.Versions, other.Versions)
}

// Lease is the lease of a server: its latest announcement and the instant at which the lease
// expires.
type Lease struct {
	Announcement Announcement
	Expires      identifier.Instant
	digest       Digest
}

// Leaser holds the leases of all known servers.
type Leaser struct {
	term   identifier.Micros
	leases map[identifier.ServerID]*Lease
	// due has one entry per lease. The entry's instant is at or before the lease's expiry.
	due expiries
}

// New returns a Leaser whose leases last for the term from each announcement.
func New(term identifier.Micros) *Leaser {
	return &Leaser{term: term, leases: map[identifier.ServerID]*Lease{}}
}

// Receive creates or renews a lease for an announcement made at the given instant. It ignores
// an announcement that is not newer than the current one. It returns true if the lease is new
// or a field that routing depends on has changed.
func (l *Leaser) Receive(at identifier.Instant, a Announcement) bool {
	known, ok := l.leases[a.Server]
	if !ok {
		lease := &Lease{Announcement: a, Expires: at.Add(l.term), digest: a.digest()}
		l.leases[a.Server] = lease
		heap.Push(&l.due, expiry{lease.Expires, lease})
		return true
	}
	if !a.NewerThan(known.Announcement) {
		return false
	}
	changed := !a.SameForRouting(known.Announcement)
	known.Announcement = a
	known.Expires = max(known.Expires, at.Add(l.term))
	if changed {
		known.digest = a.digest()
	}
	return changed
}

// Remove removes the lease of a server, if any.
func (l *Leaser) Remove(id identifier.ServerID) {
	lease, ok := l.leases[id]
	if !ok {
		return
	}
	delete(l.leases, id)
	if i := slices.IndexFunc(l.due, func(e expiry) bool { return e.lease == lease }); i >= 0 {
		heap.Remove(&l.due, i)
	}
}

// Expire removes the leases that have expired and returns their servers, sorted by id.
func (l *Leaser) Expire(at identifier.Instant) []identifier.ServerID {
	var expired []identifier.ServerID
	for l.NextExpiry() <= at && len(l.due) > 0 {
		due := heap.Pop(&l.due).(expiry)
		id := due.lease.Announcement.Server
		delete(l.leases, id)
		expired = append(expired, id)
	}
	slices.Sort(expired)
	return expired
}

// Expiry returns the instant at which the server's lease expires, or 0 if it has none.
func (l *Leaser) Expiry(id identifier.ServerID) identifier.Instant {
	if lease, ok := l.leases[id]; ok {
		return lease.Expires
	}
	return 0
}

// NextExpiry returns the earliest instant at which a lease expires, or identifier.Never.
func (l *Leaser) NextExpiry() identifier.Instant {
	for len(l.due) > 0 {
		first := &l.due[0]
		expires := first.lease.Expires
		if first.at == expires {
			return expires
		}
		// The lease has been renewed since it was queued.
		first.at = expires
		heap.Fix(&l.due, 0)
	}
	return identifier.Never
}

// Latest returns the latest announcement of a server. It returns false if the
// server has no lease.
func (l *Leaser) Latest(id identifier.ServerID) (Announcement, bool) {
	lease, ok := l.leases[id]
	if !ok {
		return Announcement{}, false
	}
	return lease.Announcement, true
}

// Announcements returns the latest announcement of every server with a lease, sorted by id.
func (l *Leaser) Announcements() []Announcement {
	list := make([]Announcement, 0, len(l.leases))
	for _, lease := range l.leases {
		list = append(list, lease.Announcement)
	}
	slices.SortFunc(list, func(a, b Announcement) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return list
}
