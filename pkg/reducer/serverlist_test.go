package reducer_test

import (
	"container/heap"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// smallFleetHost is a host of a small fleet in virtual time.
type smallFleetHost struct {
	parameters reducer.Parameters
	state      *reducer.State
	wake       identifier.Instant
	// records and serverList are stored on the host's disk; replica identifies the disk.
	records    []replicator.Record
	serverList reducer.ServerListSnapshot
	replica    identifier.ReplicaID
	view       *reducer.View
	running    bool
}

// smallFleet is a fleet of control hosts and entry hosts, one of each in each of three failure
// domains.
type smallFleet struct {
	now   identifier.Instant
	order uint64
	queue actionQueue
	hosts map[identifier.HostID]*smallFleetHost
	// isolated are the hosts that can reach no other host.
	isolated map[identifier.HostID]bool
	// frozen are the hosts that handle no event; deferred holds the events that wait until they thaw.
	frozen   map[identifier.HostID]bool
	deferred map[identifier.HostID][]reducer.Event
	grants   map[reducer.Ticket]reducer.GrantLease
	replies  map[reducer.Ticket]reducer.ReplyOperator
	// gone are the tickets of the orders whose senders no longer wait.
	gone map[reducer.Ticket]bool
	// outcomes holds the outcome of each client's request.
	outcomes map[identifier.RequestID]reducer.RequestOutcome
	ticket   reducer.Ticket
	// processes counts the processes that have started.
	processes uint64
	// earlierVersion is a host that doesn't name its processes.
	earlierVersion identifier.HostID
	// exchange simulates the backend servers; without it attempts get no answer.
	exchange func(id identifier.HostID, e reducer.Exchange)
	// onReceive, if set, is called with each event that a host receives, and onEffect with each effect.
	onReceive func(id identifier.HostID, e reducer.Event)
	onEffect  func(id identifier.HostID, e reducer.Effect)
}

// hostLatency is the time of a message between hosts, and syncLatency that of a sync to disk.
const (
	hostLatency = 1 * identifier.Millisecond
	syncLatency = 1 * identifier.Millisecond
)

// extraAttemptLimits limits the attempts of the entry hosts beyond first attempts.
var extraAttemptLimits = reducer.ExtraAttempts{Share: 0.2, Slack: 60, Window: 10 * identifier.Second}

func controlName(i int) identifier.HostID {
	return identifier.HostID(fmt.Sprintf("10.0.%d.1:70", i))
}

func entryName(i int) identifier.HostID {
	return identifier.HostID(fmt.Sprintf("10.0.%d.2:70", i))
}

func controlAddress(i int) identifier.Address {
	return identifier.Address(fmt.Sprintf("10.0.%d.1:80", i))
}

// parseDeclaration parses a text that holds a version, the names of the shards' services, separated by
// commas, and optionally the minimum coverage, which is 1 by default.
func parseDeclaration(text []byte) (*declarer.Declaration, error) {
	var d declarer.Declaration
	var services string
	coverage := 1.0
	if n, err := fmt.Sscanf(string(text), "%d %s %g", &d.Version, &services, &coverage); n < 2 {
		return nil, errors.Join(errors.New("not a declaration"), err)
	}
	var shards []identifier.ServiceID
	for service := range strings.SplitSeq(services, ",") {
		shards = append(shards, identifier.ServiceID(service))
		d.Services = append(d.Services, declarer.Service{ID: identifier.ServiceID(service), MaxConnections: 10})
	}
	d.Routes = []declarer.Route{{
		ID: "search", Hostname: "a.example", PathPrefix: "/", Repeatable: true, Timeout: identifier.Second,
		TargetLatency: 100 * identifier.Millisecond, MaxAttempts: 2, Shards: shards,
		TopK: 2, MinCoverage: identifier.Ratio(coverage),
	}}
	return &d, nil
}

func declarationSource(version identifier.Version, service string) declarer.Source {
	packed, err := declarer.NewSource(version, fmt.Appendf(nil, "%d %s", version, service))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return packed
}

func newSmallFleet() *smallFleet {
	f := &smallFleet{
		// A process that started at 0 would look like none in a position of its list.
		now:   identifier.Instant(identifier.Second),
		hosts: map[identifier.HostID]*smallFleetHost{}, isolated: map[identifier.HostID]bool{},
		frozen: map[identifier.HostID]bool{}, deferred: map[identifier.HostID][]reducer.Event{},
		grants: map[reducer.Ticket]reducer.GrantLease{}, replies: map[reducer.Ticket]reducer.ReplyOperator{},
		outcomes: map[identifier.RequestID]reducer.RequestOutcome{}, gone: map[reducer.Ticket]bool{},
	}
	seeds := []identifier.HostID{controlName(0), controlName(1), controlName(2)}
	for i := range 3 {
		f.addHost(controlName(i), i, reducer.ControlDuty{
			Seeds: seeds, Founder: true, Announcements: controlAddress(i), AnnouncementInterval: identifier.Second,
			ExtraAttempts: extraAttemptLimits,
		})
		f.addHost(entryName(i), i, reducer.EntryDuty{Seeds: seeds, ExtraAttempts: extraAttemptLimits})
	}
	f.run(5 * identifier.Second)
	return f
}

func (f *smallFleet) addHost(id identifier.HostID, domainIndex int, duty reducer.Duty) {
	h := &smallFleetHost{
		parameters: reducer.Parameters{Host: id, Domain: domain(domainIndex), Duty: duty, Interpreter: parseDeclaration, Strict: true},
		replica:    identifier.ReplicaID(len(f.hosts) + 1),
	}
	f.hosts[id] = h
	f.start(id)
}

// start starts a host with the contents of its disk.
func (f *smallFleet) start(id identifier.HostID) {
	h := f.hosts[id]
	f.processes++
	h.parameters.Process = identifier.NewProcessID(f.now, f.processes)
	if id == f.earlierVersion {
		h.parameters.Process = 0
	}
	h.state, h.wake, h.view, h.running = reducer.New(h.parameters), identifier.Never, &reducer.View{}, true
	f.reduce(id, reducer.Started{Seed: uint64(f.now) + uint64(h.replica)})
	f.reduce(id, reducer.HostStarted{})
	if _, ok := h.parameters.Duty.(reducer.ControlDuty); ok {
		stored, err := replicator.Rebuild[reducer.ControlSnapshot](h.records)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.reduce(id, reducer.LogRecovered{Replica: h.replica, Stored: stored, Roster: h.serverList})
	}
}

// stop kills a host; if wiped is set, its disk is lost as well.
func (f *smallFleet) stop(id identifier.HostID, wiped bool) {
	h := f.hosts[id]
	h.running = false
	if wiped {
		h.records, h.serverList = nil, reducer.ServerListSnapshot{}
		h.replica += 100
	}
}

// restart restarts the control host and the entry host of each of the failure domains.
func (f *smallFleet) restart(domains ...int) {
	for _, i := range domains {
		f.stop(controlName(i), false)
		f.stop(entryName(i), false)
	}
	for _, i := range domains {
		f.start(controlName(i))
		f.start(entryName(i))
	}
	f.run(300 * identifier.Millisecond)
}

// startEntries starts the entry hosts.
func (f *smallFleet) startEntries() {
	for i := range 3 {
		f.start(entryName(i))
	}
}

// thaw lets a frozen host handle the events that have waited.
func (f *smallFleet) thaw(id identifier.HostID) {
	f.frozen[id] = false
	events := f.deferred[id]
	f.deferred[id] = nil
	for _, e := range events {
		f.reduce(id, e)
	}
}

func (f *smallFleet) schedule(instant identifier.Instant, action func()) {
	f.order++
	heap.Push(&f.queue, scheduledAction{at: instant, order: f.order, action: action})
}

func (f *smallFleet) run(duration identifier.Micros) {
	end := f.now.Add(duration)
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(scheduledAction)
		f.now = max(f.now, next.at)
		next.action()
	}
	f.now = end
}

func (f *smallFleet) reduce(id identifier.HostID, event reducer.Event) {
	h := f.hosts[id]
	if h == nil || !h.running {
		return
	}
	if f.frozen[id] {
		f.deferred[id] = append(f.deferred[id], event)
		return
	}
	if f.onReceive != nil {
		f.onReceive(id, event)
	}
	state := h.state
	for _, effect := range slices.Clone(state.Reduce(f.now, event)) {
		if f.onEffect != nil {
			f.onEffect(id, effect)
		}
		switch e := effect.(type) {
		case reducer.Wake:
			f.schedule(e.At, func() {
				if h.running && h.state == state {
					f.reduce(id, reducer.Woken{})
				}
			})
		case reducer.Send:
			f.send(id, e)
		case reducer.StoreRecords:
			f.schedule(f.now.Add(syncLatency), func() {
				if h.state == state && h.running {
					h.records = append(h.records, e.Records...)
					f.reduce(id, reducer.RecordsStored{Sequence: e.Sequence})
				}
			})
		case reducer.StoreServerList:
			f.schedule(f.now.Add(syncLatency), func() {
				if h.state == state && h.running {
					h.serverList = e.Snapshot
				}
			})
		case reducer.Exchange:
			if f.exchange != nil {
				f.exchange(id, e)
			}
		case reducer.PublishView:
			h.view = e.View
			f.schedule(f.now, func() {
				if h.state == state {
					f.reduce(id, reducer.ViewPublished{View: e.View})
				}
			})
		case reducer.GrantLease:
			f.grants[e.Ticket] = e
		case reducer.ConfirmCaller:
			f.schedule(f.now, func() {
				if h.state == state {
					f.reduce(id, reducer.CallerConfirmed{Ticket: e.Ticket, Waiting: !f.gone[e.Ticket]})
				}
			})
		case reducer.ReplyOperator:
			f.replies[e.Ticket] = e
		case reducer.ReplyRequest:
			f.outcomes[e.Request] = e.Outcome
		}
	}
}

func (f *smallFleet) send(from identifier.HostID, e reducer.Send) {
	latency := hostLatency
	if e.To == from {
		latency = 0
	}
	f.schedule(f.now.Add(latency), func() {
		if e.To == from || (!f.isolated[from] && !f.isolated[e.To]) {
			f.reduce(e.To, e.Event)
		}
	})
}

// submit sends an event with a new ticket to a host and waits for the answer.
func (f *smallFleet) submit(id identifier.HostID, event func(reducer.Ticket) reducer.Event) reducer.Ticket {
	f.ticket++
	f.reduce(id, event(f.ticket))
	f.run(2 * identifier.Second)
	return f.ticket
}

func (f *smallFleet) declare(i int, s declarer.Source) reducer.Answer {
	t := f.submit(controlName(i), func(t reducer.Ticket) reducer.Event {
		return reducer.DeclarationRequested{Ticket: t, Source: s}
	})
	return f.replies[t].Reply
}

// readDeclaration returns the version and text of the declaration that a control host reads.
func (f *smallFleet) readDeclaration(i int) (identifier.Version, string) {
	t := f.submit(controlName(i), func(t reducer.Ticket) reducer.Event { return reducer.DeclarationReadRequested{Ticket: t} })
	found, ok := f.replies[t].Reply.(reducer.DeclarationFound)
	if !ok || found.Source == nil {
		return 0, ""
	}
	text, err := found.Source.Text()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return found.Version, string(text)
}

func (f *smallFleet) announce(i int, a leaser.Announcement) reducer.GrantLease {
	t := f.ticket + 1
	f.ticket = t
	f.reduce(controlName(i), reducer.ServerAnnounced{Ticket: t, Announcement: a})
	f.run(50 * identifier.Millisecond)
	return f.grants[t]
}

// announceOvertaken announces a server and returns, for each entry host, changes without it of the revision before.
func (f *smallFleet) announceOvertaken(a leaser.Announcement) map[identifier.HostID]reducer.ServerListSent {
	overtaken := map[identifier.HostID]reducer.ServerListSent{}
	f.onReceive = func(id identifier.HostID, e reducer.Event) {
		if l, ok := e.(reducer.ServerListSent); ok && !l.Brief {
			l.Complete, l.Servers = false, nil
			l.Position.Revision--
			overtaken[id] = l
		}
	}
	f.announce(0, a)
	f.onReceive = nil
	gomega.Expect(overtaken).To(gomega.HaveLen(3))
	return overtaken
}

func (f *smallFleet) withdraw(i int, id identifier.ServerID) {
	f.ticket++
	f.reduce(controlName(i), reducer.ServerWithdrawn{Ticket: f.ticket, Server: id})
	f.run(reducer.UnknownServerDelay + 50*identifier.Millisecond)
}

// backends returns the servers that an entry host may send work to, and whether each is silent.
func (f *smallFleet) backends(i int) map[identifier.ServerID]bool {
	servers := map[identifier.ServerID]bool{}
	if fleet := f.hosts[entryName(i)].view.Fleet; fleet != nil {
		for _, b := range fleet.Backends["desk"] {
			servers[b.Server] = b.Silent
		}
	}
	return servers
}

func (f *smallFleet) configurationVersion(i int) identifier.Version {
	return f.hosts[entryName(i)].view.Configuration
}

func announcement(id identifier.ServerID, incarnation identifier.Incarnation, sequence identifier.Sequence) leaser.Announcement {
	return leaser.Announcement{
		Server: id, Incarnation: incarnation, Sequence: sequence, Service: "desk", Domain: domain(1),
		Address: identifier.Address("10.9.0.1:" + string(id[len(id)-1:])), Slots: 2,
	}
}

var _ = ginkgo.Describe("a fleet's list of backend servers", func() {
	present := map[identifier.ServerID]bool{"s-1": false}
	for _, c := range []struct {
		name  string
		steps func(f *smallFleet)
		// servers are those that every entry host may send work to, and whether each is silent.
		servers map[identifier.ServerID]bool
	}{
		{"reaches all entry hosts", func(f *smallFleet) { f.announce(0, announcement("s-1", 1, 1)) }, present},
		{"omits a draining server", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			draining := announcement("s-1", 1, 2)
			draining.State = leaser.Draining
			f.announce(1, draining)
		}, map[identifier.ServerID]bool{}},
		{"omits a withdrawn server", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.withdraw(2, "s-1")
		}, map[identifier.ServerID]bool{}},
		{"ignores earlier announcements of a withdrawn server", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.withdraw(2, "s-1")
			f.announce(1, announcement("s-1", 1, 2))
		}, map[identifier.ServerID]bool{}},
		{"includes a server that restarts under its name", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 9))
			f.withdraw(2, "s-1")
			f.announce(1, announcement("s-1", 2, 1))
		}, present},
		{"omits a server whose address another server uses", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.run(2 * identifier.Second)
			later := announcement("t-1", 2, 1)
			f.announce(1, later)
		}, map[identifier.ServerID]bool{"t-1": false}},
		{"ignores a late announcement from before an address was reused", func(f *smallFleet) {
			f.announce(1, announcement("t-1", 2, 1))
			f.announce(0, announcement("s-1", 1, 7))
		}, map[identifier.ServerID]bool{"t-1": false}},
		{"marks a server that becomes silent", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.run(5 * identifier.Second)
		}, map[identifier.ServerID]bool{"s-1": true}},
		{"keeps a server that a control host lists as silent to which no entry host subscribes", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			for i := range 3 {
				f.reduce(entryName(i), reducer.ServerListSent{
					From: controlName((i + 1) % 3), InTouch: true, Synchronized: true,
					Servers: []reducer.ListedServer{{Announcement: announcement("s-1", 1, 1), Standing: reducer.Silent}},
				})
			}
			f.run(identifier.Second)
		}, present},
		{"keeps a server that is missing in the whole list of a control host to which no entry host subscribes", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			for i := range 3 {
				f.reduce(entryName(i), reducer.ServerListSent{
					From: controlName((i + 1) % 3), InTouch: true, Synchronized: true, Complete: true,
				})
			}
			f.run(identifier.Second)
		}, present},
		{"keeps a server that a whole list lacks which a later one has overtaken", func(f *smallFleet) {
			for id, l := range f.announceOvertaken(announcement("s-1", 1, 1)) {
				l.Complete = true
				f.reduce(id, l)
			}
		}, present},
		{"keeps a server that a late whole list lacks which comes after late changes", func(f *smallFleet) {
			for id, l := range f.announceOvertaken(announcement("s-1", 1, 1)) {
				f.reduce(id, l)
				l.Complete = true
				f.reduce(id, l)
			}
		}, present},
		{"is available at once after all control hosts have restarted", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.run(3 * identifier.Second)
			for i := range 3 {
				f.stop(controlName(i), false)
				f.stop(entryName(i), false)
			}
			for i := range 3 {
				f.start(controlName(i))
				f.start(entryName(i))
			}
			f.run(300 * identifier.Millisecond)
		}, present},
		{"survives a control host that has lost its disk", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.stop(controlName(0), true)
			f.start(controlName(0))
			f.run(500 * identifier.Millisecond)
		}, present},
		{"omits a server that left just before all hosts restarted", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.run(3 * identifier.Second)
			f.withdraw(1, "s-1")
			f.restart(0, 1, 2)
		}, map[identifier.ServerID]bool{}},
		{"omits a server that began to drain just before all hosts restarted", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.run(3 * identifier.Second)
			draining := announcement("s-1", 1, 2)
			draining.State = leaser.Draining
			f.announce(1, draining)
			f.restart(0, 1, 2)
		}, map[identifier.ServerID]bool{}},
		{"omits servers of which the second left just after the first, before all hosts restarted", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.announce(0, announcement("s-2", 1, 1))
			f.run(3 * identifier.Second)
			f.withdraw(1, "s-1")
			f.withdraw(1, "s-2")
			f.run(100 * identifier.Millisecond)
			f.restart(0, 1, 2)
		}, map[identifier.ServerID]bool{}},
		{"omits a server that left while a control host and its subscriber restarted", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.run(3 * identifier.Second)
			f.stop(controlName(0), false)
			f.withdraw(1, "s-1")
			f.restart(0)
		}, map[identifier.ServerID]bool{}},
		{"shows a server as silent that stopped while its control host was down", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.run(3 * identifier.Second)
			f.stop(controlName(0), false)
			f.run(6 * identifier.Second)
			f.restart(0)
			f.run(300 * identifier.Millisecond)
		}, map[identifier.ServerID]bool{"s-1": true}},
		{"omits a server whose withdrawal reached a control host that has just lost its disk", func(f *smallFleet) {
			f.announce(0, announcement("s-1", 1, 1))
			f.run(3 * identifier.Second)
			f.stop(controlName(0), true)
			f.start(controlName(0))
			f.withdraw(0, "s-1")
			f.stop(entryName(0), false)
			f.start(entryName(0))
			f.run(identifier.Second)
		}, map[identifier.ServerID]bool{}},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			c.steps(f)
			for i := range 3 {
				gomega.Expect(f.backends(i)).To(gomega.Equal(c.servers))
			}
		})
	}

	for _, c := range []struct {
		name  string
		steps func(f *smallFleet)
		// lists is how many whole lists each entry host may receive from remote failure domains.
		lists int
	}{
		{"all hosts restart", func(f *smallFleet) { f.restart(0, 1, 2) }, 0},
		{"the entry hosts restart while a control host is down", func(f *smallFleet) {
			f.stop(controlName(0), false)
			f.run(5 * identifier.Second)
			f.stop(entryName(0), false)
			f.start(entryName(0))
		}, 2},
		{"all hosts restart and two control hosts don't return", func(f *smallFleet) {
			for i := range 3 {
				f.stop(controlName(i), false)
				f.stop(entryName(i), false)
			}
			f.start(controlName(2))
			for i := range 3 {
				f.start(entryName(i))
			}
		}, 0},
		{"a failure domain without its control host is cut off and returns", func(f *smallFleet) {
			f.stop(controlName(0), false)
			f.isolated[entryName(0)] = true
			f.run(4 * identifier.Second)
			f.isolated[entryName(0)] = false
		}, 2},
	} {
		ginkgo.It("crosses failure domains seldom as a whole: "+c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			f.announce(0, announcement("s-1", 1, 1))
			f.run(3 * identifier.Second)
			lists := map[identifier.HostID]int{}
			f.onReceive = func(id identifier.HostID, event reducer.Event) {
				e, ok := event.(reducer.ServerListSent)
				_, entry := f.hosts[id].parameters.Duty.(reducer.EntryDuty)
				if ok && entry && e.Complete && f.hosts[e.From].parameters.Domain != f.hosts[id].parameters.Domain {
					lists[id]++
				}
			}
			c.steps(f)
			f.run(6 * identifier.Second)
			for i := range 3 {
				gomega.Expect(lists[entryName(i)]).To(gomega.BeNumerically("<=", c.lists), "entry host %d", i)
			}
		})
	}

	ginkgo.It("redirects servers to a control host of their failure domain", func() {
		f := newSmallFleet()
		grant := f.announce(0, announcement("s-1", 1, 1))
		gomega.Expect(grant.Address).To(gomega.Equal(controlAddress(1)))
		gomega.Expect(grant.Declined).To(gomega.BeFalse())
	})

	ginkgo.It("grants no lease on a control host that is cut off", func() {
		f := newSmallFleet()
		f.isolated[controlName(0)] = true
		f.run(3 * identifier.Second)
		gomega.Expect(f.announce(0, announcement("s-1", 1, 1)).Declined).To(gomega.BeTrue())
	})

	ginkgo.It("comes from another control host when the local one is cut off", func() {
		f := newSmallFleet()
		f.declare(1, declarationSource(1, "desk"))
		f.isolated[controlName(0)] = true
		f.run(3 * identifier.Second)
		f.announce(1, announcement("s-1", 1, 1))
		gomega.Expect(f.backends(0)).To(gomega.Equal(present))
	})

	ginkgo.It("is sent to a host whose seeds have all been replaced", func() {
		f := newSmallFleet()
		f.declare(1, declarationSource(1, "desk"))
		f.hosts[entryName(0)].parameters.Duty = reducer.EntryDuty{Seeds: []identifier.HostID{"10.8.0.1:70"}}
		f.stop(entryName(0), false)
		f.start(entryName(0))
		f.run(identifier.Second)
		gomega.Expect(f.configurationVersion(0)).To(gomega.BeZero())
		f.reduce(entryName(0), reducer.SeedsChanged{Seeds: []identifier.HostID{controlName(2)}})
		f.run(identifier.Second)
		gomega.Expect(f.configurationVersion(0)).To(gomega.Equal(identifier.Version(1)))
	})

	ginkgo.It("counts the entry hosts and names delegates in remote failure domains", func() {
		f := newSmallFleet()
		f.declare(1, declarationSource(1, "desk"))
		f.run(5 * identifier.Second)
		fleet := f.hosts[entryName(0)].view.Fleet
		gomega.Expect(fleet.HostCounts).To(gomega.Equal(reducer.HostCounts{Local: 1, Remote: 2}))
		gomega.Expect(fleet.Delegates).To(gomega.HaveLen(2))
	})

	ginkgo.It("counts the entry hosts of the previous run when few of them have restarted", func() {
		f := newSmallFleet()
		f.declare(1, declarationSource(1, "desk"))
		f.announce(0, announcement("s-1", 1, 1))
		f.run(5 * identifier.Second)
		for i := range 3 {
			f.stop(controlName(i), false)
			f.stop(entryName(i), false)
		}
		for i := range 3 {
			f.start(controlName(i))
		}
		f.start(entryName(0))
		f.run(identifier.Second)
		fleet := f.hosts[entryName(0)].view.Fleet
		gomega.Expect(fleet.HostCounts.Remote).To(gomega.BeNumerically(">=", 2))
		gomega.Expect(fleet.Delegates).To(gomega.BeEmpty(), "they don't run yet")
		f.start(entryName(1))
		f.start(entryName(2))
		f.run(identifier.Second)
		gomega.Expect(f.hosts[entryName(0)].view.Fleet.Delegates).To(gomega.HaveLen(2))
	})
})

var _ = ginkgo.Describe("a fleet's declaration", func() {
	for _, c := range []struct {
		name    string
		steps   func(f *smallFleet)
		version identifier.Version
		text    string
	}{
		{"is read at any control host", func(f *smallFleet) { f.declare(1, declarationSource(3, "desk")) }, 3, "3 desk"},
		{"is replaced by a higher version", func(f *smallFleet) {
			f.declare(0, declarationSource(3, "desk"))
			f.declare(2, declarationSource(9, "hall"))
		}, 9, "9 hall"},
		{"is not replaced by a lower version, which is acknowledged", func(f *smallFleet) {
			f.declare(0, declarationSource(9, "desk"))
			gomega.Expect(f.declare(2, declarationSource(3, "hall"))).To(gomega.Equal(reducer.Committed{}))
		}, 9, "9 desk"},
		{"is not replaced by other content under its version", func(f *smallFleet) {
			f.declare(0, declarationSource(9, "desk"))
			gomega.Expect(f.declare(2, declarationSource(9, "hall"))).To(gomega.Equal(reducer.Committed{}))
		}, 9, "9 desk"},
		{"survives the loss of a disk right after it was acknowledged", func(f *smallFleet) {
			f.declare(0, declarationSource(9, "desk"))
			f.stop(controlName(0), true)
			f.start(controlName(0))
		}, 9, "9 desk"},
		{"survives a restart of all hosts", func(f *smallFleet) {
			f.declare(0, declarationSource(9, "desk"))
			for i := range 3 {
				f.stop(controlName(i), false)
				f.stop(entryName(i), false)
			}
			f.run(identifier.Second)
			for i := range 3 {
				f.start(controlName(i))
				f.start(entryName(i))
			}
		}, 9, "9 desk"},
	} {
		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			c.steps(f)
			f.run(3 * identifier.Second)
			for i := range 3 {
				version, text := f.readDeclaration(i)
				gomega.Expect(version).To(gomega.Equal(c.version))
				gomega.Expect(text).To(gomega.Equal(c.text))
				gomega.Expect(f.configurationVersion(i)).To(gomega.Equal(c.version))
			}
		})
	}

	ginkgo.It("is neither accepted nor read without a quorum", func() {
		f := newSmallFleet()
		f.declare(0, declarationSource(3, "desk"))
		f.isolated[controlName(0)] = true
		f.run(3 * identifier.Second)
		gomega.Expect(f.declare(0, declarationSource(5, "hall"))).To(gomega.Equal(reducer.LeaderMissing{}))
		version, _ := f.readDeclaration(0)
		gomega.Expect(version).To(gomega.BeZero())
		version, _ = f.readDeclaration(1)
		gomega.Expect(version).To(gomega.Equal(identifier.Version(3)))
	})

	ginkgo.It("is kept by a control host that takes the place of a lost one", func() {
		f := newSmallFleet()
		f.declare(0, declarationSource(3, "desk"))
		f.stop(controlName(0), true)
		seeds := []identifier.HostID{controlName(0), controlName(1), controlName(2)}
		f.addHost("10.0.0.9:70", 0, reducer.ControlDuty{Seeds: seeds, AnnouncementInterval: identifier.Second})
		f.run(15 * identifier.Second)
		f.stop(controlName(1), false)
		f.run(5 * identifier.Second)
		version, text := f.readDeclaration(2)
		gomega.Expect(version).To(gomega.Equal(identifier.Version(3)))
		gomega.Expect(text).To(gomega.Equal("3 desk"))
	})

	ginkgo.It("is not in force when its text can't be parsed", func() {
		f := newSmallFleet()
		f.declare(0, declarationSource(3, "desk"))
		broken, err := declarer.NewSource(4, []byte("?"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.declare(0, broken)
		gomega.Expect(f.configurationVersion(1)).To(gomega.Equal(identifier.Version(3)))
	})
})

var _ = ginkgo.Describe("updates about one server from two control hosts", func() {
	listed := func(status reducer.ServerStatus, state leaser.ServerState, incarnation identifier.Incarnation, sequence identifier.Sequence) reducer.ListedServer {
		a := announcement("s-1", incarnation, sequence)
		a.State = state
		return reducer.ListedServer{Announcement: a, Standing: status, Revision: 1}
	}
	present := listed(reducer.Present, leaser.Serving, 2, 9)
	for _, c := range []struct {
		name          string
		first, second reducer.ListedServer
		used          bool
	}{
		{"remove it when it has left, even if the reporting control host holds an older announcement", present, listed(reducer.Left, leaser.Serving, 2, 1), false},
		{"remove it when it is draining, even if the reporting control host holds an older announcement", present, listed(reducer.Present, leaser.Draining, 2, 1), false},
		{"do not restore it when the other control host does not know that it has left", listed(reducer.Left, leaser.Serving, 2, 1), present, false},
		{"do not restore it when the other control host does not know that it is draining", listed(reducer.Present, leaser.Draining, 2, 1), present, false},
		{"do not remove it when an earlier incarnation has left", present, listed(reducer.Left, leaser.Serving, 1, 99), true},
		{"restore it with a later incarnation", listed(reducer.Left, leaser.Serving, 1, 99), present, true},
		{"do not remove it when one has not heard of it for a while", present, listed(reducer.Silent, leaser.Serving, 2, 1), true},
	} {
		// A control host that has just started merges the lists of the others. It must not bring back a
		// server that has left, nor end one that has started again.
		ginkgo.It(c.name+", on a control host", func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			f.stop(controlName(0), true)
			f.isolated[controlName(0)] = true
			f.start(controlName(0))
			for i, l := range []reducer.ListedServer{c.first, c.second} {
				f.reduce(controlName(0), reducer.ServerListSent{
					From: controlName(i + 1), Position: reducer.ServerListPosition{Started: 1, Revision: 1}, Complete: true,
					InTouch: true, Servers: []reducer.ListedServer{l},
				})
			}
			used := false
			f.onEffect = func(_ identifier.HostID, effect reducer.Effect) {
				sent, ok := effect.(reducer.Send)
				if !ok {
					return
				}
				if list, ok := sent.Event.(reducer.ServerListSent); ok && len(list.Servers) == 1 {
					s := list.Servers[0]
					used = s.Standing != reducer.Left && s.Announcement.State != leaser.Draining
				}
			}
			f.reduce(controlName(0), reducer.ServerListRequested{Host: entryName(0), Domain: domain(0)})
			gomega.Expect(used).To(gomega.Equal(c.used))
		})

		ginkgo.It(c.name, func() {
			f := newSmallFleet()
			f.declare(0, declarationSource(1, "desk"))
			for i, l := range []reducer.ListedServer{c.first, c.second} {
				f.reduce(entryName(0), reducer.ServerListSent{
					From: controlName(i), Position: reducer.ServerListPosition{Started: 1, Revision: 1}, Complete: true,
					InTouch: true, Synchronized: true, Servers: []reducer.ListedServer{l},
				})
			}
			_, used := f.backends(0)["s-1"]
			gomega.Expect(used).To(gomega.Equal(c.used))
		})
	}
})
