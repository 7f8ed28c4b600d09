package reducer_test

import (
	"fmt"
	"testing"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// pollersOf returns the entry hosts of a failure domain.
func pollersOf(domainIndex, count int) []router.Host {
	hosts := make([]router.Host, count)
	for i := range hosts {
		hosts[i] = router.Host{ID: identifier.HostID(fmt.Sprintf("10.%d.%d.%d:7160", domainIndex, i/250, i%250)), Domain: domain(domainIndex)}
	}
	return hosts
}

// BenchmarkServerListAnswer measures what a control host of three spends on its subscribers: one poll without
// changes, one notification of all subscribers of a change, and the answer with the whole list.
func BenchmarkServerListAnswer(b *testing.B) {
	for _, size := range []struct{ hosts, servers int }{{30, 60}, {100, 190}, {300, 560}} {
		s := reducer.New(reducer.Parameters{
			Host: controlName(0), Domain: domain(0), Interpreter: parseDeclaration,
			Duty: reducer.ControlDuty{Seeds: []identifier.HostID{controlName(0), controlName(1), controlName(2)}, Announcements: controlAddress(0), AnnouncementInterval: identifier.Second},
		})
		now := identifier.Instant(identifier.Second)
		s.Reduce(now, reducer.Started{Seed: 1})
		s.Reduce(now, reducer.HostStarted{})
		subscribers := pollersOf(0, size.hosts/3)
		for i := 1; i < 3; i++ {
			s.Reduce(now, reducer.HostHeard{Host: controlName(i), Domain: domain(i)})
			s.Reduce(now, reducer.SubscribersSent{From: controlName(i), Subscribers: pollersOf(i, size.hosts/3)})
		}
		announcements := make([]leaser.Announcement, size.servers)
		for i := range announcements {
			announcements[i] = leaser.Announcement{
				Server: identifier.ServerID(fmt.Sprintf("server-%d", i)), Incarnation: 1, Sequence: 1,
				Service: identifier.ServiceID(fmt.Sprintf("service-%d", i/3)), Domain: domain(i % 3),
				Address: identifier.Address(fmt.Sprintf("10.9.%d.%d:8000", i/250, i%250)), Slots: 3, Connections: 30,
			}
			s.Reduce(now, reducer.ServerRelayed{From: controlName(1), Announcement: announcements[i]})
		}
		var held reducer.ServerListPosition
		poll := func(h router.Host, p reducer.ServerListPosition) {
			for _, effect := range s.Reduce(now, reducer.ServerListRequested{Host: h.ID, Domain: h.Domain, Held: p, Subscribes: true}) {
				if e, ok := effect.(reducer.Send); ok {
					if sent, ok := e.Event.(reducer.ServerListSent); ok {
						held = sent.Position
					}
				}
			}
		}
		for _, h := range subscribers {
			poll(h, held)
		}
		name := fmt.Sprintf("hosts=%d/servers=%d", size.hosts, size.servers)
		b.Run("poll/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				poll(subscribers[i%len(subscribers)], held)
			}
		})
		b.Run("whole/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				poll(subscribers[i%len(subscribers)], reducer.ServerListPosition{})
			}
		})
		b.Run("notify/"+name, func(b *testing.B) {
			b.ReportAllocs()
			sent := 0
			for i := range b.N {
				now = now.Add(reducer.NotificationInterval)
				a := &announcements[i%size.servers]
				a.Incarnation++
				if i%10 == 0 {
					b.StopTimer()
					for _, h := range subscribers {
						poll(h, held)
					}
					b.StartTimer()
				}
				sent += len(s.Reduce(now, reducer.Woken{}))
				sent += len(s.Reduce(now, reducer.ServerRelayed{From: controlName(1), Announcement: *a}))
			}
			b.ReportMetric(float64(sent)/float64(b.N), "effects/op")
		})
	}
}
