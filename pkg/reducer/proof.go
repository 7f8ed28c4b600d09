package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/permitter"
)

const (
	// provenPortion is the fraction of the revocation time for which a proof holds after the entry host asked
	// for it. The rest covers a clock that runs slow.
	provenPortion = 0.9
	// ProofReadTimeout limits the time to confirm the declaration's version with a quorum.
	ProofReadTimeout = 500 * identifier.Millisecond
)

// DeclarationProof proves to an entry host that no declaration above a version was acknowledged before the host
// asked.
type DeclarationProof struct {
	// Asked is when the entry host asked, by its own clock; zero if there is no proof.
	Asked   Stamp              `msgpack:"a"`
	Version identifier.Version `msgpack:"v"`
}

// ProofRenewed passes to the traffic states until when the declaration counts as the newest one.
type ProofRenewed struct {
	processEvent
	Until identifier.Instant
}

// proofOrigin is the prover of this control host.
type proofOrigin struct{}

func (proofOrigin) isOrigin() {}

// declarationProven reports whether the declaration of this host counts as the newest one. Without a
// revocation time it always does.
func (s *State) declarationProven() bool {
	d, _ := s.parameters.Duty.(EntryDuty)
	return d.Revocation == 0 || s.now < s.traffic.provenUntil
}

// mayServe reports whether this host may send attempts of the customer's requests now. Requests without a
// customer need no permission.
func (s *State) mayServe(customer identifier.CustomerID) bool {
	return customer == "" || s.declarationProven()
}

// validUntil returns when the permission to send attempts of the customer's requests ends; 0 if they need none.
func (s *State) validUntil(customer identifier.CustomerID) identifier.Instant {
	if d, _ := s.parameters.Duty.(EntryDuty); customer == "" || d.Revocation == 0 {
		return 0
	}
	return s.traffic.provenUntil
}

// receiveProof accepts the proof of a control host if this host has asked for it and holds the version that
// it names.
func (s *State) receiveProof(p DeclarationProof) {
	d, _ := s.parameters.Duty.(EntryDuty)
	if d.Revocation == 0 || p.Asked.Sent == 0 || p.Asked.Started != s.control.started || s.control.version < p.Version {
		return
	}
	term := d.proofTerm()
	if s.control.proof.Renew(p.Asked.Sent, term) {
		s.emit(Send{To: s.parameters.Host, Event: ProofRenewed{Until: s.control.proof.Until()}})
		s.publishProof(term)
	}
}

// proofTerm returns how long a proof holds after this host asked for it.
func (d EntryDuty) proofTerm() identifier.Micros {
	return identifier.Micros(provenPortion * float64(d.Revocation))
}

// askForProof notes that an entry host wants a proof, and confirms the declaration's version with a quorum
// unless such a read is in progress or has begun just before.
func (s *State) askForProof(host identifier.HostID, asked Stamp) {
	if asked.Sent == 0 {
		return
	}
	s.control.prover.Ask(host, permitter.Reading{Process: asked.Started, At: asked.Sent})
	if s.control.prover.Begin(s.now) {
		s.startOperation(DeclarationRead{Held: s.control.replicated.source.Version}, proofOrigin{}, s.now.Add(ProofReadTimeout))
	}
}

// finishProof completes the read that askForProof began.
func (s *State) finishProof(a Answer) {
	found, confirmed := a.(DeclarationFound)
	s.control.prover.Finish(confirmed, found.Version)
}

// proofFor returns the newest proof for an entry host; zero if there is none.
func (s *State) proofFor(host identifier.HostID) DeclarationProof {
	reading, version, ok := s.control.prover.Proof(host)
	if !ok {
		return DeclarationProof{}
	}
	return DeclarationProof{Asked: Stamp{Started: reading.Process, Sent: reading.At}, Version: version}
}

// proofStamp returns the reading with which this entry host asks for a proof; zero if it needs none.
func (s *State) proofStamp() Stamp {
	if d, _ := s.parameters.Duty.(EntryDuty); d.Revocation == 0 {
		return Stamp{}
	}
	return s.stamp()
}
