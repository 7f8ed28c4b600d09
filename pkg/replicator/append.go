package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// acceptLeader records the sender of a message as the current leader. If the
// message is of an earlier term, it sends a rejection and returns false.
func (r *Replicator[C, S]) acceptLeader(e Envelope) bool {
	if e.Term < r.hard.Term {
		r.sendSynced(e.From, AppendReply{Rejected: true, Hint: r.log.last()})
		return false
	}
	conflicting := e.Term == r.hard.Term && r.leader.Replica != 0 && r.leader != e.From
	r.require(!conflicting, OneLeaderInvariant, "term %d has two leaders: %v and %v", e.Term, r.leader, e.From)
	r.becomeFollower(e.Term)
	r.leader = e.From
	r.lastLeader = e.From.Replica
	r.lastContact = r.now
	r.leaderSeen = true
	r.resetElectionTimer()
	return true
}

func (r *Replicator[C, S]) receiveAppendRequest(e Envelope, m AppendRequest) {
	if !r.acceptLeader(e) {
		return
	}
	m = r.skipCompacted(m)
	term, ok := r.log.term(m.Previous)
	if !ok || term != m.PreviousTerm {
		r.sendSynced(e.From, AppendReply{Rejected: true, Hint: r.rejectionHint(m.Previous), Round: m.Round})
		return
	}
	r.replaceEntries(m.Entries)
	match := m.Previous + identifier.LogIndex(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, match))
	r.deliver()
	r.sendSynced(e.From, AppendReply{Match: match, Round: m.Round})
}

// skipCompacted drops the entries that this log has already compacted. They are
// committed, so they equal the leader's.
func (r *Replicator[C, S]) skipCompacted(m AppendRequest) AppendRequest {
	if m.Previous >= r.log.base {
		return m
	}
	compacted := min(r.log.base-m.Previous, identifier.LogIndex(len(m.Entries)))
	m.Entries = m.Entries[compacted:]
	m.Previous = r.log.base
	m.PreviousTerm = r.log.baseTerm
	return m
}

// rejectionHint returns the index after which the leader should resume sending when
// the entry at the previous index is missing or differs.
func (r *Replicator[C, S]) rejectionHint(previous identifier.LogIndex) identifier.LogIndex {
	if previous > r.log.last() {
		return r.log.last()
	}
	return max(r.commit, r.log.lastBeforeTerm(previous))
}

// replaceEntries appends the entries that the log lacks and truncates the log at
// the first entry that differs.
func (r *Replicator[C, S]) replaceEntries(entries []Entry) {
	for i, x := range entries {
		term, ok := r.log.term(x.Index)
		if ok && term == x.Term {
			continue
		}
		if ok {
			r.truncateLog(x.Index)
		}
		r.appendEntries(entries[i:])
		return
	}
}

// deliver emits the entries that are committed and synced locally.
func (r *Replicator[C, S]) deliver() {
	if !r.deliverSnapshot() {
		return
	}
	for r.applied < min(r.commit, r.writes.syncedIndex) {
		x := r.log.at(r.applied + 1)
		r.require(x.Index == r.applied+1, AppliedInOrderInvariant, "entry %d is applied after entry %d", x.Index, r.applied)
		r.applied++
		switch c := x.Content.(type) {
		case Proposal[C]:
			r.emit(Committed[C]{Index: x.Index, Command: c.Command})
		case MembershipChange:
			r.emit(MembersCommitted{Index: x.Index, Members: c.Members})
		}
	}
	r.finishReads()
	if r.role == leader && !r.leading.won && r.applied >= r.leading.first {
		r.leading.won = true
		r.emit(LeadershipWon{Term: r.hard.Term})
	}
}
