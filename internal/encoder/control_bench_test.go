package encoder_test

import (
	"fmt"
	"testing"

	"github.com/lagooncleat/lagooncleat/internal/encoder"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// controlSecond is the control traffic of one entry host in one second.
type controlSecond struct {
	state *reducer.State
	// frames are the encoded events that other hosts send, direct the
	// announcements that backend servers make to this host.
	frames   [][]byte
	direct   []leaser.Announcement
	now      identifier.Instant
	sent     identifier.Bytes
	received identifier.Bytes
}

// announcementRate is how many announcements a backend server makes in a second.
const announcementRate = 2

func newControlSecond(b *testing.B, hosts, servers int) *controlSecond {
	p := reducer.Parameters{Host: "host-0", Domain: "fd-0"}
	for i := range hosts - 1 {
		p.Peers = append(p.Peers, router.Host{ID: identifier.HostID(fmt.Sprintf("host-%d", i+1)), Domain: "fd-0"})
	}
	c := &controlSecond{state: reducer.New(p)}
	c.state.Reduce(0, reducer.Started{Seed: 1})
	c.state.Reduce(0, reducer.HostStarted{})
	const beats = int(identifier.Second / reducer.HeartbeatInterval)
	known := leaser.New(identifier.Second)
	renewals := make([][beats][]reducer.AgedRenewal, hosts)
	for i := range servers {
		a := announcement(i)
		if i%hosts == 0 {
			c.direct = append(c.direct, a)
			continue
		}
		c.state.Reduce(0, reducer.ServerRelayed{From: p.Peers[i%hosts-1].ID, Announcement: a})
		known.Receive(0, a)
		renewal, _ := known.Renewal(a.Server)
		for k := range announcementRate {
			batch := &renewals[i%hosts][(i+k*beats/announcementRate)%beats]
			*batch = append(*batch, reducer.AgedRenewal{Renewal: renewal, Age: 100 * identifier.Millisecond})
		}
	}
	for beat := range beats {
		for i, h := range p.Peers {
			c.receive(b, reducer.HostHeard{Host: h.ID, Domain: h.Domain})
			if batch := renewals[i+1][beat]; len(batch) > 0 {
				c.receive(b, reducer.RenewalsRelayed{From: h.ID, Renewals: batch})
			}
		}
	}
	return c
}

func announcement(i int) leaser.Announcement {
	return leaser.Announcement{
		Server: identifier.ServerID(fmt.Sprintf("server-%d", i)), Incarnation: 1, Sequence: 100000,
		Service: identifier.ServiceID(fmt.Sprintf("service-%d", i/3)), Domain: "fd-0", Address: "127.0.0.1:20001",
		Slots: 3, Connections: 30, Holdings: []leaser.Holding{{
			Epoch: 1, Range: identifier.HashRange{To: identifier.HashSpace}, Versions: []identifier.IndexVersion{1},
		}},
	}
}

func (c *controlSecond) receive(b *testing.B, event reducer.Event) {
	data, err := encoder.Encode(event)
	if err != nil {
		b.Fatal(err)
	}
	c.frames = append(c.frames, data)
}

// play reduces, encodes and decodes what one second brings.
func (c *controlSecond) play(b *testing.B) {
	for _, data := range c.frames {
		event, err := encoder.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		if r, ok := event.(reducer.RenewalsRelayed); ok {
			for i := range r.Renewals {
				r.Renewals[i].Sequence += identifier.Sequence(c.now) + 1
			}
			r.Stamp.Sent = c.now
			event = r
		}
		c.received += identifier.Bytes(len(data))
		c.reduce(b, event)
	}
	for i := range c.direct {
		for range announcementRate {
			c.direct[i].Sequence++
			c.reduce(b, reducer.ServerAnnounced{Announcement: c.direct[i]})
		}
	}
	for range int(identifier.Second / reducer.HeartbeatInterval) {
		c.now = c.now.Add(reducer.HeartbeatInterval)
		c.reduce(b, reducer.Woken{})
	}
}

func (c *controlSecond) reduce(b *testing.B, event reducer.Event) {
	for _, effect := range c.state.Reduce(c.now, event) {
		if s, ok := effect.(reducer.Send); ok && s.To != "host-0" {
			data, err := encoder.Encode(s.Event)
			if err != nil {
				b.Fatal(err)
			}
			c.sent += identifier.Bytes(len(data))
		}
	}
}

// BenchmarkControlSecond gives the processor time, memory and bytes that control
// takes in one second on one of so many hosts with so many servers, all steady.
func BenchmarkControlSecond(b *testing.B) {
	cases := []struct{ hosts, servers int }{{6, 98}, {6, 392}, {6, 1568}, {24, 392}, {96, 392}}
	for _, s := range cases {
		b.Run(fmt.Sprintf("hosts=%d/servers=%d", s.hosts, s.servers), func(b *testing.B) {
			c := newControlSecond(b, s.hosts, s.servers)
			c.play(b)
			c.sent, c.received = 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.play(b)
			}
			b.ReportMetric(float64(c.sent)/float64(b.N), "sent-B/s")
			b.ReportMetric(float64(c.received)/float64(b.N), "received-B/s")
		})
	}
}
