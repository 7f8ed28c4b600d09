package replicator

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// entryLog holds the entries after a base, which compaction moves up.
type entryLog struct {
	base     identifier.LogIndex
	baseTerm identifier.Term
	entries  []Entry
}

// last returns the index of the last entry.
func (l *entryLog) last() identifier.LogIndex {
	return l.base + identifier.LogIndex(len(l.entries))
}

// lastTerm returns the term of the last entry.
func (l *entryLog) lastTerm() identifier.Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry, and whether the log still knows it.
func (l *entryLog) term(i identifier.LogIndex) (identifier.Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.at(i).Term, true
}

// at returns an entry after the base.
func (l *entryLog) at(i identifier.LogIndex) Entry {
	return l.entries[i-l.base-1]
}

// after returns up to count entries that follow the index, which is not below the base.
func (l *entryLog) after(i identifier.LogIndex, count int) []Entry {
	rest := l.entries[i-l.base:]
	return slices.Clone(rest[:min(len(rest), count)])
}

// cut removes the entries from the index on.
func (l *entryLog) cut(i identifier.LogIndex) {
	l.entries = l.entries[:i-l.base-1]
}

// compact removes the entries up to the index.
func (l *entryLog) compact(i identifier.LogIndex) {
	term, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm = i, term
}

// reset removes all entries and sets the base.
func (l *entryLog) reset(base identifier.LogIndex, term identifier.Term) {
	*l = entryLog{base: base, baseTerm: term}
}

// conflict returns the index before the first entry of the term that the entry
// at the index has; the leader goes on from there.
func (l *entryLog) conflict(i identifier.LogIndex) identifier.LogIndex {
	term, _ := l.term(i)
	for i > l.base {
		if t, _ := l.term(i); t != term {
			break
		}
		i--
	}
	return i
}
