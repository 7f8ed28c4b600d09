package replicator

import (
	"fmt"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// probes is what a replica knows from the probes of others.
type probes struct {
	due   identifier.Instant
	heard map[identifier.HostID]heardProbe
}

type heardProbe struct {
	peer  Peer
	at    identifier.Instant
	ready bool
}

func newProbes() probes {
	return probes{heard: map[identifier.HostID]heardProbe{}}
}

// probeLife is how long a probe counts.
const probeLife = 3 * ProbeInterval

// runProbes founds the group, or asks to join one unless its leader is heard.
func (r *Replicator[C, S]) runProbes() {
	if r.now < r.probes.due {
		return
	}
	r.probes.due = r.now.Add(ProbeInterval)
	if r.hearsLeader() {
		return
	}
	if r.mayFound() {
		r.found()
		return
	}
	r.sendProbes()
}

func (r *Replicator[C, S]) sendProbes() {
	targets := slices.Concat(r.parameters.Hosts, r.contacts)
	slices.Sort(targets)
	for _, h := range slices.Compact(targets) {
		if h == r.parameters.Self.Host {
			continue
		}
		r.sendSynced(Peer{Host: h}, Probe{
			Hosts: r.parameters.Hosts,
			Seen:  r.probes.heard[h].peer.Replica,
			Empty: r.log.last() == 0,
		})
	}
}

// receiveProbe notes a replica that may be no member. A leader
// adds it as a learner when it stands in for a member of the same host, or when
// any host may join.
func (r *Replicator[C, S]) receiveProbe(e Envelope, m Probe) {
	r.probes.heard[e.From.Host] = heardProbe{
		peer:  e.From,
		at:    r.now,
		ready: m.Empty && m.Seen == r.parameters.Self.Replica && slices.Equal(m.Hosts, r.parameters.Hosts),
	}
	_, known := r.Members().Find(e.From.Replica)
	expected := r.parameters.Open || r.Members().HasHost(e.From.Host)
	if r.role != leader || known || !expected || !r.mayChange() {
		return
	}
	members := r.Members()
	for _, x := range members {
		if !x.Voter && x.Host == e.From.Host {
			members = members.without(x.Replica)
		}
	}
	r.change(members.with(Member{Peer: e.From}))
}

// mayFound reports whether this replica is the first of the hosts and all of
// them have said of late, to this very replica, that they are empty.
func (r *Replicator[C, S]) mayFound() bool {
	if r.parameters.Founded || r.log.last() > 0 || r.parameters.Self.Host != slices.Min(r.parameters.Hosts) {
		return false
	}
	for _, h := range r.parameters.Hosts {
		p, ok := r.probes.heard[h]
		if h != r.parameters.Self.Host && (!ok || !p.ready || r.now.Since(p.at) >= probeLife) {
			return false
		}
	}
	return true
}

// found writes the first entry: the membership of all hosts, in a group of its own.
func (r *Replicator[C, S]) found() {
	var members Membership
	for _, h := range r.parameters.Hosts {
		peer := r.parameters.Self
		if h != peer.Host {
			peer = r.probes.heard[h].peer
		}
		members = members.with(Member{Peer: peer, Voter: true})
	}
	r.hard.Group = r.parameters.Self.Replica
	r.hard.Term++
	r.hard.Vote = r.parameters.Self.Replica
	r.storeHard()
	r.appendEntries([]Entry{{Index: 1, Term: r.hard.Term, Content: MembershipChange{Members: members}}})
	r.seekLeadership()
}

// mayChange reports whether the leader may change the membership: its own term
// has a committed entry and no change is under way.
func (r *Replicator[C, S]) mayChange() bool {
	return r.leading.won && r.members.latest().index <= r.commit
}

// change appends a membership.
func (r *Replicator[C, S]) change(m Membership) {
	r.require(voterChanges(r.Members(), m) <= 1, OneMemberChangeInvariant, "%v becomes %v", r.Members(), m)
	r.lead(MembershipChange{Members: m})
}

// changeMembers takes the next step for a learner that has caught up: the voter
// that it replaces is removed, then the learner is promoted. A silent learner is removed.
func (r *Replicator[C, S]) changeMembers() {
	if r.role != leader || !r.mayChange() {
		return
	}
	for _, x := range r.Members() {
		if x.Voter {
			continue
		}
		p := r.leading.progress[x.Replica]
		if r.now.Since(p.heard) >= LearnerTimeout {
			r.change(r.Members().without(x.Replica))
			return
		}
		if p.match < r.commit {
			continue
		}
		for _, old := range r.Members() {
			if old.Voter && old.Host == x.Host {
				r.replaceVoter(old)
				return
			}
		}
		if quiet, ok := r.quietVoter(); ok {
			// It is back soon, or the learner takes its place.
			if r.now.Since(r.leading.progress[quiet.Replica].heard) >= SilentVoterTimeout {
				r.replaceVoter(quiet)
			}
			return
		}
		x.Voter = true
		r.change(r.Members().with(x))
		return
	}
}

// quietVoter returns a voter that has not answered of late, where hosts that join may replace one.
func (r *Replicator[C, S]) quietVoter() (Member, bool) {
	if !r.parameters.Open {
		return Member{}, false
	}
	for _, x := range r.Members() {
		p, ok := r.leading.progress[x.Replica]
		if ok && x.Voter && (!p.answered || r.now.Since(p.heard) >= ElectionTimeout) {
			return x, true
		}
	}
	return Member{}, false
}

// replaceVoter removes the voter that a learner stands in for, once the others can go on without.
func (r *Replicator[C, S]) replaceVoter(old Member) {
	if remaining := r.Members().without(old.Replica); r.inTouch(remaining) {
		r.change(remaining)
	}
}

// inTouch reports whether a quorum of the membership has answered the leader of late.
func (r *Replicator[C, S]) inTouch(m Membership) bool {
	return m.isQuorum(func(id identifier.ReplicaID) bool {
		p, ok := r.leading.progress[id]
		return id == r.parameters.Self.Replica || ok && r.now.Since(p.heard) < ElectionTimeout
	})
}

// MemberError reports a change of membership that was not begun.
type MemberError struct {
	Host   identifier.HostID
	Reason string
	// Temporary is set when the change may be begun later, without anybody's doing.
	Temporary bool
}

// Error names the host and says why.
func (e *MemberError) Error() string {
	return fmt.Sprintf("replicator: member %s: %s", e.Host, e.Reason)
}

// AddMember adds a host that has sent probes, as a learner that is promoted when
// it has caught up. It returns a *MemberError when nothing was begun.
func (r *Replicator[C, S]) AddMember(now identifier.Instant, host identifier.HostID) error {
	if err := r.checkChange(now, host); err != nil {
		return err
	}
	p, ok := r.probes.heard[host]
	if !ok || r.now.Since(p.at) >= probeLife {
		return &MemberError{Host: host, Reason: "the host has not asked to join of late"}
	}
	if r.Members().HasHost(host) {
		return &MemberError{Host: host, Reason: "the host is a member"}
	}
	r.change(r.Members().with(Member{Peer: p.peer}))
	return nil
}

// RemoveMember removes a host. It returns a *MemberError when nothing was begun.
func (r *Replicator[C, S]) RemoveMember(now identifier.Instant, host identifier.HostID) error {
	if err := r.checkChange(now, host); err != nil {
		return err
	}
	for _, x := range r.Members() {
		if x.Host != host {
			continue
		}
		if x.Voter && r.Members().Voters() == 1 {
			return &MemberError{Host: host, Reason: "the host is the only voter"}
		}
		remaining := r.Members().without(x.Replica)
		if !r.inTouch(remaining) {
			return &MemberError{Host: host, Reason: "the remaining voters in touch are no quorum"}
		}
		r.change(remaining)
		return nil
	}
	return &MemberError{Host: host, Reason: "the host is no member"}
}

func (r *Replicator[C, S]) checkChange(now identifier.Instant, host identifier.HostID) error {
	if !r.begin(now) || r.role != leader {
		return &MemberError{Host: host, Reason: "this host does not lead", Temporary: true}
	}
	if !r.mayChange() {
		return &MemberError{Host: host, Reason: "another change is under way", Temporary: true}
	}
	return nil
}
