package replicator

import (
	"cmp"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Peer is a host and the disk that it runs on.
type Peer struct {
	Host    identifier.HostID    `msgpack:"h"`
	Replica identifier.ReplicaID `msgpack:"r"`
}

// Member is a peer that receives the log.
type Member struct {
	Peer
	// Voter is set for members that count in quorums; the others are learners.
	Voter bool `msgpack:"v"`
}

// Membership lists the members, in order of host, then of replica.
type Membership []Member

// Find returns the member with the replica id, and whether there is one.
func (m Membership) Find(id identifier.ReplicaID) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.Replica == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// IsVoter reports whether the replica counts in quorums.
func (m Membership) IsVoter(id identifier.ReplicaID) bool {
	x, ok := m.Find(id)
	return ok && x.Voter
}

// HasHost reports whether a member of any kind runs on the host.
func (m Membership) HasHost(id identifier.HostID) bool {
	return slices.ContainsFunc(m, func(x Member) bool { return x.Host == id })
}

// Voters counts the members that count in quorums.
func (m Membership) Voters() int {
	count := 0
	for _, x := range m {
		if x.Voter {
			count++
		}
	}
	return count
}

// Quorum is the least number of voters of which any two sets share one.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// isQuorum reports whether the voters that meet the condition are a quorum.
func (m Membership) isQuorum(meets func(identifier.ReplicaID) bool) bool {
	count := 0
	for _, x := range m {
		if x.Voter && meets(x.Replica) {
			count++
		}
	}
	return count >= m.Quorum()
}

// with returns a copy in which the member replaces the one of the same replica, if any.
func (m Membership) with(x Member) Membership {
	changed := append(m.without(x.Replica), x)
	slices.SortFunc(changed, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Replica, b.Replica))
	})
	return changed
}

// without returns a copy that lacks the replica.
func (m Membership) without(id identifier.ReplicaID) Membership {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.Replica == id })
}

// voterChanges counts the replicas that vote in one of the memberships only.
func voterChanges(a, b Membership) int {
	count := 0
	for _, x := range a {
		if x.Voter && !b.IsVoter(x.Replica) {
			count++
		}
	}
	for _, x := range b {
		if x.Voter && !a.IsVoter(x.Replica) {
			count++
		}
	}
	return count
}

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index   identifier.LogIndex
	members Membership
}

// memberships is the history of memberships that the log may return to, oldest first.
type memberships []membershipAt

// latest returns the membership in use: that of the last entry in the log, committed or not.
func (m memberships) latest() membershipAt {
	if len(m) == 0 {
		return membershipAt{}
	}
	return m[len(m)-1]
}

// at returns the membership as of the index.
func (m memberships) at(index identifier.LogIndex) Membership {
	var found Membership
	for _, x := range m {
		if x.index <= index {
			found = x.members
		}
	}
	return found
}

// cut forgets the memberships set at the index or later.
func (m memberships) cut(index identifier.LogIndex) memberships {
	for len(m) > 0 && m[len(m)-1].index >= index {
		m = m[:len(m)-1]
	}
	return m
}

// compact forgets those that were replaced at the index or earlier.
func (m memberships) compact(index identifier.LogIndex) memberships {
	for len(m) > 1 && m[1].index <= index {
		m = m[1:]
	}
	return m
}
