package permitter

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// ProofInterval is the minimum time between two reads of a Prover. Each costs the owner of the version a round
// trip to a quorum, and holders that ask meanwhile share the next one.
const ProofInterval = 300 * identifier.Millisecond

// Prover confirms for many hosts that a version was the newest one when they asked. It is not safe for
// concurrent use.
type Prover struct {
	// waiting holds the readings that the next read will confirm, reading those of the read in progress.
	waiting, reading map[identifier.HostID]Reading
	proven           map[identifier.HostID]proof
	inProgress       bool
	lastRead         identifier.Instant
}

type proof struct {
	reading Reading
	version identifier.Version
}

// NewProver returns a Prover that has confirmed nothing.
func NewProver() *Prover {
	return &Prover{waiting: map[identifier.HostID]Reading{}, proven: map[identifier.HostID]proof{}}
}

// Ask records that a host asked. A reading that arrives late doesn't replace a newer one.
func (p *Prover) Ask(host identifier.HostID, r Reading) {
	if known, ok := p.waiting[host]; !ok || known.Process < r.Process || (known.Process == r.Process && known.At < r.At) {
		p.waiting[host] = r
	}
}

// Begin reports whether a read must begin now. It confirms the readings of all hosts that have asked so far.
func (p *Prover) Begin(now identifier.Instant) bool {
	if p.inProgress || len(p.waiting) == 0 || now.Since(p.lastRead) < ProofInterval {
		return false
	}
	p.inProgress, p.lastRead = true, now
	p.reading, p.waiting = p.waiting, map[identifier.HostID]Reading{}
	return true
}

// Finish ends the read that Begin began, with the version that it found if it was confirmed.
func (p *Prover) Finish(confirmed bool, version identifier.Version) {
	for host, r := range p.reading {
		if confirmed {
			p.proven[host] = proof{r, version}
			continue
		}
		// The next read confirms it instead, unless the host has asked again.
		if _, again := p.waiting[host]; !again {
			p.waiting[host] = r
		}
	}
	p.inProgress, p.reading = false, nil
}

// Proof returns the latest confirmed reading of a host and the version that was the newest one then; false if
// there is none.
func (p *Prover) Proof(host identifier.HostID) (Reading, identifier.Version, bool) {
	found, ok := p.proven[host]
	return found.reading, found.version, ok
}

// Forget removes a host that no longer asks.
func (p *Prover) Forget(host identifier.HostID) {
	delete(p.waiting, host)
	delete(p.proven, host)
}
