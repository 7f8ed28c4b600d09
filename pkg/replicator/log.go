package replicator

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// entryLog holds the entries after the base index, which compaction advances.
type entryLog struct {
	base     identifier.LogIndex
	baseTerm identifier.Term
	entries  []Entry
}

// last returns the index of the last entry, or the base if there are none.
func (l *entryLog) last() identifier.LogIndex {
	return l.base + identifier.LogIndex(len(l.entries))
}

// lastTerm returns the term of the last entry, or of the base if there are none.
func (l *entryLog) lastTerm() identifier.Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at the index, and whether the log has it.
func (l *entryLog) term(i identifier.LogIndex) (identifier.Term, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.at(i).Term, true
}

// at returns the entry at an index, which must be above the base.
func (l *entryLog) at(i identifier.LogIndex) Entry {
	return l.entries[i-l.base-1]
}

// after returns up to count entries after the index, which must not be below the base.
func (l *entryLog) after(i identifier.LogIndex, count int) []Entry {
	rest := l.entries[i-l.base:]
	return slices.Clone(rest[:min(len(rest), count)])
}

// truncate removes the entries at and after the index.
func (l *entryLog) truncate(i identifier.LogIndex) {
	l.entries = l.entries[:i-l.base-1]
}

// compact removes the entries up to and including the index, which becomes the base.
func (l *entryLog) compact(i identifier.LogIndex) {
	term, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm = i, term
}

// reset removes all entries and sets the base.
func (l *entryLog) reset(base identifier.LogIndex, term identifier.Term) {
	*l = entryLog{base: base, baseTerm: term}
}

// lastBeforeTerm returns the index of the last entry whose term is lower than that of the entry
// at the index, or the base if there is none. The leader resumes sending after it.
func (l *entryLog) lastBeforeTerm(i identifier.LogIndex) identifier.LogIndex {
	term, _ := l.term(i)
	for i > l.base {
		if t, _ := l.term(i); t != term {
			break
		}
		i--
	}
	return i
}
