package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// VersionInvariant says that the version in force on a host never falls.
const VersionInvariant Invariant = "version-never-falls"

// Configuration events of operators.
type (
	// ChangeRequested is an operator's change of a template or customer.
	ChangeRequested struct {
		configurationEvent
		Ticket Ticket
		Change registrar.Change
	}
	// ObjectsRequested is an operator's read of templates or customers.
	ObjectsRequested struct {
		configurationEvent
		Ticket Ticket
		Read   ObjectsRead
	}
)

// ReplyOperator answers an operator's change or read.
type ReplyOperator struct {
	effect
	Ticket Ticket
	Reply  Answer
	// Control tells what this host knows of the replicated log.
	Control ControlStatus
}

// Answers to operators when no leader answered.
type (
	// StaleObjects answers a read from what this host has in force.
	StaleObjects struct {
		Found ObjectsFound
	}
	// LeaderMissing says that no leader answered in time. A change may have been
	// accepted; it is safe to send it again with the same change id.
	LeaderMissing struct{}
)

func (StaleObjects) isAnswer()  {}
func (LeaderMissing) isAnswer() {}

// ControlStatus is what a host knows of the replicated log.
type ControlStatus struct {
	// Member is set on a control host.
	Member bool
	// Leader is the control host that leads, or empty when none is known.
	Leader identifier.HostID
	// InTouch is set on a control host that is in touch with its quorum, and on any
	// other host that has heard such a one of late.
	InTouch bool
	// StorageFailed is set on a control host that takes no part since its disk failed.
	StorageFailed bool
}

func (s *State) reduceConfiguration(event ConfigurationEvent) {
	switch e := event.(type) {
	case ConfigurationLoaded:
		s.loadConfiguration(e)
	case ChangeRequested:
		s.operate(Proposal{Command: ObjectChanged{Change: e.Change}}, operatorOrigin{e.Ticket}, s.now.Add(ChangeTimeout))
	case ObjectsRequested:
		s.operate(e.Read, operatorOrigin{e.Ticket}, s.now.Add(ReadTimeout))
	case ConfigurationWanted:
		s.sendConfiguration(e)
	case RevisionsSent:
		s.receiveRevisions(e)
	case ContentsSent:
		s.receiveContents(e)
	case DeclarationRequested:
		s.declare(e)
	case DeclarationWanted:
		s.readDeclaration(e)
	}
}

// loadConfiguration puts the templates and customers of a file in force. In a
// deployment with control hosts they only become the first ones of an empty registry.
func (s *State) loadConfiguration(e ConfigurationLoaded) {
	first := registrar.Import{Version: e.Version, Templates: e.Templates, Customers: e.Customers}
	if len(s.parameters.ControlHosts) > 0 {
		s.control.first = first
		s.proposeImport()
		return
	}
	if e.Version <= s.control.catalog.Version() {
		return
	}
	s.logFaults(s.control.catalog.Import(s.now, first))
	s.enforce()
}

// proposeImport fills an empty registry if this host leads: with what is in
// force on the hosts that it has asked at its start, since the disks of all
// control hosts may have been lost, else with the templates and customers of the file.
func (s *State) proposeImport() {
	if s.control.replicated.registry.Catalog().Version() > 0 || !s.settledStartup() {
		return
	}
	if leader, known := s.leader(); !known || leader != s.parameters.Host {
		return
	}
	first := s.control.first
	if s.control.catalog.Version() > 0 {
		first = s.control.catalog.Export()
	}
	if first.Version > 0 {
		s.propose(stamp(ConfigurationImported{Import: first}, s.now))
	}
}

func (s *State) applyImport(c ConfigurationImported) {
	imported, faults := s.control.replicated.registry.Import(c.At, c.Import)
	s.logFaults(faults)
	if imported {
		s.adoptRegistry()
	}
}

// applyChange applies a change to the registry and brings it to this host's
// catalog and to the entry hosts that this control host serves.
func (s *State) applyChange(c registrar.Change) registrar.Result {
	before := s.control.replicated.registry.Catalog().Version()
	result := s.control.replicated.registry.Apply(c)
	if s.control.replicated.registry.Catalog().Version() > before {
		s.adoptRegistry()
	}
	return result
}

// adoptRegistry brings this host's catalog up to the registry, and the new
// revisions to the entry hosts that this control host serves.
func (s *State) adoptRegistry() {
	registry := s.control.replicated.registry
	version := s.control.catalog.Version()
	if registry.Catalog().Version() <= version {
		s.finishStartup()
		return
	}
	revisions, kept := registry.Since(version)
	if kept {
		s.applyRevisions(revisions)
	} else {
		s.logFaults(s.control.catalog.Load(registry.Catalog().Contents()))
	}
	s.enforce()
	s.pushRevisions(revisions)
}

// applyRevisions brings the catalog forward by the revisions that follow its version.
func (s *State) applyRevisions(revisions []registrar.Revision) {
	for _, r := range revisions {
		if r.Version != s.control.catalog.Version()+1 {
			continue
		}
		if err := s.control.catalog.Apply(r); err != nil {
			s.log(ConfigurationSubsystem, Error, "revision not applied", Field{"reason", err.Error()})
			return
		}
	}
}

// enforce puts the catalog in force, once this host's startup is over.
func (s *State) enforce() {
	s.finishStartup()
	version := s.control.catalog.Version()
	if s.control.startup.waiting || version == s.control.version {
		return
	}
	s.require(version > s.control.version, VersionInvariant, strconv.FormatUint(uint64(version), 10))
	s.control.version = version
	s.control.policies = s.control.catalog.Policies()
	s.log(ConfigurationSubsystem, Info, "configuration in force", Field{"version", strconv.FormatUint(uint64(version), 10)})
	s.publish()
}

func (s *State) logFaults(faults []error) {
	for _, err := range faults {
		s.log(ConfigurationSubsystem, Error, "customer left out", Field{"reason", err.Error()})
	}
}

// readRegistry returns what a read asks for.
func readRegistry(r *registrar.Registry, read ObjectsRead) ObjectsFound {
	found := readCatalog(r.Catalog(), read)
	if read.History {
		found.Revisions = r.History(read.Name)
	}
	return found
}

// readCatalog returns the current revisions of one object, or of all of its kind.
func readCatalog(c *registrar.Catalog, read ObjectsRead) ObjectsFound {
	found := ObjectsFound{Version: c.Version()}
	if read.Name.ID != "" {
		if r, ok := c.Object(read.Name); ok {
			found.Revisions = []registrar.Revision{r}
		}
		return found
	}
	for _, r := range c.Contents().Revisions {
		if r.Edit.Target().Kind == read.Name.Kind {
			found.Revisions = append(found.Revisions, r)
		}
	}
	return found
}

// replyWithoutLeader answers an operator when no leader did.
func (s *State) replyWithoutLeader(o Operation) Answer {
	read, ok := o.(ObjectsRead)
	if !ok {
		return LeaderMissing{}
	}
	return StaleObjects{Found: readCatalog(s.control.catalog, read)}
}
