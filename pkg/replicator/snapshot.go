package replicator

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// Compact replaces the delivered entries with a snapshot of the state after them.
// The last KeptEntries of them stay in memory.
func (r *Replicator[C, S]) Compact(now identifier.Instant, state S) {
	if !r.begin(now) || r.writes.installWrite != 0 || r.applied <= r.snapshotIndex() {
		return
	}
	term, _ := r.log.term(r.applied)
	r.snapshot = &Snapshot[S]{Index: r.applied, Term: term, Members: r.members.at(r.applied), State: state}
	r.store(SnapshotSaved[S]{
		Snapshot: *r.snapshot,
		Hard:     r.hard,
		Tail:     r.log.after(r.applied, len(r.log.entries)),
	})
	r.writes.pending = append(r.writes.pending, pendingWrite{r.writes.issued, r.log.last()})
	if base := r.applied - min(r.applied, KeptEntries); base > r.log.base {
		r.log.compact(base)
		r.members = r.members.compact(base)
	}
}

// Uncompacted returns the number of entries delivered since the last snapshot.
func (r *Replicator[C, S]) Uncompacted() int {
	return int(r.applied - min(r.applied, r.snapshotIndex()))
}

func (r *Replicator[C, S]) snapshotIndex() identifier.LogIndex {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Index
}

// adoptSnapshot replaces the whole log with a snapshot.
func (r *Replicator[C, S]) adoptSnapshot(s *Snapshot[S]) {
	r.snapshot = s
	r.log.reset(s.Index, s.Term)
	r.members = memberships{{s.Index, s.Members}}
	r.commit = s.Index
}

// sendSnapshot sends the last snapshot to a member that needs entries below the base of
// the log. It sends a heartbeat instead within SnapshotRetryInterval of the last send.
func (r *Replicator[C, S]) sendSnapshot(to Peer, p *progress) {
	if r.now < p.snapshotDue {
		r.send(to, AppendRequest{
			Previous: r.log.base, PreviousTerm: r.log.baseTerm, Commit: r.commit, Round: r.leading.round,
		})
		return
	}
	p.snapshotDue = r.now.Add(SnapshotRetryInterval)
	r.send(to, SnapshotRequest[S]{Snapshot: *r.snapshot, Round: r.leading.round})
}

// receiveSnapshot installs a snapshot from the leader if it is ahead of the commit index.
func (r *Replicator[C, S]) receiveSnapshot(e Envelope, m SnapshotRequest[S]) {
	if !r.acceptLeader(e) {
		return
	}
	if m.Snapshot.Index > r.commit {
		r.install(m.Snapshot)
	}
	r.sendSynced(e.From, AppendReply{Match: r.commit, Round: m.Round})
}

// install replaces the log up to the snapshot. It keeps the entries after it if the log
// has the snapshot's last entry.
func (r *Replicator[C, S]) install(s Snapshot[S]) {
	var tail []Entry
	if term, ok := r.log.term(s.Index); ok && term == s.Term {
		tail = r.log.after(s.Index, len(r.log.entries))
	}
	r.writes.truncate(s.Index + 1)
	r.adoptSnapshot(&s)
	r.appendToLog(tail)
	r.store(SnapshotSaved[S]{Snapshot: s, Hard: r.hard, Tail: tail})
	r.writes.pending = append(r.writes.pending, pendingWrite{r.writes.issued, r.log.last()})
	r.writes.installWrite = r.writes.issued
}

// deliverSnapshot emits an installed snapshot once it is synced. It returns false
// while the snapshot is not synced.
func (r *Replicator[C, S]) deliverSnapshot() bool {
	if r.writes.installWrite == 0 {
		return true
	}
	if r.writes.synced < r.writes.installWrite {
		return false
	}
	r.writes.installWrite = 0
	r.applied = r.snapshot.Index
	r.emit(SnapshotInstalled[S]{Index: r.snapshot.Index, State: r.snapshot.State})
	return true
}
