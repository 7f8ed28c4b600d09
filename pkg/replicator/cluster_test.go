package replicator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

const (
	ms = identifier.Instant(identifier.Millisecond)
	// compactAfter is the number of entries after which a host compacts its log. It is low,
	// so that every run exercises snapshots.
	compactAfter = 20
)

// history is the replicated state in the tests: all commands in order.
type history []int

type node = replicator.Replicator[int, history]

// host is a control host. Its disk holds the synced records and survives a restart.
type host struct {
	id            identifier.HostID
	replica       identifier.ReplicaID
	incarnation   int
	node          *node
	running       bool
	frozen        bool
	pendingInputs []func()
	disk          []replicator.Record
	unsynced      [][]replicator.Record
	diskFree      identifier.Instant
	tickDue       identifier.Instant
	// clockRate is the speed of the host's local clock relative to the virtual clock.
	clockRate float64
	// seeds are the control hosts in the host's settings; nil are all hosts of the cluster.
	seeds []identifier.HostID
	// retired is set once the host has been removed for good.
	retired  bool
	applied  identifier.LogIndex
	state    history
	proposed map[identifier.LogIndex]int
	reads    map[replicator.ReadTicket]identifier.LogIndex
}

// link is one direction of the connection between two hosts.
type link struct{ from, to identifier.HostID }

type scheduled struct {
	at    identifier.Instant
	order int
	run   func()
}

type queue []scheduled

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// cluster runs control hosts on a virtual clock and a simulated network, and checks
// invariants across all of them.
type cluster struct {
	random *rand.Rand
	// autoJoin is the parameter of the same name of all hosts.
	autoJoin    bool
	now         identifier.Instant
	queue       queue
	events      int
	names       []identifier.HostID
	hosts       map[identifier.HostID]*host
	blocked     map[link]bool
	delay       identifier.Micros
	loss        float64
	duplicate   float64
	slowDisk    identifier.Micros
	leaders     map[identifier.Term]identifier.ReplicaID
	committed   []*int
	accepted    int
	confirmed   int
	lostDisks   int
	removals    int
	lastCommand int
	// settled is when the group bears all losses again after a replacement.
	settled identifier.Instant
}

func newCluster(seed uint64, size int) *cluster {
	return newClusterWith(seed, size, nil)
}

// newClusterWith returns a cluster whose first hosts are the seeds in all settings and whose hosts
// join automatically, unless seeds is nil.
func newClusterWith(seed uint64, size int, seeds []identifier.HostID) *cluster {
	c := &cluster{
		autoJoin: seeds != nil,
		random:   rand.New(rand.NewPCG(seed, 0)),
		hosts:    map[identifier.HostID]*host{},
		blocked:  map[link]bool{},
		leaders:  map[identifier.Term]identifier.ReplicaID{},
	}
	for i := range size {
		c.names = append(c.names, identifier.HostID(fmt.Sprintf("h-%d", i+1)))
	}
	for _, id := range c.names {
		c.hosts[id] = &host{id: id, clockRate: 1, seeds: seeds}
		if seed%2 == 0 {
			c.hosts[id].clockRate = 0.5 + c.random.Float64()
		}
		c.replaceDisk(c.hosts[id])
	}
	for _, id := range c.names {
		c.start(c.hosts[id])
	}
	return c
}

func (c *cluster) fail(format string, values ...any) {
	panic(fmt.Sprintf("at %d ms: ", c.now/ms) + fmt.Sprintf(format, values...))
}

func (c *cluster) after(d identifier.Micros, run func()) {
	heap.Push(&c.queue, scheduled{c.now.Add(d), len(c.queue) + c.events<<20, run})
}

// run advances the virtual clock and runs the events that are due.
func (c *cluster) run(d identifier.Micros) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && c.queue[0].at <= end {
		s := heap.Pop(&c.queue).(scheduled)
		c.now = s.at
		c.events++
		s.run()
	}
	c.now = end
}

// localTime returns the time on the host's local clock.
func (c *cluster) localTime(h *host) identifier.Instant {
	return identifier.Instant(float64(c.now) * h.clockRate)
}

func (c *cluster) replaceDisk(h *host) {
	h.replica = identifier.ReplicaID(c.random.Uint64() | 1)
	h.disk = nil
}

func (c *cluster) start(h *host) {
	h.incarnation++
	h.running, h.frozen = true, false
	h.pendingInputs, h.unsynced, h.state, h.applied = nil, nil, nil, 0
	h.diskFree, h.tickDue = c.now, 0
	h.proposed = map[identifier.LogIndex]int{}
	h.reads = map[replicator.ReadTicket]identifier.LogIndex{}
	h.node = replicator.New[int, history](replicator.Parameters{
		Self: replicator.Peer{Host: h.id, Replica: h.replica}, Hosts: c.settingsHosts(h), Seed: c.random.Uint64(),
		AutoJoin: c.autoJoin, Bootstrapped: c.autoJoin && (len(c.committed) > 0 || h.incarnation > 1),
		Require: func(holds bool, i replicator.Invariant, detail string) {
			if !holds {
				c.fail("%s: invariant %s: %s", h.id, i, detail)
			}
		},
	}, 0)
	stored, err := replicator.Rebuild[history](h.disk)
	if err != nil {
		c.fail("%s: %v", h.id, err)
	}
	c.step(h, func() {
		if c.autoJoin {
			h.node.SetProbeTargets(c.presentHosts())
		}
		h.node.Recover(c.localTime(h), stored)
	})
}

// settingsHosts returns the control hosts in the host's settings.
func (c *cluster) settingsHosts(h *host) []identifier.HostID {
	if h.seeds != nil {
		return h.seeds
	}
	return c.names
}

// presentHosts returns the hosts that have not been removed for good.
func (c *cluster) presentHosts() []identifier.HostID {
	var present []identifier.HostID
	for _, id := range c.names {
		if !c.hosts[id].retired {
			present = append(present, id)
		}
	}
	return present
}

// kill stops a host. A random prefix of its unsynced writes reaches the disk.
func (c *cluster) kill(h *host) {
	if !h.running {
		return
	}
	written := c.random.IntN(len(h.unsynced) + 1)
	for _, records := range h.unsynced[:written] {
		h.disk = append(h.disk, records...)
	}
	h.running = false
	h.incarnation++
}

func (c *cluster) resume(h *host) {
	h.frozen = false
	for _, run := range h.pendingInputs {
		c.step(h, run)
	}
	h.pendingInputs = nil
}

// step passes an input to a running host and processes its output. A frozen host
// receives the input when it resumes.
func (c *cluster) step(h *host, run func()) {
	switch {
	case !h.running:
		return
	case h.frozen:
		h.pendingInputs = append(h.pendingInputs, run)
		return
	}
	run()
	c.processOutput(h)
}

func (c *cluster) processOutput(h *host) {
	output := h.node.Take()
	if len(output.Records) > 0 {
		c.write(h, output.Records, output.Sequence)
	}
	for _, e := range output.Messages {
		c.send(e)
	}
	for _, o := range output.Outcomes {
		c.checkOutcome(h, o)
	}
	if h.node.IsLeader() {
		c.checkLeader(h)
	}
	if h.node.Uncompacted() >= compactAfter {
		h.node.Compact(c.localTime(h), slices.Clone(h.state))
		c.processOutput(h)
		return
	}
	if due := h.node.NextDue(); due != identifier.Never && due != h.tickDue {
		h.tickDue = due
		incarnation := h.incarnation
		wait := float64(max(0, due.Since(c.localTime(h)))) / h.clockRate
		c.after(identifier.Micros(wait)+1, func() {
			if h.incarnation == incarnation && h.tickDue == due {
				h.tickDue = 0
				c.step(h, func() { h.node.Tick(c.localTime(h)) })
			}
		})
	}
}

// write syncs records in order after a random delay.
func (c *cluster) write(h *host, records []replicator.Record, s replicator.WriteSequence) {
	h.unsynced = append(h.unsynced, records)
	h.diskFree = max(h.diskFree, c.now).Add(identifier.Micros(100 + c.random.IntN(2000)))
	h.diskFree = h.diskFree.Add(identifier.Micros(c.random.Int64N(int64(c.slowDisk) + 1)))
	incarnation := h.incarnation
	c.after(h.diskFree.Since(c.now), func() {
		if h.incarnation != incarnation {
			return
		}
		h.disk = append(h.disk, h.unsynced[0]...)
		h.unsynced = h.unsynced[1:]
		c.step(h, func() { h.node.Persisted(c.localTime(h), s) })
	})
}

func (c *cluster) send(e replicator.Envelope) {
	copies := 1
	if c.random.Float64() < c.duplicate {
		copies = 2
	}
	for range copies {
		if c.blocked[link{e.From.Host, e.To.Host}] || c.random.Float64() < c.loss {
			continue
		}
		d := identifier.Micros(500+c.random.IntN(1500)) + identifier.Micros(c.random.Int64N(int64(c.delay)+1))
		to := c.hosts[e.To.Host]
		incarnation := to.incarnation
		c.after(d, func() {
			if to.incarnation == incarnation {
				c.step(to, func() { to.node.Receive(c.localTime(to), e) })
			}
		})
	}
}

// checkOutcome checks that all hosts apply the same sequence and that reads are linearizable.
func (c *cluster) checkOutcome(h *host, o replicator.Outcome) {
	switch o := o.(type) {
	case replicator.Committed[int]:
		c.apply(h, o.Index, &o.Command)
		h.state = append(h.state, o.Command)
		if command, ok := h.proposed[o.Index]; ok && command == o.Command {
			c.accepted++
		}
	case replicator.MembersCommitted:
		c.apply(h, o.Index, nil)
	case replicator.SnapshotInstalled[history]:
		if o.Index <= h.applied && h.applied > 0 {
			c.fail("%s: snapshot %d is installed after %d", h.id, o.Index, h.applied)
		}
		h.applied = o.Index
		h.state = slices.Clone(o.State)
		if !slices.Equal(h.state, c.prefix(o.Index)) {
			c.fail("%s: snapshot %d differs from the committed commands", h.id, o.Index)
		}
	case replicator.ReadDone:
		if o.Confirmed {
			c.confirmed++
			if h.applied < h.reads[o.Ticket] {
				c.fail("%s: read at %d misses entry %d", h.id, h.applied, h.reads[o.Ticket])
			}
		}
	}
}

// apply checks that an applied entry equals what other hosts applied at its index. A nil
// command is a membership change.
func (c *cluster) apply(h *host, i identifier.LogIndex, command *int) {
	if i != h.applied+1 {
		c.fail("%s: entry %d is applied after entry %d", h.id, i, h.applied)
	}
	h.applied = i
	if int(i) > len(c.committed) {
		c.committed = append(c.committed, command)
		return
	}
	known := c.committed[i-1]
	if (known == nil) != (command == nil) || (known != nil && *known != *command) {
		c.fail("%s: entry %d differs from the one that was applied first", h.id, i)
	}
}

// prefix returns the commands committed up to the index.
func (c *cluster) prefix(i identifier.LogIndex) history {
	var commands history
	for _, command := range c.committed[:i] {
		if command != nil {
			commands = append(commands, *command)
		}
	}
	return commands
}

func (c *cluster) checkLeader(h *host) {
	known, ok := c.leaders[h.node.Term()]
	if ok && known != h.replica {
		c.fail("%s: term %d has two leaders", h.id, h.node.Term())
	}
	c.leaders[h.node.Term()] = h.replica
}

// scheduleWorkload proposes a command and reads on a random host at random intervals,
// for as long as the run lasts.
func (c *cluster) scheduleWorkload() {
	c.after(identifier.Micros(1+c.random.IntN(60))*identifier.Millisecond, func() {
		h := c.hosts[c.names[c.random.IntN(len(c.names))]]
		c.lastCommand++
		command := c.lastCommand
		latest := identifier.LogIndex(len(c.committed))
		c.step(h, func() {
			if i, ok := h.node.Propose(c.localTime(h), command); ok {
				h.proposed[i] = command
			}
			ticket := replicator.ReadTicket(command)
			h.reads[ticket] = latest
			h.node.Read(c.localTime(h), ticket)
			if !c.autoJoin {
				c.addRemovedHosts(h)
			}
		})
		c.scheduleWorkload()
	})
}

// addRemovedHosts adds the hosts that are not members, if the given host leads.
func (c *cluster) addRemovedHosts(h *host) {
	for _, id := range c.names {
		if h.node.IsLeader() && !h.node.Members().HasHost(id) {
			// AddMember fails if the host has sent no recent probe or another change is in
			// progress; a later call retries.
			if err := h.node.AddMember(c.localTime(h), id); err != nil {
				continue
			}
		}
	}
}

// describe returns one line per host with its state.
func (c *cluster) describe() string {
	text := ""
	for _, id := range c.names {
		h := c.hosts[id]
		text += fmt.Sprintf("\n%s %x leads %v term %d commit %d applied %d members %v",
			id, h.replica, h.node.IsLeader(), h.node.Term(), h.node.CommitIndex(), h.applied, h.node.Members())
	}
	return text
}

// mayLoseDisk reports whether the group can lose the disk of the host: the current
// membership of every host must keep a quorum of voters with their disks.
func (c *cluster) mayLoseDisk(lost *host) bool {
	for _, h := range c.hosts {
		if members := h.node.Members(); len(members) == 0 || c.votersWithDisk(members, lost.id) < members.Quorum() {
			return false
		}
	}
	return true
}

// votersWithDisk counts the voters that still have their disks, except on one host.
func (c *cluster) votersWithDisk(m replicator.Membership, except identifier.HostID) int {
	count := 0
	for _, x := range m {
		if x.Voter && x.Host != except && c.hosts[x.Host].replica == x.Replica {
			count++
		}
	}
	return count
}

// pickHost returns a random host in half of the calls, and otherwise a leader if there
// is one.
func (c *cluster) pickHost() *host {
	drawn := c.hosts[c.names[c.random.IntN(len(c.names))]]
	if c.random.IntN(2) == 0 {
		return drawn
	}
	for _, id := range c.names {
		if h := c.hosts[id]; h.running && h.node.IsLeader() {
			return h
		}
	}
	return drawn
}

// randomDuration returns a random duration below the limit. It divides half of the
// durations by ten.
func (c *cluster) randomDuration(limit identifier.Micros) identifier.Micros {
	d := identifier.Micros(c.random.Int64N(int64(limit)))
	if c.random.IntN(2) == 0 {
		return d / 10
	}
	return d
}

// heal ends all faults: it starts killed hosts and resumes frozen ones.
func (c *cluster) heal() {
	clear(c.blocked)
	c.delay, c.loss, c.duplicate, c.slowDisk = 0, 0, 0, 0
	for _, id := range c.names {
		h := c.hosts[id]
		if !h.running {
			c.start(h)
		}
		if h.frozen {
			c.resume(h)
		}
	}
}

// converged reports whether every host is a voter and has applied all committed entries
// but for at most the last five.
func (c *cluster) converged() bool {
	for _, h := range c.hosts {
		if int(h.applied) < len(c.committed)-5 || !h.node.Members().IsVoter(h.replica) {
			return false
		}
	}
	return true
}
