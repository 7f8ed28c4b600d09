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

// controlLoad is the control traffic that one entry host handles in one second.
type controlLoad struct {
	state *reducer.State
	// frames are the encoded events received from other hosts.
	frames [][]byte
	// announcements are those of the backend servers that announce to this host.
	announcements []leaser.Announcement
	now           identifier.Instant
	sent          identifier.Bytes
	received      identifier.Bytes
}

// announcementsPerSecond is the rate at which each backend server announces itself.
const announcementsPerSecond = 2

func newControlLoad(b *testing.B, hosts, servers int) *controlLoad {
	p := reducer.Parameters{Host: "host-0", Domain: "fd-0"}
	for i := range hosts - 1 {
		p.Peers = append(p.Peers, router.Host{ID: identifier.HostID(fmt.Sprintf("host-%d", i+1)), Domain: "fd-0"})
	}
	c := &controlLoad{state: reducer.New(p)}
	c.state.Reduce(0, reducer.Started{Seed: 1})
	c.state.Reduce(0, reducer.HostStarted{})
	const heartbeats = int(identifier.Second / reducer.HeartbeatInterval)
	announced := leaser.New(identifier.Second)
	renewals := make([][heartbeats][]reducer.AgedRenewal, hosts)
	for i := range servers {
		a := announcement(i)
		if i%hosts == 0 {
			c.announcements = append(c.announcements, a)
			continue
		}
		c.state.Reduce(0, reducer.ServerRelayed{From: p.Peers[i%hosts-1].ID, Announcement: a})
		announced.Receive(0, a)
		renewal, _ := announced.Renewal(a.Server)
		for k := range announcementsPerSecond {
			batch := &renewals[i%hosts][(i+k*heartbeats/announcementsPerSecond)%heartbeats]
			*batch = append(*batch, reducer.AgedRenewal{Renewal: renewal, Age: 100 * identifier.Millisecond})
		}
	}
	for heartbeat := range heartbeats {
		for i, h := range p.Peers {
			c.addFrame(b, reducer.HostHeard{Host: h.ID, Domain: h.Domain})
			if batch := renewals[i+1][heartbeat]; len(batch) > 0 {
				c.addFrame(b, reducer.RenewalsRelayed{From: h.ID, Renewals: batch})
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

func (c *controlLoad) addFrame(b *testing.B, event reducer.Event) {
	data, err := encoder.Encode(event)
	if err != nil {
		b.Fatal(err)
	}
	c.frames = append(c.frames, data)
}

// runSecond decodes and reduces the events of one second, and encodes the events that they
// cause.
func (c *controlLoad) runSecond(b *testing.B) {
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
	for i := range c.announcements {
		for range announcementsPerSecond {
			c.announcements[i].Sequence++
			c.reduce(b, reducer.ServerAnnounced{Announcement: c.announcements[i]})
		}
	}
	for range int(identifier.Second / reducer.HeartbeatInterval) {
		c.now = c.now.Add(reducer.HeartbeatInterval)
		c.reduce(b, reducer.Woken{})
	}
}

func (c *controlLoad) reduce(b *testing.B, event reducer.Event) {
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

// BenchmarkControlSecond measures the CPU time, memory and network bytes that one host spends
// on one second of control traffic, for several numbers of hosts and servers. No host or
// server joins or leaves.
func BenchmarkControlSecond(b *testing.B) {
	cases := []struct{ hosts, servers int }{{6, 98}, {6, 392}, {6, 1568}, {24, 392}, {96, 392}}
	for _, s := range cases {
		b.Run(fmt.Sprintf("hosts=%d/servers=%d", s.hosts, s.servers), func(b *testing.B) {
			c := newControlLoad(b, s.hosts, s.servers)
			c.runSecond(b)
			c.sent, c.received = 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.runSecond(b)
			}
			b.ReportMetric(float64(c.sent)/float64(b.N), "sent-B/s")
			b.ReportMetric(float64(c.received)/float64(b.N), "received-B/s")
		})
	}
}
