package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// pair is two entry hosts that reach each other at once, unless the way from
// the first to the second loses what is sent.
type pair struct {
	now    identifier.Instant
	states map[identifier.HostID]*reducer.State
	views  map[identifier.HostID]*reducer.View
	// sent counts the whole announcements on their way from h-1 to h-2.
	sent  int
	lossy bool
}

func newPair() *pair {
	p := &pair{states: map[identifier.HostID]*reducer.State{}, views: map[identifier.HostID]*reducer.View{}}
	hosts := []router.Host{{ID: "h-1", Domain: "fd-1"}, {ID: "h-2", Domain: "fd-2"}}
	for i, h := range hosts {
		p.states[h.ID] = reducer.New(reducer.Parameters{
			Host: h.ID, Domain: h.Domain, Strict: true, Peers: hosts[1-i : 2-i],
		})
		p.views[h.ID] = &reducer.View{}
		p.reduce(h.ID, reducer.Started{Seed: uint64(i)})
		p.reduce(h.ID, reducer.HostStarted{})
	}
	return p
}

func (p *pair) reduce(host identifier.HostID, event reducer.Event) {
	effects := append([]reducer.Effect{}, p.states[host].Reduce(p.now, event)...)
	for _, effect := range effects {
		switch e := effect.(type) {
		case reducer.PublishView:
			p.views[host] = e.View
			p.reduce(host, reducer.ViewPublished{View: e.View})
		case reducer.Send:
			p.deliver(host, e)
		}
	}
}

func (p *pair) deliver(from identifier.HostID, e reducer.Send) {
	if _, whole := e.Event.(reducer.ServerRelayed); whole {
		p.sent++
	}
	if p.lossy && from != e.To {
		return
	}
	if p.states[e.To] != nil {
		p.reduce(e.To, e.Event)
	}
}

// pass lets time pass; every step wakes both hosts.
func (p *pair) pass(span identifier.Micros) {
	const step = 50 * identifier.Millisecond
	for end := p.now.Add(span); p.now < end; {
		p.now = p.now.Add(step)
		p.reduce("h-1", reducer.Woken{})
		p.reduce("h-2", reducer.Woken{})
	}
}

// announce lets the server announce itself to h-1.
func (p *pair) announce(sequence identifier.Sequence, state leaser.ServerState) {
	p.reduce("h-1", reducer.ServerAnnounced{Announcement: leaser.Announcement{
		Server: "s-1", Incarnation: 1, Sequence: sequence, Service: "desk", Domain: "fd-2", State: state,
	}})
}

// lose lets the server announce itself to h-1 while nothing reaches h-2.
func (p *pair) lose(sequence identifier.Sequence, state leaser.ServerState) {
	p.lossy = true
	p.announce(sequence, state)
	p.lossy = false
}

var _ = ginkgo.Describe("renewals", func() {
	const second = identifier.Second
	cases := []struct {
		name string
		play func(*pair)
		// sent is how many whole announcements were needed.
		sent  int
		known bool
		state leaser.ServerState
	}{
		{"keep a lease on the other host", func(p *pair) {
			for i := range identifier.Sequence(10) {
				p.announce(i+1, leaser.Serving)
				p.pass(second / 2)
			}
		}, 1, true, leaser.Serving},
		{"stop, and the lease lapses", func(p *pair) {
			p.announce(1, leaser.Serving)
			p.announce(2, leaser.Serving)
			p.pass(reducer.LeaseTerm + reducer.ExpiryInterval)
		}, 1, false, leaser.Serving},
		{"bring a change at once", func(p *pair) {
			p.announce(1, leaser.Serving)
			p.announce(2, leaser.Draining)
		}, 2, true, leaser.Draining},
		{"bring what was lost", func(p *pair) {
			p.lose(1, leaser.Serving)
			p.announce(2, leaser.Serving)
			p.pass(second / 4)
		}, 2, true, leaser.Serving},
		{"bring a change that was lost", func(p *pair) {
			p.announce(1, leaser.Serving)
			p.lose(2, leaser.Draining)
			p.announce(3, leaser.Draining)
			p.pass(second / 4)
		}, 3, true, leaser.Draining},
		{"never extend a lease whose change was lost", func(p *pair) {
			p.announce(1, leaser.Serving)
			p.lossy = true
			p.announce(2, leaser.Draining)
			for i := range identifier.Sequence(4) {
				p.announce(i+3, leaser.Draining)
				p.pass(second / 2)
			}
		}, 2, false, leaser.Draining},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			p := newPair()
			p.pass(second)
			c.play(p)
			server, known := p.views["h-2"].Servers["s-1"]
			gomega.Expect(known).To(gomega.Equal(c.known))
			if known {
				gomega.Expect(server.State).To(gomega.Equal(c.state))
			}
			gomega.Expect(p.sent).To(gomega.Equal(c.sent))
		})
	}
})
