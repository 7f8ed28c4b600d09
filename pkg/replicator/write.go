package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// writes tracks what has been given out to be stored and what is synced.
type writes struct {
	issued WriteSequence
	synced WriteSequence
	// stable is the index up to which the log is synced.
	stable  identifier.LogIndex
	pending []pendingWrite
	held    []heldMessage
	// ownVote is the write after which this candidate's vote for itself counts; 0 is none.
	ownVote WriteSequence
	// install is the write of a snapshot from the leader that is to be handed over; 0 is none.
	install WriteSequence
}

// pendingWrite is a write that makes the log stable up to an index.
type pendingWrite struct {
	sequence WriteSequence
	last     identifier.LogIndex
}

// heldMessage waits for a write.
type heldMessage struct {
	after    WriteSequence
	envelope Envelope
}

// cut notes that the log was cut at the index.
func (w *writes) cut(i identifier.LogIndex) {
	w.stable = min(w.stable, i-1)
	for p := range w.pending {
		w.pending[p].last = min(w.pending[p].last, i-1)
	}
}

// sync notes that all writes up to the sequence are synced.
func (w *writes) sync(s WriteSequence) {
	w.synced = max(w.synced, min(s, w.issued))
	for len(w.pending) > 0 && w.pending[0].sequence <= w.synced {
		w.stable = max(w.stable, w.pending[0].last)
		w.pending = w.pending[1:]
	}
}

// release returns the messages that no longer wait, in order.
func (w *writes) release() []Envelope {
	var free []Envelope
	for len(w.held) > 0 && w.held[0].after <= w.synced {
		free = append(free, w.held[0].envelope)
		w.held = w.held[1:]
	}
	return free
}

// Persisted reports that all records up to the sequence are synced.
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

// Fail reports that storage has failed. The replica steps down, drops all
// messages that wait, and takes no part any more.
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

// store gives out a record.
func (r *Replicator[C, S]) store(x Record) {
	r.writes.issued++
	r.output.Records = append(r.output.Records, x)
}

func (r *Replicator[C, S]) storeHard() {
	r.store(r.hard)
}

// appendToLog appends entries that follow on the last one.
func (r *Replicator[C, S]) appendToLog(entries []Entry) {
	for _, x := range entries {
		r.log.entries = append(r.log.entries, x)
		if m, ok := x.Content.(MembershipChange); ok {
			r.members = append(r.members, membershipAt{x.Index, m.Members})
		}
	}
}

// appendEntries appends entries that follow on the last one, and stores them.
func (r *Replicator[C, S]) appendEntries(entries []Entry) {
	r.appendToLog(entries)
	r.store(EntriesAppended{Entries: entries})
	r.writes.pending = append(r.writes.pending, pendingWrite{r.writes.issued, r.log.last()})
}

// cutLog removes the entries from the index on; none of them may be committed.
func (r *Replicator[C, S]) cutLog(i identifier.LogIndex) {
	r.require(i > r.commit, CommittedStaysInvariant, "entry %d of %d committed is replaced", i, r.commit)
	r.log.cut(i)
	r.members = r.members.cut(i)
	r.writes.cut(i)
}

// send gives out a message that promises nothing about stored records.
func (r *Replicator[C, S]) send(to Peer, m Message) {
	r.output.Messages = append(r.output.Messages, r.envelope(to, m))
}

// sendSynced gives out a message once everything stored so far is synced.
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
