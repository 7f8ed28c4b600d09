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
	// compactAfter keeps logs short, so that snapshots take part in every run.
	compactAfter = 20
)

// history is the state of the test: all commands in order.
type history []int

type node = replicator.Replicator[int, history]

// host is a control host with a disk, which keeps what was synced.
type host struct {
	id       identifier.HostID
	replica  identifier.ReplicaID
	life     int
	node     *node
	running  bool
	frozen   bool
	backlog  []func()
	disk     []replicator.Record
	unsynced [][]replicator.Record
	diskFree identifier.Instant
	due      identifier.Instant
	// clock is how fast the host's own clock runs.
	clock    float64
	applied  identifier.LogIndex
	state    history
	proposed map[identifier.LogIndex]int
	reads    map[replicator.ReadTicket]identifier.LogIndex
}

// link is one direction between two hosts.
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

// world runs control hosts over a virtual clock and asserts what must hold of all of them.
type world struct {
	random    *rand.Rand
	now       identifier.Instant
	queue     queue
	events    int
	names     []identifier.HostID
	hosts     map[identifier.HostID]*host
	cut       map[link]bool
	delay     identifier.Micros
	loss      float64
	duplicate float64
	slowDisk  identifier.Micros
	leaders   map[identifier.Term]identifier.ReplicaID
	committed []*int
	accepted  int
	confirmed int
	wipes     int
	removals  int
	next      int
}

func newWorld(seed uint64, size int) *world {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 0)),
		hosts:   map[identifier.HostID]*host{},
		cut:     map[link]bool{},
		leaders: map[identifier.Term]identifier.ReplicaID{},
	}
	for i := range size {
		w.names = append(w.names, identifier.HostID(fmt.Sprintf("h-%d", i+1)))
	}
	for _, id := range w.names {
		w.hosts[id] = &host{id: id, clock: 1}
		if seed%2 == 0 {
			w.hosts[id].clock = 0.5 + w.random.Float64()
		}
		w.replaceDisk(w.hosts[id])
	}
	for _, id := range w.names {
		w.start(w.hosts[id])
	}
	return w
}

func (w *world) fail(format string, values ...any) {
	panic(fmt.Sprintf("at %d ms: ", w.now/ms) + fmt.Sprintf(format, values...))
}

func (w *world) after(d identifier.Micros, run func()) {
	heap.Push(&w.queue, scheduled{w.now.Add(d), len(w.queue) + w.events<<20, run})
}

// run lets the virtual clock go on.
func (w *world) run(d identifier.Micros) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		s := heap.Pop(&w.queue).(scheduled)
		w.now = s.at
		w.events++
		s.run()
	}
	w.now = end
}

// clock returns the instant on the host's own clock.
func (w *world) clock(h *host) identifier.Instant {
	return identifier.Instant(float64(w.now) * h.clock)
}

func (w *world) replaceDisk(h *host) {
	h.replica = identifier.ReplicaID(w.random.Uint64() | 1)
	h.disk = nil
}

func (w *world) start(h *host) {
	h.life++
	h.running, h.frozen = true, false
	h.backlog, h.unsynced, h.state, h.applied = nil, nil, nil, 0
	h.diskFree, h.due = w.now, 0
	h.proposed = map[identifier.LogIndex]int{}
	h.reads = map[replicator.ReadTicket]identifier.LogIndex{}
	h.node = replicator.New[int, history](replicator.Parameters{
		Self: replicator.Peer{Host: h.id, Replica: h.replica}, Hosts: w.names, Seed: w.random.Uint64(),
		Require: func(holds bool, i replicator.Invariant, detail string) {
			if !holds {
				w.fail("%s: invariant %s: %s", h.id, i, detail)
			}
		},
	}, 0)
	stored, err := replicator.Rebuild[history](h.disk)
	if err != nil {
		w.fail("%s: %v", h.id, err)
	}
	w.step(h, func() { h.node.Recover(w.clock(h), stored) })
}

// kill ends a process; of the writes that were not synced, a first part may be on the disk.
func (w *world) kill(h *host) {
	if !h.running {
		return
	}
	kept := w.random.IntN(len(h.unsynced) + 1)
	for _, records := range h.unsynced[:kept] {
		h.disk = append(h.disk, records...)
	}
	h.running = false
	h.life++
}

func (w *world) thaw(h *host) {
	h.frozen = false
	for _, run := range h.backlog {
		w.step(h, run)
	}
	h.backlog = nil
}

// step gives one input to a running host, and acts on what follows.
func (w *world) step(h *host, run func()) {
	switch {
	case !h.running:
		return
	case h.frozen:
		h.backlog = append(h.backlog, run)
		return
	}
	run()
	w.settle(h)
}

func (w *world) settle(h *host) {
	output := h.node.Take()
	if len(output.Records) > 0 {
		w.write(h, output.Records, output.Sequence)
	}
	for _, e := range output.Messages {
		w.send(e)
	}
	for _, o := range output.Outcomes {
		w.check(h, o)
	}
	if h.node.Leads() {
		w.checkLeader(h)
	}
	if h.node.Uncompacted() >= compactAfter {
		h.node.Compact(w.clock(h), slices.Clone(h.state))
		w.settle(h)
		return
	}
	if due := h.node.NextDue(); due != identifier.Never && due != h.due {
		h.due = due
		life := h.life
		wait := float64(max(0, due.Since(w.clock(h)))) / h.clock
		w.after(identifier.Micros(wait)+1, func() {
			if h.life == life && h.due == due {
				h.due = 0
				w.step(h, func() { h.node.Tick(w.clock(h)) })
			}
		})
	}
}

// write syncs records in order, a little later.
func (w *world) write(h *host, records []replicator.Record, s replicator.WriteSequence) {
	h.unsynced = append(h.unsynced, records)
	h.diskFree = max(h.diskFree, w.now).Add(identifier.Micros(100 + w.random.IntN(2000)))
	h.diskFree = h.diskFree.Add(identifier.Micros(w.random.Int64N(int64(w.slowDisk) + 1)))
	life := h.life
	w.after(h.diskFree.Since(w.now), func() {
		if h.life != life {
			return
		}
		h.disk = append(h.disk, h.unsynced[0]...)
		h.unsynced = h.unsynced[1:]
		w.step(h, func() { h.node.Persisted(w.clock(h), s) })
	})
}

func (w *world) send(e replicator.Envelope) {
	copies := 1
	if w.random.Float64() < w.duplicate {
		copies = 2
	}
	for range copies {
		if w.cut[link{e.From.Host, e.To.Host}] || w.random.Float64() < w.loss {
			continue
		}
		d := identifier.Micros(500+w.random.IntN(1500)) + identifier.Micros(w.random.Int64N(int64(w.delay)+1))
		to := w.hosts[e.To.Host]
		life := to.life
		w.after(d, func() {
			if to.life == life {
				w.step(to, func() { to.node.Receive(w.clock(to), e) })
			}
		})
	}
}

// check asserts that all hosts apply the same sequence and that reads are linearizable.
func (w *world) check(h *host, o replicator.Outcome) {
	switch o := o.(type) {
	case replicator.Committed[int]:
		w.apply(h, o.Index, &o.Command)
		h.state = append(h.state, o.Command)
		if command, ok := h.proposed[o.Index]; ok && command == o.Command {
			w.accepted++
		}
	case replicator.MembersCommitted:
		w.apply(h, o.Index, nil)
	case replicator.Installed[history]:
		if o.Index <= h.applied && h.applied > 0 {
			w.fail("%s: snapshot %d is installed after %d", h.id, o.Index, h.applied)
		}
		h.applied = o.Index
		h.state = slices.Clone(o.State)
		if !slices.Equal(h.state, w.prefix(o.Index)) {
			w.fail("%s: snapshot %d differs from what was committed", h.id, o.Index)
		}
	case replicator.ReadDone:
		if o.Confirmed {
			w.confirmed++
			if h.applied < h.reads[o.Ticket] {
				w.fail("%s: read at %d misses entry %d", h.id, h.applied, h.reads[o.Ticket])
			}
		}
	}
}

// apply compares an applied entry with what others applied at its index; nil is a membership.
func (w *world) apply(h *host, i identifier.LogIndex, command *int) {
	if i != h.applied+1 {
		w.fail("%s: entry %d is applied after %d", h.id, i, h.applied)
	}
	h.applied = i
	if int(i) > len(w.committed) {
		w.committed = append(w.committed, command)
		return
	}
	known := w.committed[i-1]
	if (known == nil) != (command == nil) || (known != nil && *known != *command) {
		w.fail("%s: entry %d has changed", h.id, i)
	}
}

// prefix returns the commands that were committed up to the index.
func (w *world) prefix(i identifier.LogIndex) history {
	var commands history
	for _, c := range w.committed[:i] {
		if c != nil {
			commands = append(commands, *c)
		}
	}
	return commands
}

func (w *world) checkLeader(h *host) {
	known, ok := w.leaders[h.node.Term()]
	if ok && known != h.replica {
		w.fail("%s: term %d has two leaders", h.id, h.node.Term())
	}
	w.leaders[h.node.Term()] = h.replica
}

// work proposes and reads on every host now and then, for as long as the run lasts.
func (w *world) work() {
	w.after(identifier.Micros(1+w.random.IntN(60))*identifier.Millisecond, func() {
		h := w.hosts[w.names[w.random.IntN(len(w.names))]]
		w.next++
		command := w.next
		latest := identifier.LogIndex(len(w.committed))
		w.step(h, func() {
			if i, ok := h.node.Propose(w.clock(h), command); ok {
				h.proposed[i] = command
			}
			ticket := replicator.ReadTicket(command)
			h.reads[ticket] = latest
			h.node.Read(w.clock(h), ticket)
			w.readmit(h)
		})
		w.work()
	})
}

// readmit adds hosts that were removed from the membership, if the host leads.
func (w *world) readmit(h *host) {
	for _, id := range w.names {
		if h.node.Leads() && !h.node.Members().HasHost(id) {
			// The host may not have asked, or another change be under way; it is tried again.
			if err := h.node.AddMember(w.clock(h), id); err != nil {
				continue
			}
		}
	}
}

// describe returns a line on each host.
func (w *world) describe() string {
	text := ""
	for _, id := range w.names {
		h := w.hosts[id]
		text += fmt.Sprintf("\n%s %x leads %v term %d commit %d applied %d members %v",
			id, h.replica, h.node.Leads(), h.node.Term(), h.node.CommitIndex(), h.applied, h.node.Members())
	}
	return text
}

// mayWipe reports whether the group can lose this disk: each membership that is
// in use anywhere keeps a quorum of disks.
func (w *world) mayWipe(lost *host) bool {
	for _, h := range w.hosts {
		if members := h.node.Members(); len(members) == 0 || w.kept(members, lost.id) < members.Quorum() {
			return false
		}
	}
	return true
}

// kept counts the voters whose disks are there, but for one host.
func (w *world) kept(m replicator.Membership, but identifier.HostID) int {
	count := 0
	for _, x := range m {
		if x.Voter && x.Host != but && w.hosts[x.Host].replica == x.Replica {
			count++
		}
	}
	return count
}

// pick draws a host, more often than not one that leads.
func (w *world) pick() *host {
	drawn := w.hosts[w.names[w.random.IntN(len(w.names))]]
	if w.random.IntN(2) == 0 {
		return drawn
	}
	for _, id := range w.names {
		if h := w.hosts[id]; h.running && h.node.Leads() {
			return h
		}
	}
	return drawn
}

// span draws how long something lasts, up to the limit; every other is a tenth of it.
func (w *world) span(limit identifier.Micros) identifier.Micros {
	d := identifier.Micros(w.random.Int64N(int64(limit)))
	if w.random.IntN(2) == 0 {
		return d / 10
	}
	return d
}

// heal ends all faults.
func (w *world) heal() {
	clear(w.cut)
	w.delay, w.loss, w.duplicate, w.slowDisk = 0, 0, 0, 0
	for _, id := range w.names {
		h := w.hosts[id]
		if !h.running {
			w.start(h)
		}
		if h.frozen {
			w.thaw(h)
		}
	}
}

// converged reports whether every host is a voter and has applied all that was committed.
func (w *world) converged() bool {
	for _, h := range w.hosts {
		if int(h.applied) < len(w.committed)-5 || !h.node.Members().IsVoter(h.replica) {
			return false
		}
	}
	return true
}
