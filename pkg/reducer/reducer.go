package reducer

import (
	"fmt"
	"math/rand/v2"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/quarantiner"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

// Parameters holds the settings of the host that a state needs.
type Parameters struct {
	Host   identifier.HostID
	Domain identifier.DomainID
	// Process is this process of the host.
	Process identifier.ProcessID
	// Peers are the other entry hosts.
	Peers []router.Host
	// ControlHosts are the entry hosts with disks, which store the replicated log.
	ControlHosts []identifier.HostID
	// Duty is the role of this host; nil means CombinedDuty.
	Duty Duty
	// Interpreter parses declarations; hosts with EntryDuty or ControlDuty require it.
	Interpreter declarer.Interpreter
	// Strict makes a violated invariant panic; tests set it.
	Strict bool
}

// State is the control state or one of the traffic states of an entry host.
// It is not safe for concurrent use; one goroutine owns it.
type State struct {
	parameters Parameters
	now        identifier.Instant
	random     *rand.Rand
	effects    []Effect
	timers     timers
	sequence   uint64
	wakeAt     identifier.Instant
	// pausedAt is the last time before the process was stopped most recently, and resumedAt the first one after it; 0 if it
	// never was.
	pausedAt, resumedAt identifier.Instant

	// quarantiner tracks the requests that may crash backend servers.
	quarantiner *quarantiner.Quarantiner
	// processes holds the latest known process of each other host.
	processes map[identifier.HostID]peerProcess

	control control
	traffic traffic
}

// New returns a state that has processed no events.
func New(p Parameters) *State {
	s := &State{
		parameters:  p,
		random:      rand.New(rand.NewPCG(0, 0)),
		wakeAt:      identifier.Never,
		quarantiner: quarantiner.New(),
		processes:   map[identifier.HostID]peerProcess{},
		traffic:     newTraffic(),
	}
	s.control = newControl(s.leaseTerm(), s.extraWindow())
	return s
}

// Reduce applies an event that occurred at the given time and returns the resulting
// effects, in order. The slice is valid until the next call.
func (s *State) Reduce(at identifier.Instant, event Event) []Effect {
	s.notePause(at)
	s.now = max(s.now, at)
	s.effects = s.effects[:0]
	s.tickReplication()
	switch e := event.(type) {
	case ProcessEvent:
		s.reduceProcess(e)
	case MembershipEvent:
		s.reduceMembership(e)
	case ConfigurationEvent:
		s.reduceConfiguration(e)
	case ReplicationEvent:
		s.reduceReplication(e)
	case OperationEvent:
		s.reduceOperation(e)
	case QueryEvent:
		s.reduceQuery(e)
	case SlotEvent:
		s.reduceSlot(e)
	case QuarantineEvent:
		s.reduceQuarantine(e)
	case RequestEvent:
		s.reduceRequest(e)
	default:
		panic(fmt.Sprintf("reducer: event of unknown family %T", event))
	}
	s.drainReplicationOutput()
	s.scheduleWake()
	return s.effects
}

func (s *State) reduceProcess(event ProcessEvent) {
	switch e := event.(type) {
	case Started:
		s.random = rand.New(rand.NewPCG(e.Seed, 0))
		s.control.operations.lastNumber = OperationNumber(e.Seed)
	case Woken:
		s.wakeAt = identifier.Never
		s.fireTimers()
	case ViewPublished:
		s.applyView(e.View)
	case PeerDisconnected:
		s.handleDisconnectedProcess(e)
	case ProcessIntroduced:
		s.receiveIntroduction(e)
	case FingerprintSuspected:
		s.receiveSuspicion(e)
	case FingerprintCrashed:
		s.receiveCrash(e)
	case FingerprintCleared:
		s.receiveCleared(e)
	case OwnershipRenewed:
		s.renewOwnership(e)
	case LendingUpdated:
		s.traffic.credit.updateLending(e.Lending)
	case ProofRenewed:
		s.traffic.provenUntil = max(s.traffic.provenUntil, e.Until)
	case QueuesEstimated:
		s.receiveEstimates(e.Servers)
	}
}

func (s *State) reduceTimer(t timer) {
	switch t := t.(type) {
	case heartbeatDue:
		s.sendHeartbeats()
	case replicationDue:
		s.clearReplicationTimer(t)
	case expiryDue:
		s.expireLeases()
	case startupDue:
		s.activateConfiguration()
		s.proposeImport()
	case pullDue:
		s.pull()
	case unknownServerDue:
		s.retryWithdrawal(t.ticket)
	case operationDue:
		s.tryOperation(t.number)
	case queryDue:
		s.endQueryAtDeadline(t.request)
	case hedgeDue:
		s.handleHedgeTimer(t)
	case retryDue:
		s.retryAfterBackoff(t)
	case permitDue:
		s.grantNextPermit(t.fingerprint)
	case crashRepeatDue:
		s.repeatCrashes()
	case queueCheckDue:
		s.checkQueue(t)
	case estimateDue:
		s.publishEstimates()
	case notificationDue:
		s.sendChanges()
	case serverListDue:
		s.pollServerLists()
	case requestDue:
		s.handleRequestTimer(t)
	case measurementDue:
		s.sendMeasurements(false)
	case promptReportDue:
		s.sendPromptReport()
	case rejectionRelayDue:
		s.relayRejections()
	case creditDue:
		s.handleCreditTimer(t.request)
	case reportDue:
		s.handleReportTimer(t)
	case coldReportDue:
		s.handleColdReportTimer(t)
	case coldCreditDue:
		s.handleColdCreditTimer(t.server)
	}
}

func (s *State) emit(e Effect) {
	s.effects = append(s.effects, e)
}

func (s *State) log(subsystem Subsystem, level LogLevel, message string, fields ...Field) {
	s.emit(Log{Subsystem: subsystem, Level: level, Message: message, Fields: fields})
}
