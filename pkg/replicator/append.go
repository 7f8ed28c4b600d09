package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// hearLeader takes a message of a leader. It reports false, after it has
// answered, when the message is of an earlier term.
func (r *Replicator[C, S]) hearLeader(e Envelope) bool {
	if e.Term < r.hard.Term {
		r.sendSynced(e.From, AppendReply{Rejected: true, Hint: r.log.last()})
		return false
	}
	other := e.Term == r.hard.Term && r.leader.Replica != 0 && r.leader != e.From
	r.require(!other, OneLeaderInvariant, "term %d has the leaders %v and %v", e.Term, r.leader, e.From)
	r.follow(e.Term)
	r.leader = e.From
	r.leaderHeard = r.now
	r.everHeard = true
	r.postponeElection()
	return true
}

func (r *Replicator[C, S]) receiveAppendRequest(e Envelope, m AppendRequest) {
	if !r.hearLeader(e) {
		return
	}
	m = r.afterBase(m)
	term, ok := r.log.term(m.Previous)
	if !ok || term != m.PreviousTerm {
		r.sendSynced(e.From, AppendReply{Rejected: true, Hint: r.hint(m.Previous), Round: m.Round})
		return
	}
	r.replaceEntries(m.Entries)
	match := m.Previous + identifier.LogIndex(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, match))
	r.deliver()
	r.sendSynced(e.From, AppendReply{Match: match, Round: m.Round})
}

// afterBase leaves out of a request what this log has compacted, which is
// committed and so equals the leader's.
func (r *Replicator[C, S]) afterBase(m AppendRequest) AppendRequest {
	if m.Previous >= r.log.base {
		return m
	}
	covered := min(r.log.base-m.Previous, identifier.LogIndex(len(m.Entries)))
	m.Entries = m.Entries[covered:]
	m.Previous = r.log.base
	m.PreviousTerm = r.log.baseTerm
	return m
}

// hint returns the index after which the leader should go on when the entry at
// the index is missing or differs.
func (r *Replicator[C, S]) hint(previous identifier.LogIndex) identifier.LogIndex {
	if previous > r.log.last() {
		return r.log.last()
	}
	return max(r.commit, r.log.conflict(previous))
}

// replaceEntries appends the entries that the log lacks, in place of any that differ.
func (r *Replicator[C, S]) replaceEntries(entries []Entry) {
	for i, x := range entries {
		term, ok := r.log.term(x.Index)
		if ok && term == x.Term {
			continue
		}
		if ok {
			r.cutLog(x.Index)
		}
		r.appendEntries(entries[i:])
		return
	}
}

// deliver hands over what is committed and synced here.
func (r *Replicator[C, S]) deliver() {
	if !r.deliverSnapshot() {
		return
	}
	for r.applied < min(r.commit, r.writes.stable) {
		x := r.log.at(r.applied + 1)
		r.require(x.Index == r.applied+1, AppliedInOrderInvariant, "entry %d follows %d", x.Index, r.applied)
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
