package reducer_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// hostPair is two entry hosts that reach each other without delay, unless dropMessages is set.
type hostPair struct {
	now    identifier.Instant
	states map[identifier.HostID]*reducer.State
	views  map[identifier.HostID]*reducer.View
	// fullAnnouncements counts the full announcements sent between the hosts, dropped ones included.
	fullAnnouncements int
	dropMessages      bool
}

func newHostPair() *hostPair {
	p := &hostPair{states: map[identifier.HostID]*reducer.State{}, views: map[identifier.HostID]*reducer.View{}}
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

func (p *hostPair) reduce(host identifier.HostID, event reducer.Event) {
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

func (p *hostPair) deliver(from identifier.HostID, e reducer.Send) {
	if _, full := e.Event.(reducer.ServerRelayed); full {
		p.fullAnnouncements++
	}
	if p.dropMessages && from != e.To {
		return
	}
	if p.states[e.To] != nil {
		p.reduce(e.To, e.Event)
	}
}

// advance advances the clock in steps, each of which wakes both hosts.
func (p *hostPair) advance(duration identifier.Micros) {
	const step = 50 * identifier.Millisecond
	for end := p.now.Add(duration); p.now < end; {
		p.now = p.now.Add(step)
		p.reduce("h-1", reducer.Woken{})
		p.reduce("h-2", reducer.Woken{})
	}
}

// announce announces the server to h-1.
func (p *hostPair) announce(sequence identifier.Sequence, state leaser.ServerState) {
	p.reduce("h-1", reducer.ServerAnnounced{Announcement: leaser.Announcement{
		Server: "s-1", Incarnation: 1, Sequence: sequence, Service: "desk", Domain: "fd-2", State: state,
	}})
}

// announceLost announces the server to h-1 and drops the messages that result.
func (p *hostPair) announceLost(sequence identifier.Sequence, state leaser.ServerState) {
	p.dropMessages = true
	p.announce(sequence, state)
	p.dropMessages = false
}

var _ = ginkgo.Describe("renewals", func() {
	const second = identifier.Second
	cases := []struct {
		name  string
		steps func(*hostPair)
		// fullAnnouncements is how many full announcements were sent.
		fullAnnouncements int
		known             bool
		state             leaser.ServerState
	}{
		{"keep a lease on the other host", func(p *hostPair) {
			for i := range identifier.Sequence(10) {
				p.announce(i+1, leaser.Serving)
				p.advance(second / 2)
			}
		}, 1, true, leaser.Serving},
		{"stop, and the lease lapses", func(p *hostPair) {
			p.announce(1, leaser.Serving)
			p.announce(2, leaser.Serving)
			p.advance(reducer.LeaseTerm + reducer.ExpiryInterval)
		}, 1, false, leaser.Serving},
		{"deliver a change at once", func(p *hostPair) {
			p.announce(1, leaser.Serving)
			p.announce(2, leaser.Draining)
		}, 2, true, leaser.Draining},
		{"recover a lost announcement", func(p *hostPair) {
			p.announceLost(1, leaser.Serving)
			p.announce(2, leaser.Serving)
			p.advance(second / 4)
		}, 2, true, leaser.Serving},
		{"recover a change that was lost", func(p *hostPair) {
			p.announce(1, leaser.Serving)
			p.announceLost(2, leaser.Draining)
			p.announce(3, leaser.Draining)
			p.advance(second / 4)
		}, 3, true, leaser.Draining},
		{"never extend a lease whose change was lost", func(p *hostPair) {
			p.announce(1, leaser.Serving)
			p.dropMessages = true
			p.announce(2, leaser.Draining)
			for i := range identifier.Sequence(4) {
				p.announce(i+3, leaser.Draining)
				p.advance(second / 2)
			}
		}, 2, false, leaser.Draining},
	}
	for _, c := range cases {
		ginkgo.It(c.name, func() {
			p := newHostPair()
			p.advance(second)
			c.steps(p)
			server, known := p.views["h-2"].Servers["s-1"]
			gomega.Expect(known).To(gomega.Equal(c.known))
			if known {
				gomega.Expect(server.State).To(gomega.Equal(c.state))
			}
			gomega.Expect(p.fullAnnouncements).To(gomega.Equal(c.fullAnnouncements))
		})
	}
})
