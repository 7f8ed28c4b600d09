package replicator

import (
	"fmt"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// probes tracks the probes that a replica sends and receives.
type probes struct {
	// due is the instant at which to send the next probes.
	due      identifier.Instant
	received map[identifier.HostID]receivedProbe
}

// receivedProbe is the latest probe from a host.
type receivedProbe struct {
	peer Peer
	at   identifier.Instant
	// ready is set when the sender's log is empty, its settings have the same control hosts and
	// it has received a probe from this replica. Bootstrapping requires this of all other
	// control hosts.
	ready bool
}

func newProbes() probes {
	return probes{received: map[identifier.HostID]receivedProbe{}}
}

// probeValidity is how long a received probe stays valid.
const probeValidity = 3 * ProbeInterval

// runProbes bootstraps the group if it may; otherwise it sends probes, which ask
// to join a group. It does neither while there is an active leader.
func (r *Replicator[C, S]) runProbes() {
	if r.now < r.probes.due {
		return
	}
	r.probes.due = r.now.Add(ProbeInterval)
	if r.hasActiveLeader() {
		return
	}
	if r.mayBootstrap() {
		r.bootstrap()
		return
	}
	r.sendProbes()
}

// sendProbes asks the hosts in the settings, the probe targets and the members that this replica knows.
func (r *Replicator[C, S]) sendProbes() {
	targets := slices.Concat(r.parameters.Hosts, r.probeTargets)
	for _, x := range r.Members() {
		targets = append(targets, x.Host)
	}
	slices.Sort(targets)
	for _, h := range slices.Compact(targets) {
		if h == r.parameters.Self.Host {
			continue
		}
		r.sendSynced(Peer{Host: h}, Probe{
			Hosts: r.parameters.Hosts,
			Seen:  r.probes.received[h].peer.Replica,
			Empty: r.log.last() == 0,
		})
	}
}

// receiveProbe records a probe from a replica that may not be a member. A leader
// adds the replica as a learner when a member runs on the same host, or when hosts
// may join by sending probes.
func (r *Replicator[C, S]) receiveProbe(e Envelope, m Probe) {
	r.probes.received[e.From.Host] = receivedProbe{
		peer:  e.From,
		at:    r.now,
		ready: m.Empty && m.Seen == r.parameters.Self.Replica && slices.Equal(m.Hosts, r.parameters.Hosts),
	}
	_, isMember := r.Members().Find(e.From.Replica)
	mayJoin := r.parameters.AutoJoin || r.Members().HasHost(e.From.Host)
	if r.role != leader || isMember || !mayJoin || !r.mayChangeMembers() {
		return
	}
	members := r.Members()
	for _, x := range members {
		if !x.Voter && x.Host == e.From.Host {
			members = members.without(x.Replica)
		}
	}
	r.appendMembership(members.with(Member{Peer: e.From}))
}

// mayBootstrap reports whether this replica may create the group: as far as it knows, no group
// exists, its log is empty, its host is the lowest of the control hosts, and valid probes from
// all others confirm that their logs are empty and that they have received a probe from this
// replica.
func (r *Replicator[C, S]) mayBootstrap() bool {
	if r.parameters.Bootstrapped || r.log.last() > 0 || r.parameters.Self.Host != slices.Min(r.parameters.Hosts) {
		return false
	}
	for _, h := range r.parameters.Hosts {
		p, ok := r.probes.received[h]
		if h != r.parameters.Self.Host && (!ok || !p.ready || r.now.Since(p.at) >= probeValidity) {
			return false
		}
	}
	return true
}

// bootstrap creates a group: it appends the first entry, the membership of all
// control hosts, and starts an election.
func (r *Replicator[C, S]) bootstrap() {
	var members Membership
	for _, h := range r.parameters.Hosts {
		peer := r.parameters.Self
		if h != peer.Host {
			peer = r.probes.received[h].peer
		}
		members = members.with(Member{Peer: peer, Voter: true})
	}
	r.hard.Group = r.parameters.Self.Replica
	r.hard.Term++
	r.hard.Vote = r.parameters.Self.Replica
	r.storeHardState()
	r.appendEntries([]Entry{{Index: 1, Term: r.hard.Term, Content: MembershipChange{Members: members}}})
	r.startElection()
}

// mayChangeMembers reports whether the leader may change the membership: it has
// committed an entry of its own term, and no change is in progress.
func (r *Replicator[C, S]) mayChangeMembers() bool {
	return r.leading.won && r.members.latest().index <= r.commit
}

// appendMembership appends a change to the membership.
func (r *Replicator[C, S]) appendMembership(m Membership) {
	r.require(voterChanges(r.Members(), m) <= 1, OneVoterChangeInvariant, "members %v change to %v", r.Members(), m)
	r.appendAsLeader(MembershipChange{Members: m})
}

// advanceMembership takes the next step for a learner that has caught up: it removes the voter that the
// learner replaces, or promotes the learner. The voter is removed first, since a new leader then promotes
// the learner at once, while it would take SilentVoterTimeout to find the voter silent. It removes a
// learner that has been silent for LearnerTimeout, and a voter that the group can do without.
func (r *Replicator[C, S]) advanceMembership() {
	if r.role != leader || !r.mayChangeMembers() || r.removeSilentVoter() {
		return
	}
	ready := 0
	for _, x := range r.Members() {
		if !x.Voter && r.isReady(x) {
			ready++
		}
	}
	for _, x := range r.Members() {
		if x.Voter {
			continue
		}
		if r.now.Since(r.leading.progress[x.Replica].lastActive) >= LearnerTimeout {
			r.appendMembership(r.Members().without(x.Replica))
			return
		}
		if !r.isReady(x) {
			continue
		}
		for _, old := range r.Members() {
			if old.Voter && old.Host == x.Host {
				r.replaceVoter(old)
				return
			}
		}
		if silent, ok := r.silentVoter(); ok && r.Members().Voters()%2 != 0 {
			r.replaceVoter(silent)
			return
		}
		x.Voter = true
		if promoted := r.Members().with(x); r.mayPromote(ready) && r.quorumActive(promoted) {
			r.appendMembership(promoted)
			return
		}
	}
}

// isReady reports whether a learner has caught up and replies.
func (r *Replicator[C, S]) isReady(learner Member) bool {
	p := r.leading.progress[learner.Replica]
	return p.replied && p.match >= r.commit && r.now.Since(p.lastActive) < ElectionTimeout
}

// mayPromote reports whether a learner may become a voter, given the number of learners that are
// ready. Where hosts join automatically, the number of voters stays odd: one more voter would raise
// the quorum without letting the group bear the loss of another host. The last learner then waits to
// replace a voter that falls silent.
func (r *Replicator[C, S]) mayPromote(ready int) bool {
	return !r.parameters.AutoJoin || r.Members().Voters()%2 == 0 || ready > 1
}

// removeSilentVoter removes a silent voter if the number of voters is even, and reports whether it
// did. The others then bear the loss of as many hosts as before, with a smaller quorum. A host that
// was only partitioned joins again.
func (r *Replicator[C, S]) removeSilentVoter() bool {
	if r.Members().Voters()%2 != 0 {
		return false
	}
	silent, ok := r.silentVoter()
	return ok && r.replaceVoter(silent)
}

// silentVoter returns the voter that has been silent longest, if that is SilentVoterTimeout or
// longer. It returns none unless hosts join automatically.
func (r *Replicator[C, S]) silentVoter() (Member, bool) {
	var longest Member
	silence := SilentVoterTimeout
	for _, x := range r.Members() {
		p, ok := r.leading.progress[x.Replica]
		if !ok || !x.Voter || !r.parameters.AutoJoin {
			continue
		}
		if since := r.now.Since(p.lastActive); since >= silence {
			longest, silence = x, since
		}
	}
	return longest, longest.Replica != 0
}

// replaceVoter removes a voter, if the remaining ones have an active quorum. It reports whether it
// did.
func (r *Replicator[C, S]) replaceVoter(old Member) bool {
	remaining := r.Members().without(old.Replica)
	if !r.quorumActive(remaining) {
		return false
	}
	r.appendMembership(remaining)
	return true
}

// quorumActive reports whether a quorum of the membership has replied to the leader within the
// election timeout. A member that has not replied yet counts from the instant at which the
// leader started sending to it.
func (r *Replicator[C, S]) quorumActive(m Membership) bool {
	return m.isQuorum(func(id identifier.ReplicaID) bool {
		p, ok := r.leading.progress[id]
		return id == r.parameters.Self.Replica || ok && r.now.Since(p.lastActive) < ElectionTimeout
	})
}

// MemberError reports a membership change that was not started.
type MemberError struct {
	Host   identifier.HostID
	Reason string
	// Temporary is set when a retry may succeed without any action by an operator.
	Temporary bool
}

// Error returns a message with the host and the reason.
func (e *MemberError) Error() string {
	return fmt.Sprintf("replicator: member %s: %s", e.Host, e.Reason)
}

// AddMember adds a host as a learner, which is promoted once it has caught up. The host must
// have sent a probe within probeValidity. It returns a *MemberError when no change was started.
func (r *Replicator[C, S]) AddMember(now identifier.Instant, host identifier.HostID) error {
	if err := r.checkChange(now, host); err != nil {
		return err
	}
	p, ok := r.probes.received[host]
	if !ok || r.now.Since(p.at) >= probeValidity {
		return &MemberError{Host: host, Reason: "the host has not asked to join of late"}
	}
	if r.Members().HasHost(host) {
		return &MemberError{Host: host, Reason: "the host is a member"}
	}
	r.appendMembership(r.Members().with(Member{Peer: p.peer}))
	return nil
}

// RemoveMember starts the removal of a host, which is appended once a quorum of the remaining voters
// has replied to a message sent after this call: one that has just lost its disk may have replied a
// moment ago. It returns a *MemberError when no removal was started.
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
		if !r.quorumActive(r.Members().without(x.Replica)) {
			return &MemberError{Host: host, Reason: "the remaining voters in touch are no quorum"}
		}
		r.leading.round++
		r.leading.removal = pendingRemoval{x.Replica, r.leading.round, r.now.Add(ElectionTimeout)}
		r.broadcastAppend()
		r.finishRemoval()
		return nil
	}
	return &MemberError{Host: host, Reason: "the host is no member"}
}

// pendingRemoval is a removal that waits for replies to its round.
type pendingRemoval struct {
	replica identifier.ReplicaID
	round   Round
	expires identifier.Instant
}

// finishRemoval appends the pending removal if a quorum of the remaining voters has replied to its
// round. It drops one that has expired or that another change has overtaken.
func (r *Replicator[C, S]) finishRemoval() {
	pending := r.leading.removal
	if r.role != leader || pending.replica == 0 {
		return
	}
	remaining := r.Members().without(pending.replica)
	if r.now >= pending.expires || !r.mayChangeMembers() || remaining.Voters() == 0 {
		r.leading.removal = pendingRemoval{}
		return
	}
	confirmed := remaining.isQuorum(func(id identifier.ReplicaID) bool {
		return id == r.parameters.Self.Replica || r.leading.progress[id].round >= pending.round
	})
	if confirmed {
		r.leading.removal = pendingRemoval{}
		r.appendMembership(remaining)
	}
}

func (r *Replicator[C, S]) checkChange(now identifier.Instant, host identifier.HostID) error {
	if !r.begin(now) || r.role != leader {
		return &MemberError{Host: host, Reason: "this host is not the leader", Temporary: true}
	}
	if !r.mayChangeMembers() || r.now < r.leading.removal.expires {
		return &MemberError{Host: host, Reason: "another membership change is in progress", Temporary: true}
	}
	return nil
}
