package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// seekLeadership asks the other voters whether they would vote for this replica.
// The term stays, so a replica that can't win disturbs nobody.
func (r *Replicator[C, S]) seekLeadership() {
	if r.role == preCandidate {
		// No quorum answers; the others may have removed this replica.
		r.sendProbes()
	}
	r.role = preCandidate
	r.leader = Peer{}
	r.postponeElection()
	r.votes = map[identifier.ReplicaID]bool{r.parameters.Self.Replica: true}
	if r.hasVotes() {
		r.campaign()
		return
	}
	r.askVoters(PreVoteRequest{LastIndex: r.log.last(), LastTerm: r.log.lastTerm()})
}

// campaign begins a term and asks for votes; its own counts once it is synced.
func (r *Replicator[C, S]) campaign() {
	r.role = candidate
	r.leader = Peer{}
	r.hard.Term++
	r.hard.Vote = r.parameters.Self.Replica
	r.storeHard()
	r.writes.ownVote = r.writes.issued
	r.votes = map[identifier.ReplicaID]bool{}
	r.postponeElection()
	r.askVoters(VoteRequest{LastIndex: r.log.last(), LastTerm: r.log.lastTerm()})
}

func (r *Replicator[C, S]) askVoters(m Message) {
	for _, x := range r.Members() {
		if x.Voter && x.Replica != r.parameters.Self.Replica {
			r.sendSynced(x.Peer, m)
		}
	}
}

// countOwnVote counts this candidate's vote for itself when it has been synced.
func (r *Replicator[C, S]) countOwnVote() {
	if r.writes.ownVote == 0 || r.writes.synced < r.writes.ownVote {
		return
	}
	r.writes.ownVote = 0
	if r.role == candidate {
		r.countVote(r.parameters.Self.Replica)
	}
}

func (r *Replicator[C, S]) countVote(id identifier.ReplicaID) {
	r.votes[id] = true
	if r.hasVotes() {
		r.beginLeadership()
	}
}

// hasVotes reports whether a quorum of the membership in use has voted for this replica.
func (r *Replicator[C, S]) hasVotes() bool {
	return r.Members().isQuorum(func(id identifier.ReplicaID) bool { return r.votes[id] })
}

// follow enters a term that is at least the current one, as a follower.
func (r *Replicator[C, S]) follow(term identifier.Term) {
	r.stepDown(LostToHigherTerm)
	r.role = follower
	r.writes.ownVote = 0
	if term > r.hard.Term {
		r.hard.Term = term
		r.hard.Vote = 0
		r.leader = Peer{}
		r.storeHard()
	}
}

// upToDate reports whether a log that ends so holds all that this one has committed.
func (r *Replicator[C, S]) upToDate(lastTerm identifier.Term, lastIndex identifier.LogIndex) bool {
	if lastTerm != r.log.lastTerm() {
		return lastTerm > r.log.lastTerm()
	}
	return lastIndex >= r.log.last()
}

// hearsLeader reports whether a leader is at work, so that no other may be elected.
func (r *Replicator[C, S]) hearsLeader() bool {
	if r.role == leader {
		return true
	}
	return r.leader.Replica != 0 && r.now.Since(r.leaderHeard) < ElectionTimeout
}

func (r *Replicator[C, S]) receivePreVoteRequest(e Envelope, m PreVoteRequest) {
	proposed := e.Term + 1
	granted := proposed > r.hard.Term && !r.hearsLeader() && r.upToDate(m.LastTerm, m.LastIndex)
	r.sendSynced(e.From, PreVoteReply{Proposed: proposed, Granted: granted})
}

func (r *Replicator[C, S]) receivePreVoteReply(e Envelope, m PreVoteReply) {
	if !m.Granted {
		if e.Term > r.hard.Term {
			r.follow(e.Term)
		}
		return
	}
	if r.role != preCandidate || m.Proposed != r.hard.Term+1 {
		return
	}
	r.votes[e.From.Replica] = true
	if r.hasVotes() {
		r.campaign()
	}
}

func (r *Replicator[C, S]) receiveVoteRequest(e Envelope, m VoteRequest) {
	if e.Term < r.hard.Term || r.hearsLeader() {
		r.sendSynced(e.From, VoteReply{})
		return
	}
	if e.Term > r.hard.Term {
		r.follow(e.Term)
	}
	free := r.hard.Vote == 0 || r.hard.Vote == e.From.Replica
	granted := free && r.upToDate(m.LastTerm, m.LastIndex)
	if granted && r.hard.Vote == 0 {
		r.hard.Vote = e.From.Replica
		r.storeHard()
		r.postponeElection()
	}
	r.sendSynced(e.From, VoteReply{Granted: granted})
}

func (r *Replicator[C, S]) receiveVoteReply(e Envelope, m VoteReply) {
	if e.Term > r.hard.Term {
		r.follow(e.Term)
		return
	}
	if r.role == candidate && e.Term == r.hard.Term && m.Granted {
		r.countVote(e.From.Replica)
	}
}
