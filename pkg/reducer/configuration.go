package reducer

import (
	"strconv"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/registrar"
)

// VersionInvariant requires that the version in force on a host never falls.
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
	// Control is the status of the replicated log as seen by this host.
	Control ControlStatus
}

// Answers to operators if no leader answered.
type (
	// StaleObjects answers a read with this host's own objects, which may be outdated.
	StaleObjects struct {
		Found ObjectsFound
	}
	// LeaderMissing reports that no leader answered in time. A change may have been
	// accepted; it is safe to retry it with the same change ID.
	LeaderMissing struct{}
)

func (StaleObjects) isAnswer()  {}
func (LeaderMissing) isAnswer() {}

// ControlStatus is the status of the replicated log as seen by a host.
type ControlStatus struct {
	// Member is set on a control host.
	Member bool
	// Leader is the control host that leads, or empty if none is known.
	Leader identifier.HostID
	// InTouch is set on a control host that is in touch with its quorum, and on any other
	// host that has recently received a message from such a control host.
	InTouch bool
	// StorageFailed is set on a control host that no longer takes part in the replicated
	// log because its disk failed.
	StorageFailed bool
}

func (s *State) reduceConfiguration(event ConfigurationEvent) {
	switch e := event.(type) {
	case ConfigurationLoaded:
		s.loadConfiguration(e)
	case ChangeRequested:
		s.startOperation(Proposal{Command: ObjectChanged{Change: e.Change}}, operatorOrigin{e.Ticket}, s.now.Add(ChangeTimeout))
	case ObjectsRequested:
		s.startOperation(e.Read, operatorOrigin{e.Ticket}, s.now.Add(ReadTimeout))
	case ConfigurationWanted:
		s.sendConfiguration(e)
	case RevisionsSent:
		s.receiveRevisions(e)
	case ContentsSent:
		s.receiveContents(e)
	case DeclarationRequested:
		s.declare(e)
	case DeclarationReadRequested:
		s.readDeclaration(e)
	case EvacuationRequested:
		s.orderEvacuation(e)
	}
}

// loadConfiguration activates the templates and customers of a file. In a deployment with
// control hosts they are only the initial contents of an empty registry.
func (s *State) loadConfiguration(e ConfigurationLoaded) {
	initialImport := registrar.Import{Version: e.Version, Templates: e.Templates, Customers: e.Customers}
	if len(s.parameters.ControlHosts) > 0 {
		s.control.initialImport = initialImport
		s.proposeImport()
		return
	}
	if e.Version <= s.control.catalog.Version() {
		return
	}
	s.logFaults(s.control.catalog.Import(s.now, initialImport))
	s.activateConfiguration()
}

// proposeImport fills an empty registry if this host leads. If the hosts queried at startup had
// a configuration, it proposes that one, since all control hosts may have lost their disks;
// otherwise it proposes the templates and customers of the file.
func (s *State) proposeImport() {
	if s.control.replicated.registry.Catalog().Version() > 0 || !s.startupQueriesDone() {
		return
	}
	if leader, known := s.leader(); !known || leader != s.parameters.Host {
		return
	}
	initialImport := s.control.initialImport
	if s.control.catalog.Version() > 0 {
		initialImport = s.control.catalog.Export()
	}
	if initialImport.Version > 0 {
		s.propose(withProposalTime(ConfigurationImported{Import: initialImport}, s.now))
	}
}

func (s *State) applyImport(c ConfigurationImported) {
	imported, faults := s.control.replicated.registry.Import(c.At, c.Import)
	s.logFaults(faults)
	if imported {
		s.syncCatalog()
	}
}

// applyChange applies a change to the registry and propagates it to this host's catalog and
// to the entry hosts that this control host serves.
func (s *State) applyChange(c registrar.Change) registrar.Result {
	before := s.control.replicated.registry.Catalog().Version()
	result := s.control.replicated.registry.Apply(c)
	if s.control.replicated.registry.Catalog().Version() > before {
		s.syncCatalog()
	}
	return result
}

// syncCatalog updates this host's catalog from the registry, and pushes the new revisions
// to the entry hosts that this control host serves.
func (s *State) syncCatalog() {
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
	s.activateConfiguration()
	s.pushRevisions(revisions)
}

// applyRevisions applies the revisions that directly follow the catalog's version.
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

// activateConfiguration puts the catalog in force once this host's startup is complete.
func (s *State) activateConfiguration() {
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
		s.log(ConfigurationSubsystem, Error, "invalid customer skipped", Field{"reason", err.Error()})
	}
}

// readRegistry returns the revisions that a read requests.
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

// replyWithoutLeader returns the reply to an operator if no leader answered.
func (s *State) replyWithoutLeader(o Operation) Answer {
	read, ok := o.(ObjectsRead)
	if !ok {
		return LeaderMissing{}
	}
	return StaleObjects{Found: readCatalog(s.control.catalog, read)}
}
