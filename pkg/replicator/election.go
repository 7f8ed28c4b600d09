package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// startElection requests pre-votes from the other voters. It does not change the
// term, so a replica that can't win an election doesn't disrupt the current leader.
func (r *Replicator[C, S]) startElection() {
	if r.role == preCandidate {
		// The last pre-vote reached no quorum; the others may have removed this replica.
		r.sendProbes()
	}
	r.role = preCandidate
	r.leader = Peer{}
	r.resetElectionTimer()
	r.votes = map[identifier.ReplicaID]bool{r.parameters.Self.Replica: true}
	if r.hasVoteQuorum() {
		r.campaign()
		return
	}
	r.requestVotes(PreVoteRequest{LastIndex: r.log.last(), LastTerm: r.log.lastTerm()})
}

// campaign starts a new term and requests votes. The candidate's own vote counts
// once it is synced.
func (r *Replicator[C, S]) campaign() {
	r.role = candidate
	r.leader = Peer{}
	r.hard.Term++
	r.hard.Vote = r.parameters.Self.Replica
	r.storeHardState()
	r.writes.ownVoteWrite = r.writes.issued
	r.votes = map[identifier.ReplicaID]bool{}
	r.resetElectionTimer()
	r.requestVotes(VoteRequest{LastIndex: r.log.last(), LastTerm: r.log.lastTerm()})
}

func (r *Replicator[C, S]) requestVotes(m Message) {
	for _, x := range r.Members() {
		if x.Voter && x.Replica != r.parameters.Self.Replica {
			r.sendSynced(x.Peer, m)
		}
	}
}

// countOwnVote counts this candidate's vote for itself once it has been synced.
func (r *Replicator[C, S]) countOwnVote() {
	if r.writes.ownVoteWrite == 0 || r.writes.synced < r.writes.ownVoteWrite {
		return
	}
	r.writes.ownVoteWrite = 0
	if r.role == candidate {
		r.countVote(r.parameters.Self.Replica)
	}
}

func (r *Replicator[C, S]) countVote(id identifier.ReplicaID) {
	r.votes[id] = true
	if r.hasVoteQuorum() {
		r.becomeLeader()
	}
}

// hasVoteQuorum reports whether a quorum of the current membership has voted for this replica.
func (r *Replicator[C, S]) hasVoteQuorum() bool {
	return r.Members().isQuorum(func(id identifier.ReplicaID) bool { return r.votes[id] })
}

// becomeFollower makes this replica a follower in a term, which must not be lower
// than the current one.
func (r *Replicator[C, S]) becomeFollower(term identifier.Term) {
	r.stepDown(LostToHigherTerm)
	r.role = follower
	r.writes.ownVoteWrite = 0
	if term > r.hard.Term {
		r.hard.Term = term
		r.hard.Vote = 0
		r.leader = Peer{}
		r.storeHardState()
	}
}

// upToDate reports whether a log with this last entry is at least as up to date as
// the local one, and so holds everything that is committed here.
func (r *Replicator[C, S]) upToDate(lastTerm identifier.Term, lastIndex identifier.LogIndex) bool {
	if lastTerm != r.log.lastTerm() {
		return lastTerm > r.log.lastTerm()
	}
	return lastIndex >= r.log.last()
}

// hasActiveLeader reports whether this replica leads or has received a message from
// the leader within the election timeout. It then votes for no other replica.
func (r *Replicator[C, S]) hasActiveLeader() bool {
	if r.role == leader {
		return true
	}
	return r.leader.Replica != 0 && r.now.Since(r.lastContact) < ElectionTimeout
}

func (r *Replicator[C, S]) receivePreVoteRequest(e Envelope, m PreVoteRequest) {
	proposed := e.Term + 1
	granted := proposed > r.hard.Term && !r.hasActiveLeader() && r.upToDate(m.LastTerm, m.LastIndex)
	r.sendSynced(e.From, PreVoteReply{Proposed: proposed, Granted: granted})
}

func (r *Replicator[C, S]) receivePreVoteReply(e Envelope, m PreVoteReply) {
	if !m.Granted {
		if e.Term > r.hard.Term {
			r.becomeFollower(e.Term)
		}
		return
	}
	if r.role != preCandidate || m.Proposed != r.hard.Term+1 {
		return
	}
	r.votes[e.From.Replica] = true
	if r.hasVoteQuorum() {
		r.campaign()
	}
}

func (r *Replicator[C, S]) receiveVoteRequest(e Envelope, m VoteRequest) {
	if e.Term < r.hard.Term || r.hasActiveLeader() {
		r.sendSynced(e.From, VoteReply{})
		return
	}
	if e.Term > r.hard.Term {
		r.becomeFollower(e.Term)
	}
	mayVote := r.hard.Vote == 0 || r.hard.Vote == e.From.Replica
	granted := mayVote && r.upToDate(m.LastTerm, m.LastIndex)
	if granted && r.hard.Vote == 0 {
		r.hard.Vote = e.From.Replica
		r.storeHardState()
		r.resetElectionTimer()
	}
	r.sendSynced(e.From, VoteReply{Granted: granted})
}

func (r *Replicator[C, S]) receiveVoteReply(e Envelope, m VoteReply) {
	if e.Term > r.hard.Term {
		r.becomeFollower(e.Term)
		return
	}
	if r.role == candidate && e.Term == r.hard.Term && m.Granted {
		r.countVote(e.From.Replica)
	}
}
