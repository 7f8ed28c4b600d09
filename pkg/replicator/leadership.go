package replicator

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// leaderState is the state that only a leader has.
type leaderState struct {
	heartbeatDue identifier.Instant
	progress     map[identifier.ReplicaID]*progress
	// first is the index of the leader's first entry of its own term.
	first identifier.LogIndex
	// won is set once the entry at first has been delivered.
	won   bool
	round Round
	reads []pendingRead
	// removal is the removal that an operator has requested; its replica is 0 if there is none.
	removal pendingRemoval
}

// progress is a leader's replication state for another member.
type progress struct {
	// match is the last index at which the member's log is known to equal the leader's.
	match identifier.LogIndex
	// next is the index to send next.
	next identifier.LogIndex
	// lastActive is the instant of the member's last reply. Before its first reply, it is the
	// instant at which the leader started sending to it or, for the previous leader, of its last
	// message.
	lastActive identifier.Instant
	// replied is set once the member has replied to this leader.
	replied bool
	round   Round
	// snapshotDue is the earliest instant at which to resend a snapshot.
	snapshotDue identifier.Instant
}

func (r *Replicator[C, S]) becomeLeader() {
	r.role = leader
	r.leader = r.parameters.Self
	r.leaderSeen = true
	r.leading = leaderState{progress: map[identifier.ReplicaID]*progress{}, first: r.log.last() + 1}
	r.trackMembers()
	if p, ok := r.leading.progress[r.lastLeader]; ok && !r.votes[r.lastLeader] {
		p.lastActive = r.lastContact
	}
	r.appendAsLeader(Proposal[C]{Command: r.noop})
}

// trackMembers adds and removes progress entries to match the current membership.
func (r *Replicator[C, S]) trackMembers() {
	for _, x := range r.Members() {
		if x.Replica == r.parameters.Self.Replica || r.leading.progress[x.Replica] != nil {
			continue
		}
		r.leading.progress[x.Replica] = &progress{next: r.log.last() + 1, lastActive: r.now}
	}
	for id := range r.leading.progress {
		if _, ok := r.Members().Find(id); !ok {
			delete(r.leading.progress, id)
		}
	}
}

// appendAsLeader appends content in the leader's term and sends it to all members.
// It returns the index of the new entry.
func (r *Replicator[C, S]) appendAsLeader(c Content) identifier.LogIndex {
	index := r.log.last() + 1
	r.appendEntries([]Entry{{Index: index, Term: r.hard.Term, Content: c}})
	r.trackMembers()
	r.broadcastAppend()
	return index
}

// tickLeader steps down if the leader has lost its quorum; otherwise it sends
// heartbeats when they are due.
func (r *Replicator[C, S]) tickLeader() {
	if !r.quorumActive(r.Members()) {
		r.stepDown(LostQuorum)
		return
	}
	if r.now >= r.leading.heartbeatDue {
		r.broadcastAppend()
	}
}

// stepDown makes a leader a follower. It does nothing on other replicas.
func (r *Replicator[C, S]) stepDown(reason LossReason) {
	if r.role != leader {
		return
	}
	r.role = follower
	r.leader = Peer{}
	r.resetElectionTimer()
	r.emit(LeadershipLost{Term: r.hard.Term, Reason: reason})
	r.failReads()
	r.leading = leaderState{}
}

// broadcastAppend sends each member the entries that it lacks, or a heartbeat.
func (r *Replicator[C, S]) broadcastAppend() {
	r.leading.heartbeatDue = r.now.Add(HeartbeatInterval)
	for _, x := range r.Members() {
		if x.Replica != r.parameters.Self.Replica {
			r.sendAppend(x.Peer)
		}
	}
}

// sendAppend sends a member the next batch of entries. It advances next without
// waiting for the reply; a rejection moves next back.
func (r *Replicator[C, S]) sendAppend(to Peer) {
	p := r.leading.progress[to.Replica]
	if p.next <= r.log.base && r.snapshot != nil {
		r.sendSnapshot(to, p)
		return
	}
	previous := p.next - 1
	term, _ := r.log.term(previous)
	entries := r.log.after(previous, MaxBatchEntries)
	p.next += identifier.LogIndex(len(entries))
	r.send(to, AppendRequest{
		Previous: previous, PreviousTerm: term, Entries: entries, Commit: r.commit, Round: r.leading.round,
	})
}

func (r *Replicator[C, S]) receiveAppendReply(e Envelope, m AppendReply) {
	if e.Term > r.hard.Term {
		r.becomeFollower(e.Term)
		return
	}
	if r.role != leader || e.Term < r.hard.Term {
		return
	}
	p, ok := r.leading.progress[e.From.Replica]
	if !ok {
		return
	}
	p.lastActive = r.now
	p.replied = true
	p.round = max(p.round, m.Round)
	if m.Rejected {
		r.handleRejection(e.From, p, m.Hint)
	} else {
		r.advanceMatch(e.From, p, m.Match)
	}
	r.finishReads()
	r.finishRemoval()
	r.advanceMembership()
}

// handleRejection moves next back to the hint and resends from there. After a stale
// rejection, or while a snapshot is in flight, it leaves the resend to the next heartbeat.
func (r *Replicator[C, S]) handleRejection(from Peer, p *progress, hint identifier.LogIndex) {
	p.next = max(p.match+1, min(p.next, hint+1))
	if hint < p.match || (p.next <= r.log.base && r.now < p.snapshotDue) {
		return
	}
	r.sendAppend(from)
}

// advanceMatch records how far a member's log matches, and sends the entries that
// it still lacks.
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

// advanceCommit commits entries of the leader's own term that a quorum has synced,
// together with all earlier entries.
func (r *Replicator[C, S]) advanceCommit() {
	index := r.quorumMatch()
	term, _ := r.log.term(index)
	if index <= r.commit || term != r.hard.Term {
		return
	}
	r.commit = index
	r.broadcastAppend()
	r.deliver()
	if !r.isVoter() && r.members.latest().index <= r.commit {
		r.stepDown(LostMembership)
	}
}

// quorumMatch returns the highest index that a quorum of voters has synced.
func (r *Replicator[C, S]) quorumMatch() identifier.LogIndex {
	var matches []identifier.LogIndex
	for _, x := range r.Members() {
		switch {
		case !x.Voter:
		case x.Replica == r.parameters.Self.Replica:
			matches = append(matches, r.writes.syncedIndex)
		default:
			matches = append(matches, r.leading.progress[x.Replica].match)
		}
	}
	slices.Sort(matches)
	return matches[len(matches)-r.Members().Quorum()]
}
