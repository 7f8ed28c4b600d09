package replicator_test

import (
	"errors"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/replicator"
)

// These cases need sequences of events that a randomised run seldom produces.

var threeVoters = replicator.Membership{
	{Peer: replicator.Peer{Host: "h-1", Replica: 1}, Voter: true},
	{Peer: replicator.Peer{Host: "h-2", Replica: 2}, Voter: true},
	{Peer: replicator.Peer{Host: "h-3", Replica: 3}, Voter: true},
}

// singleReplica is one replica of threeVoters. The test plays the role of its peers.
type singleReplica struct {
	node *node
	now  identifier.Instant
}

// newSingleReplica recovers h-1 in term 3 with the initial membership of term 1 and a
// command of term 2.
func newSingleReplica() *singleReplica {
	return newReplicaOf(replicator.Parameters{})
}

// newReplicaOf is newSingleReplica with further parameters.
func newReplicaOf(p replicator.Parameters) *singleReplica {
	p.Self, p.Hosts = threeVoters[0].Peer, []identifier.HostID{"h-1", "h-2", "h-3"}
	p.Require = func(holds bool, i replicator.Invariant, detail string) {
		gomega.Expect(holds).To(gomega.BeTrue(), "%s: %s", i, detail)
	}
	s := &singleReplica{node: replicator.New[int, history](p, 0)}
	s.node.Recover(0, replicator.Recovered[history]{
		Hard: replicator.HardState{Group: 1, Term: 3},
		Entries: []replicator.Entry{
			{Index: 1, Term: 1, Content: replicator.MembershipChange{Members: threeVoters}},
			{Index: 2, Term: 2, Content: replicator.Proposal[int]{Command: 5}},
		},
	})
	return s
}

// take returns the messages of the replica. It syncs all records at once.
func (s *singleReplica) take() []replicator.Envelope {
	var messages []replicator.Envelope
	for {
		output := s.node.Take()
		messages = append(messages, output.Messages...)
		if len(output.Records) == 0 {
			return messages
		}
		s.node.Persisted(s.now, output.Sequence)
	}
}

func (s *singleReplica) receive(from int, term identifier.Term, m replicator.Message) []replicator.Envelope {
	s.node.Receive(s.now, replicator.Envelope{
		Group: 1, From: threeVoters[from-1].Peer, To: threeVoters[0].Peer, Term: term, Message: m,
	})
	return s.take()
}

// elect makes the replica the leader of term 4, with the vote of h-2.
func (s *singleReplica) elect() {
	s.now = s.node.NextDue()
	s.node.Tick(s.now)
	s.take()
	s.receive(2, 3, replicator.PreVoteReply{Proposed: 4, Granted: true})
	s.receive(2, 4, replicator.VoteReply{Granted: true})
	gomega.Expect(s.node.IsLeader()).To(gomega.BeTrue())
}

var _ = ginkgo.Describe("a replica", func() {
	ginkgo.It("commits entries of an earlier term only after one of its own term", func() {
		s := newSingleReplica()
		s.elect()
		s.receive(2, 4, replicator.AppendReply{Match: 2})
		gomega.Expect(s.node.CommitIndex()).To(gomega.BeZero())
		s.receive(2, 4, replicator.AppendReply{Match: 3})
		gomega.Expect(s.node.CommitIndex()).To(gomega.Equal(identifier.LogIndex(3)))
	})

	ginkgo.It("counts its own entries only when they are synced", func() {
		s := newSingleReplica()
		s.elect()
		s.receive(2, 4, replicator.AppendReply{Match: 3})
		s.node.Propose(s.now, 6)
		output := s.node.Take()
		reply := replicator.Envelope{
			Group: 1, From: threeVoters[1].Peer, To: threeVoters[0].Peer, Term: 4, Message: replicator.AppendReply{Match: 4},
		}
		s.node.Receive(s.now, reply)
		gomega.Expect(s.node.CommitIndex()).To(gomega.Equal(identifier.LogIndex(3)))
		s.node.Persisted(s.now, output.Sequence)
		gomega.Expect(s.node.CommitIndex()).To(gomega.Equal(identifier.LogIndex(4)))
	})

	ginkgo.It("confirms a read only by a round that began after it", func() {
		s := newSingleReplica()
		s.elect()
		s.receive(2, 4, replicator.AppendReply{Match: 3})
		s.node.Read(s.now, 9)
		s.node.Receive(s.now, replicator.Envelope{
			Group: 1, From: threeVoters[1].Peer, To: threeVoters[0].Peer, Term: 4, Message: replicator.AppendReply{Match: 3, Round: 0},
		})
		gomega.Expect(s.node.Take().Outcomes).To(gomega.BeEmpty())
		s.node.Receive(s.now, replicator.Envelope{
			Group: 1, From: threeVoters[1].Peer, To: threeVoters[0].Peer, Term: 4, Message: replicator.AppendReply{Match: 3, Round: 1},
		})
		gomega.Expect(s.node.Take().Outcomes).To(gomega.ConsistOf(replicator.ReadDone{Ticket: 9, Confirmed: true}))
	})

	ginkgo.It("steps down before it handles an input after a freeze", func() {
		s := newSingleReplica()
		s.elect()
		s.receive(2, 4, replicator.AppendReply{Match: 3})
		s.now = s.now.Add(10 * identifier.Second)
		s.receive(2, 4, replicator.AppendReply{Match: 3})
		gomega.Expect(s.node.IsLeader()).To(gomega.BeFalse())
		_, ok := s.node.Propose(s.now, 6)
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	ginkgo.It("keeps its term for as long as it is cut off from the other voters", func() {
		s := newSingleReplica()
		for range 20 {
			s.now = s.node.NextDue()
			s.node.Tick(s.now)
			s.take()
		}
		gomega.Expect(s.node.Term()).To(gomega.Equal(identifier.Term(3)))
	})

	ginkgo.It("doesn't vote for a candidate while it has an active leader", func() {
		s := newSingleReplica()
		s.receive(2, 3, replicator.AppendRequest{Previous: 2, PreviousTerm: 2})
		s.now = s.now.Add(replicator.ElectionTimeout / 2)
		s.receive(3, 4, replicator.VoteRequest{LastIndex: 9, LastTerm: 3})
		gomega.Expect(s.node.Term()).To(gomega.Equal(identifier.Term(3)))
	})

	ginkgo.It("sends no reply and commits nothing before its records are synced", func() {
		s := newSingleReplica()
		entry := replicator.Entry{Index: 3, Term: 3, Content: replicator.Proposal[int]{Command: 6}}
		s.node.Receive(s.now, replicator.Envelope{
			Group: 1, From: threeVoters[1].Peer, To: threeVoters[0].Peer, Term: 3,
			Message: replicator.AppendRequest{Previous: 2, PreviousTerm: 2, Entries: []replicator.Entry{entry}, Commit: 3},
		})
		output := s.node.Take()
		gomega.Expect(output.Messages).To(gomega.BeEmpty())
		gomega.Expect(output.Outcomes).To(gomega.HaveLen(2), "entries 1 and 2 were synced before")
		s.node.Persisted(s.now, output.Sequence)
		output = s.node.Take()
		gomega.Expect(output.Messages).To(gomega.HaveLen(1))
		gomega.Expect(output.Outcomes).To(gomega.ConsistOf(replicator.Committed[int]{Index: 3, Command: 6}))
	})

	ginkgo.It("commits only the entries that are known to equal the leader's", func() {
		s := newSingleReplica()
		s.receive(2, 3, replicator.AppendRequest{Previous: 1, PreviousTerm: 1, Commit: 2})
		gomega.Expect(s.node.CommitIndex()).To(gomega.Equal(identifier.LogIndex(1)))
	})

	ginkgo.It("changes the membership only after an entry of its own term is committed, one change at a time", func() {
		s := newSingleReplica()
		s.receive(2, 3, replicator.AppendRequest{Previous: 2, PreviousTerm: 2, Commit: 2})
		s.elect()
		gomega.Expect(s.node.CommitIndex()).To(gomega.Equal(identifier.LogIndex(2)))
		var refused *replicator.MemberError
		gomega.Expect(errors.As(s.node.RemoveMember(s.now, "h-3"), &refused)).To(gomega.BeTrue())
		gomega.Expect(refused.Temporary).To(gomega.BeTrue())
		s.receive(2, 4, replicator.AppendReply{Match: 3})
		gomega.Expect(s.node.RemoveMember(s.now, "h-3")).To(gomega.Succeed())
		gomega.Expect(errors.As(s.node.RemoveMember(s.now, "h-2"), &refused)).To(gomega.BeTrue())
		gomega.Expect(refused.Temporary).To(gomega.BeTrue())
	})

	ginkgo.It("replaces a lost disk in steps: adds a learner, removes the old voter, promotes the learner", func() {
		s := newSingleReplica()
		s.elect()
		s.receive(2, 4, replicator.AppendReply{Match: 3})
		replacement := replicator.Peer{Host: "h-3", Replica: 9}
		old, learner := threeVoters[2], replicator.Member{Peer: replacement}
		s.node.Receive(s.now, replicator.Envelope{From: replacement, To: replicator.Peer{Host: "h-1"}, Message: replicator.Probe{Empty: true}})
		s.take()
		gomega.Expect(s.node.Members()).To(gomega.ConsistOf(threeVoters[0], threeVoters[1], old, learner))
		s.receive(2, 4, replicator.AppendReply{Match: 4})
		gomega.Expect(s.node.Members()).To(gomega.HaveLen(4), "the learner has not caught up")
		reply := replicator.Envelope{Group: 1, From: replacement, To: threeVoters[0].Peer, Term: 4, Message: replicator.AppendReply{Match: 4}}
		s.node.Receive(s.now, reply)
		s.take()
		gomega.Expect(s.node.Members()).To(gomega.ConsistOf(threeVoters[0], threeVoters[1], learner))
		s.node.Receive(s.now, reply)
		gomega.Expect(s.node.Members()).To(gomega.ConsistOf(threeVoters[0], threeVoters[1], learner), "the removal is not committed")
		s.receive(2, 4, replicator.AppendReply{Match: 5})
		reply.Message = replicator.AppendReply{Match: 5}
		s.node.Receive(s.now, reply)
		learner.Voter = true
		gomega.Expect(s.node.Members()).To(gomega.ConsistOf(threeVoters[0], threeVoters[1], learner))
	})

	ginkgo.It("removes a silent voter before it promotes the learner that replaces it", func() {
		s := newReplicaOf(replicator.Parameters{AutoJoin: true})
		s.elect()
		s.receive(2, 4, replicator.AppendReply{Match: 3})
		joining := replicator.Peer{Host: "h-4", Replica: 9}
		s.node.Receive(s.now, replicator.Envelope{From: joining, To: replicator.Peer{Host: "h-1"}, Message: replicator.Probe{Empty: true}})
		s.take()
		reply := func(match identifier.LogIndex) {
			s.receive(2, 4, replicator.AppendReply{Match: match})
			s.node.Receive(s.now, replicator.Envelope{
				Group: 1, From: joining, To: threeVoters[0].Peer, Term: 4, Message: replicator.AppendReply{Match: match},
			})
			s.take()
		}
		learner := replicator.Member{Peer: joining}
		for elapsed := identifier.Micros(0); elapsed < replicator.SilentVoterTimeout; elapsed += replicator.HeartbeatInterval {
			gomega.Expect(s.node.Members()).To(gomega.ConsistOf(threeVoters[0], threeVoters[1], threeVoters[2], learner))
			reply(4)
			s.now = s.now.Add(replicator.HeartbeatInterval)
		}
		reply(4)
		gomega.Expect(s.node.Members()).To(gomega.ConsistOf(threeVoters[0], threeVoters[1], learner))
		reply(5)
		learner.Voter = true
		gomega.Expect(s.node.Members()).To(gomega.ConsistOf(threeVoters[0], threeVoters[1], learner))
	})

	ginkgo.It("sends nothing once its storage has failed", func() {
		s := newSingleReplica()
		s.elect()
		s.node.Fail(s.now)
		gomega.Expect(s.receive(2, 9, replicator.VoteRequest{LastIndex: 9, LastTerm: 9})).To(gomega.BeEmpty())
		gomega.Expect(s.node.NextDue()).To(gomega.Equal(identifier.Never))
	})
})
