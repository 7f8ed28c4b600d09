package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// writes tracks the records issued for storage and those that are synced.
type writes struct {
	issued WriteSequence
	synced WriteSequence
	// syncedIndex is the index up to which the log is synced.
	syncedIndex identifier.LogIndex
	pending     []pendingWrite
	held        []heldMessage
	// ownVoteWrite is the write that stores this candidate's vote for itself, which counts once
	// synced; 0 is none.
	ownVoteWrite WriteSequence
	// installWrite is the write of a snapshot from the leader that is not yet delivered; 0 is none.
	installWrite WriteSequence
}

// pendingWrite is a write after which the log is synced up to the index last.
type pendingWrite struct {
	sequence WriteSequence
	last     identifier.LogIndex
}

// heldMessage is a message that must not be sent before a write is synced.
type heldMessage struct {
	after    WriteSequence
	envelope Envelope
}

// truncate records that the log was truncated at the index.
func (w *writes) truncate(i identifier.LogIndex) {
	w.syncedIndex = min(w.syncedIndex, i-1)
	for p := range w.pending {
		w.pending[p].last = min(w.pending[p].last, i-1)
	}
}

// sync records that all writes up to the sequence are synced.
func (w *writes) sync(s WriteSequence) {
	w.synced = max(w.synced, min(s, w.issued))
	for len(w.pending) > 0 && w.pending[0].sequence <= w.synced {
		w.syncedIndex = max(w.syncedIndex, w.pending[0].last)
		w.pending = w.pending[1:]
	}
}

// release removes and returns the messages whose writes are synced, in order.
func (w *writes) release() []Envelope {
	var released []Envelope
	for len(w.held) > 0 && w.held[0].after <= w.synced {
		released = append(released, w.held[0].envelope)
		w.held = w.held[1:]
	}
	return released
}

// Persisted must be called when all records up to the sequence are synced.
func (r *Replicator[C, S]) Persisted(now identifier.Instant, s WriteSequence) {
	if r.failed {
		return
	}
	r.writes.sync(s)
	r.output.Messages = append(r.output.Messages, r.writes.release()...)
	if !r.begin(now) {
		return
	}
	r.countOwnVote()
	if r.role == leader {
		r.advanceCommit()
	}
	r.deliver()
}

// Fail must be called when storage has failed. The replica steps down, drops all
// pending messages and becomes permanently inactive.
func (r *Replicator[C, S]) Fail(now identifier.Instant) {
	r.now = max(r.now, now)
	r.stepDown(LostStorage)
	r.role = follower
	r.leader = Peer{}
	r.failed = true
	r.writes.held = nil
	r.output.Messages = nil
	r.output.Records = nil
}

// store issues a record for storage.
func (r *Replicator[C, S]) store(x Record) {
	r.writes.issued++
	r.output.Records = append(r.output.Records, x)
}

func (r *Replicator[C, S]) storeHardState() {
	r.store(r.hard)
}

// appendToLog appends entries, which must follow the last one, without storing them.
func (r *Replicator[C, S]) appendToLog(entries []Entry) {
	for _, x := range entries {
		r.log.entries = append(r.log.entries, x)
		if m, ok := x.Content.(MembershipChange); ok {
			r.members = append(r.members, membershipAt{x.Index, m.Members})
		}
	}
}

// appendEntries appends entries, which must follow the last one, and stores them.
func (r *Replicator[C, S]) appendEntries(entries []Entry) {
	r.appendToLog(entries)
	r.store(EntriesAppended{Entries: entries})
	r.writes.pending = append(r.writes.pending, pendingWrite{r.writes.issued, r.log.last()})
}

// truncateLog removes the entries at and after the index. None of them may be committed.
func (r *Replicator[C, S]) truncateLog(i identifier.LogIndex) {
	r.require(i > r.commit, CommittedImmutableInvariant, "entry %d is replaced, but entries up to %d are committed", i, r.commit)
	r.log.truncate(i)
	r.members = r.members.truncate(i)
	r.writes.truncate(i)
}

// send outputs a message at once. The message must not imply that any record of this
// replica is synced.
func (r *Replicator[C, S]) send(to Peer, m Message) {
	r.output.Messages = append(r.output.Messages, r.envelope(to, m))
}

// sendSynced outputs a message once all records issued so far are synced.
func (r *Replicator[C, S]) sendSynced(to Peer, m Message) {
	if r.writes.synced == r.writes.issued {
		r.send(to, m)
		return
	}
	r.writes.held = append(r.writes.held, heldMessage{r.writes.issued, r.envelope(to, m)})
}

func (r *Replicator[C, S]) envelope(to Peer, m Message) Envelope {
	return Envelope{Group: r.hard.Group, From: r.parameters.Self, To: to, Term: r.hard.Term, Message: m}
}
