package replicator

import (
	"cmp"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Peer is a host and the replica id of its disk.
type Peer struct {
	Host    identifier.HostID    `msgpack:"h"`
	Replica identifier.ReplicaID `msgpack:"r"`
}

// Member is a peer that the log is replicated to.
type Member struct {
	Peer
	// Voter is set for members that count in quorums. The others are learners.
	Voter bool `msgpack:"v"`
}

// Membership lists the members, sorted by host, then by replica.
type Membership []Member

// Find returns the member with the replica id, and whether there is one.
func (m Membership) Find(id identifier.ReplicaID) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.Replica == id })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// IsVoter reports whether the replica is a voter.
func (m Membership) IsVoter(id identifier.ReplicaID) bool {
	x, ok := m.Find(id)
	return ok && x.Voter
}

// HasHost reports whether a voter or learner runs on the host.
func (m Membership) HasHost(id identifier.HostID) bool {
	return slices.ContainsFunc(m, func(x Member) bool { return x.Host == id })
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	count := 0
	for _, x := range m {
		if x.Voter {
			count++
		}
	}
	return count
}

// Quorum returns the number of voters in a majority. Any two majorities share a voter.
func (m Membership) Quorum() int {
	return m.Voters()/2 + 1
}

// isQuorum reports whether the voters that meet the condition form a quorum.
func (m Membership) isQuorum(meets func(identifier.ReplicaID) bool) bool {
	count := 0
	for _, x := range m {
		if x.Voter && meets(x.Replica) {
			count++
		}
	}
	return count >= m.Quorum()
}

// with returns a copy that includes the member, in place of any with the same replica id.
func (m Membership) with(x Member) Membership {
	changed := append(m.without(x.Replica), x)
	slices.SortFunc(changed, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Replica, b.Replica))
	})
	return changed
}

// without returns a copy that excludes the replica.
func (m Membership) without(id identifier.ReplicaID) Membership {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.Replica == id })
}

// voterChanges counts the replicas that are voters in only one of the memberships.
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

// membershipAt is a membership and the index of the entry or snapshot that set it.
type membershipAt struct {
	index   identifier.LogIndex
	members Membership
}

// memberships lists the current membership and the earlier ones that truncating the log may
// restore, oldest first.
type memberships []membershipAt

// latest returns the current membership: the last one in the log, committed or not.
func (m memberships) latest() membershipAt {
	if len(m) == 0 {
		return membershipAt{}
	}
	return m[len(m)-1]
}

// at returns the membership that was in effect at the index.
func (m memberships) at(index identifier.LogIndex) Membership {
	var found Membership
	for _, x := range m {
		if x.index <= index {
			found = x.members
		}
	}
	return found
}

// truncate removes the memberships set at the index or later.
func (m memberships) truncate(index identifier.LogIndex) memberships {
	for len(m) > 0 && m[len(m)-1].index >= index {
		m = m[:len(m)-1]
	}
	return m
}

// compact removes the memberships that were replaced at the index or earlier.
func (m memberships) compact(index identifier.LogIndex) memberships {
	for len(m) > 1 && m[1].index <= index {
		m = m[1:]
	}
	return m
}
