package replicator

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// leadership is what only a leader keeps.
type leadership struct {
	heartbeatDue identifier.Instant
	progress     map[identifier.ReplicaID]*progress
	// first is the index of the leader's first entry of its own term.
	first identifier.LogIndex
	won   bool
	round Round
	reads []pendingRead
}

// progress is what a leader knows of another member.
type progress struct {
	// match is the last index known to equal the leader's.
	match identifier.LogIndex
	// next is the index to send next.
	next  identifier.LogIndex
	heard identifier.Instant
	// answered is set once the member has answered this leader; until then heard is when
	// the leader began to send to it.
	answered bool
	round    Round
	// snapshotDue is the earliest instant to send a snapshot again.
	snapshotDue identifier.Instant
}

func (r *Replicator[C, S]) beginLeadership() {
	r.role = leader
	r.leader = r.parameters.Self
	r.everHeard = true
	r.leading = leadership{progress: map[identifier.ReplicaID]*progress{}, first: r.log.last() + 1}
	r.trackMembers()
	r.lead(Proposal[C]{Command: r.noop})
}

// trackMembers keeps progress of exactly the other members in use.
func (r *Replicator[C, S]) trackMembers() {
	for _, x := range r.Members() {
		if x.Replica == r.parameters.Self.Replica || r.leading.progress[x.Replica] != nil {
			continue
		}
		r.leading.progress[x.Replica] = &progress{next: r.log.last() + 1, heard: r.now}
	}
	for id := range r.leading.progress {
		if _, ok := r.Members().Find(id); !ok {
			delete(r.leading.progress, id)
		}
	}
}

// lead appends content in the leader's own term and sends it to all members.
func (r *Replicator[C, S]) lead(c Content) identifier.LogIndex {
	index := r.log.last() + 1
	r.appendEntries([]Entry{{Index: index, Term: r.hard.Term, Content: c}})
	r.trackMembers()
	r.sendAll()
	return index
}

// runLeader steps down without a quorum, and sends heartbeats.
func (r *Replicator[C, S]) runLeader() {
	if !r.inTouch(r.Members()) {
		r.stepDown(LostQuorum)
		return
	}
	if r.now >= r.leading.heartbeatDue {
		r.sendAll()
	}
}

// stepDown ends this replica's leadership, if it leads.
func (r *Replicator[C, S]) stepDown(reason LossReason) {
	if r.role != leader {
		return
	}
	r.role = follower
	r.leader = Peer{}
	r.postponeElection()
	r.emit(LeadershipLost{Term: r.hard.Term, Reason: reason})
	r.failReads()
	r.leading = leadership{}
}

// sendAll sends each member what it lacks, or a heartbeat.
func (r *Replicator[C, S]) sendAll() {
	r.leading.heartbeatDue = r.now.Add(HeartbeatInterval)
	for _, x := range r.Members() {
		if x.Replica != r.parameters.Self.Replica {
			r.sendAppend(x.Peer)
		}
	}
}

// sendAppend sends one member the entries that come next; next moves on at once,
// and comes back when the member reports that it lacks some.
func (r *Replicator[C, S]) sendAppend(to Peer) {
	p := r.leading.progress[to.Replica]
	if p.next <= r.log.base && r.snapshot != nil {
		r.sendSnapshot(to, p)
		return
	}
	previous := p.next - 1
	term, _ := r.log.term(previous)
	entries := r.log.after(previous, MaxBatch)
	p.next += identifier.LogIndex(len(entries))
	r.send(to, AppendRequest{
		Previous: previous, PreviousTerm: term, Entries: entries, Commit: r.commit, Round: r.leading.round,
	})
}

func (r *Replicator[C, S]) receiveAppendReply(e Envelope, m AppendReply) {
	if e.Term > r.hard.Term {
		r.follow(e.Term)
		return
	}
	if r.role != leader || e.Term < r.hard.Term {
		return
	}
	p, ok := r.leading.progress[e.From.Replica]
	if !ok {
		return
	}
	p.heard = r.now
	p.answered = true
	p.round = max(p.round, m.Round)
	if m.Rejected {
		r.retreat(e.From, p, m.Hint)
	} else {
		r.advanceMatch(e.From, p, m.Match)
	}
	r.finishReads()
	r.changeMembers()
}

// retreat sends again what a member lacks. A late rejection, or one while a
// snapshot is on its way, waits for the next heartbeat.
func (r *Replicator[C, S]) retreat(from Peer, p *progress, hint identifier.LogIndex) {
	p.next = max(p.match+1, min(p.next, hint+1))
	if hint < p.match || (p.next <= r.log.base && r.now < p.snapshotDue) {
		return
	}
	r.sendAppend(from)
}

// advanceMatch notes what a member holds, and sends what it still lacks.
func (r *Replicator[C, S]) advanceMatch(from Peer, p *progress, match identifier.LogIndex) {
	if match > p.match {
		p.match = match
		p.snapshotDue = 0
	}
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
	if r.role == leader && p.next <= r.log.last() {
		r.sendAppend(from)
	}
}

// advanceCommit commits the entries of the leader's own term that a quorum has
// synced, and with them all before.
func (r *Replicator[C, S]) advanceCommit() {
	index := r.quorumMatch()
	term, _ := r.log.term(index)
	if index <= r.commit || term != r.hard.Term {
		return
	}
	r.commit = index
	r.sendAll()
	r.deliver()
	if !r.isVoter() && r.members.latest().index <= r.commit {
		r.stepDown(LostByMemberships)
	}
}

// quorumMatch returns the highest index that a quorum of voters has synced.
func (r *Replicator[C, S]) quorumMatch() identifier.LogIndex {
	var matches []identifier.LogIndex
	for _, x := range r.Members() {
		switch {
		case !x.Voter:
		case x.Replica == r.parameters.Self.Replica:
			matches = append(matches, r.writes.stable)
		default:
			matches = append(matches, r.leading.progress[x.Replica].match)
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-r.Members().Quorum()]
}
