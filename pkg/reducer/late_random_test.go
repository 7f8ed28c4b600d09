package reducer_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

const (
	// maxLateness is how late a copy of a message is at most.
	maxLateness = 20 * identifier.Second
	// endLateness is by how much the end of a connection is later than what its sender does next, at most.
	endLateness = 90 * identifier.Millisecond
	// drainTime is how long a server runs on after its leave was acknowledged.
	drainTime = 3 * identifier.Second
)

// lateRun is a small fleet with an operator and backend servers that give up on hosts and go on elsewhere, and a network
// that delivers copies of all messages late.
type lateRun struct {
	*smallFleet
	random *rand.Rand
	// acknowledged holds, for each domain whose last order was acknowledged, whether it is evacuated.
	acknowledged map[identifier.DomainID]bool
	servers      []*lateServer
	// events counts the events that the hosts receive, and copies those that are late copies.
	events, copies int
}

// lateServer is a backend server that announces itself while it runs and isn't leaving.
type lateServer struct {
	announcement leaser.Announcement
	running      bool
	// left is set once the leave of the incarnation was acknowledged.
	left bool
}

func newLateRun(seed uint64) *lateRun {
	r := &lateRun{smallFleet: newSmallFleet(), random: rand.New(rand.NewPCG(seed, 39)), acknowledged: map[identifier.DomainID]bool{}}
	r.declare(0, declarationSource(1, "desk"))
	for i := range 4 {
		a := announcement(identifier.ServerID(fmt.Sprintf("s-%d", i)), 1, 0)
		a.Domain = domain(i)
		b := &lateServer{announcement: a, running: true}
		r.servers = append(r.servers, b)
		r.announceRegularly(b)
	}
	r.onReceive = func(id identifier.HostID, e reducer.Event) {
		r.events++
		switch e.(type) {
		case reducer.WithdrawalRelayed, reducer.ServerRelayed, reducer.RenewalsRelayed, reducer.AnnouncementsWanted,
			reducer.ServerListSent, reducer.ServerListRequested, reducer.SubscribersSent, reducer.HostHeard, reducer.ServersStated, reducer.OperationForwarded, reducer.OperationAnswered, reducer.OperationRedirected, reducer.ReplicaMessaged:
			if r.random.IntN(20) == 0 {
				r.deliverLate(func() { r.reduce(id, e) })
			}
		}
	}
	r.run(2 * identifier.Second)
	return r
}

func (r *lateRun) deliverLate(deliver func()) {
	r.copies++
	r.schedule(r.now.Add(identifier.Micros(r.random.Int64N(int64(maxLateness)))), deliver)
}

// deliverOrderLate delivers a copy of an order late. A copy without the end of its connection is of a sender that has waited
// for an answer in vain; the host knows how long ago the connection was made.
func (r *lateRun) deliverOrderLate(host identifier.HostID, event reducer.Event, gone bool) {
	r.copies++
	lateness := identifier.Micros(r.random.Int64N(int64(maxLateness)))
	if !gone {
		lateness = max(lateness, reducer.OrderTimeout)
	}
	switch e := event.(type) {
	case reducer.EvacuationRequested:
		e.Age = lateness
		event = e
	case reducer.ServerWithdrawn:
		e.Age = lateness
		event = e
	}
	r.schedule(r.now.Add(lateness), func() { r.reduce(host, event) })
}

// announceRegularly has a server announce itself each second. Some announcements are delivered again, late, at any host.
func (r *lateRun) announceRegularly(b *lateServer) {
	r.schedule(r.now.Add(identifier.Second), func() {
		if b.running {
			b.announcement.Sequence++
			r.sendAnnouncement(r.random.IntN(3), b.announcement)
		}
		r.announceRegularly(b)
	})
}

func (r *lateRun) sendAnnouncement(control int, a leaser.Announcement) {
	for i := range 3 {
		if n := (control + i) % 3; !r.frozen[controlName(n)] && !r.isolated[controlName(n)] {
			r.ticket++
			r.reduce(controlName(n), reducer.ServerAnnounced{Ticket: r.ticket, Announcement: a})
			break
		}
	}
	if r.random.IntN(4) == 0 {
		host := controlName(r.random.IntN(3))
		r.deliverLate(func() { r.reduce(host, reducer.ServerAnnounced{Ticket: reducer.Ticket(1 << 40), Announcement: a}) })
	}
}

// call sends an order to one control host after the other until one acknowledges it. The sender gives up on a host after a
// second; the end of its connection arrives up to endLateness later. A copy of each order arrives late at any host.
func (r *lateRun) call(order func(reducer.Ticket) reducer.Event, isAcknowledged func(reducer.Ticket) (answered, acknowledged bool)) bool {
	first := r.random.IntN(3)
	for i := range 4 {
		r.ticket++
		t := r.ticket
		if r.random.IntN(3) == 0 {
			host, late := controlName(r.random.IntN(3)), t+1<<32
			// The end of the connection of every other copy never arrives.
			r.gone[late] = r.random.IntN(2) == 0
			r.deliverOrderLate(host, order(late), r.gone[late])
		}
		r.reduce(controlName((first+i)%3), order(t))
		for end := r.now.Add(leaveTimeout); r.now < end; r.run(5 * identifier.Millisecond) {
			if answered, acknowledged := isAcknowledged(t); acknowledged {
				return true
			} else if answered {
				break
			}
		}
		r.schedule(r.now.Add(identifier.Micros(r.random.Int64N(int64(endLateness)))), func() { r.gone[t] = true })
	}
	return false
}

// order begins or ends the evacuation of a domain.
func (r *lateRun) order(d identifier.DomainID, ended bool) {
	delete(r.acknowledged, d)
	if r.call(func(t reducer.Ticket) reducer.Event {
		return reducer.EvacuationRequested{Ticket: t, Domain: d, Ended: ended}
	}, func(t reducer.Ticket) (bool, bool) {
		reply, ok := r.replies[t]
		return ok, ok && reply.Reply == (reducer.Committed{})
	}) {
		r.acknowledged[d] = !ended
	}
}

// leave has a server leave, by a withdrawal or a draining announcement.
func (r *lateRun) leave(b *lateServer) {
	b.running = false
	event := func(t reducer.Ticket) reducer.Event {
		return reducer.ServerWithdrawn{Ticket: t, Server: b.announcement.Server}
	}
	if r.random.IntN(2) == 0 {
		b.announcement.Sequence++
		draining := b.announcement
		draining.State = leaser.Draining
		event = func(t reducer.Ticket) reducer.Event {
			return reducer.ServerAnnounced{Ticket: t, Announcement: draining}
		}
	}
	b.left = r.call(event, func(t reducer.Ticket) (bool, bool) {
		grant, ok := r.grants[t]
		return ok, ok && !grant.Declined
	})
}

// restart starts a server again under its ID, after its drain time if it has left.
func (r *lateRun) restart(b *lateServer) {
	b.running = false
	r.run(drainTime)
	b.announcement.Incarnation++
	b.announcement.Sequence, b.running, b.left = 0, true, false
	b.announcement.State = leaser.Serving
}

// check expects on all hosts that what was acknowledged stands, and that the servers that run are in use.
func (r *lateRun) check() {
	for d, evacuated := range r.acknowledged {
		r.expectEvacuated(d, evacuated)
	}
	for i := range 3 {
		listed := r.backends(i)
		for _, b := range r.servers {
			silent, ok := listed[b.announcement.Server]
			switch {
			case b.left:
				gomega.Expect(ok).To(gomega.BeFalse(), "%s left, and is in use on host %d at %d", b.announcement.Server, i, r.now)
			case b.running:
				gomega.Expect(ok && !silent).To(gomega.BeTrue(), "%s runs, and isn't in use on host %d at %d", b.announcement.Server, i, r.now)
			}
		}
	}
}

// Guards against messages that are handled late and undo what was acknowledged since their senders gave up.
var _ = ginkgo.Describe("late copies of all messages", func() {
	for seed := *firstSeed; seed < *firstSeed+max(*seeds, 1); seed++ {
		ginkgo.It(fmt.Sprintf("undo nothing that was acknowledged, with seed %d", seed), func() {
			r := newLateRun(seed)
			faults := []string{"freeze", "freeze", "cut", "wait", "kill"}
			for range 30 {
				r.do(fmt.Sprint(faults[r.random.IntN(len(faults))], " ", r.random.IntN(3)))
				for range 1 + r.random.IntN(3) {
					b := r.servers[r.random.IntN(len(r.servers))]
					switch {
					case r.random.IntN(2) == 0:
						d := domain(r.random.IntN(3))
						for range 1 + r.random.IntN(3) {
							r.order(d, r.random.IntN(2) == 0)
						}
					case b.running:
						r.leave(b)
					default:
						r.restart(b)
					}
				}
				r.run(identifier.Micros(r.random.Int64N(int64(2 * identifier.Second))))
				r.do("heal")
				r.run(contactPeriod)
				r.check()
			}
			ginkgo.GinkgoWriter.Printf("%d events, %d late copies\n", r.events, r.copies)
			gomega.Expect(r.copies).To(gomega.BeNumerically(">", 100))
		})
	}
})
