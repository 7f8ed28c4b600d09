package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/estimator"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// Event is something that happens to an entry host: the input of Reduce. The interface is
// sealed: only types of this package implement it.
type Event interface{ isEvent() }

// ProcessEvent is the family of events that every state of a host receives.
type ProcessEvent interface {
	Event
	isProcessEvent()
}

// MembershipEvent is the family of events about backend servers and entry hosts.
type MembershipEvent interface {
	Event
	isMembershipEvent()
}

// ConfigurationEvent is the family of events about templates and customers.
type ConfigurationEvent interface {
	Event
	isConfigurationEvent()
}

// QueryEvent is the family of events about callers' queries and the parts of their answers.
type QueryEvent interface {
	Event
	isQueryEvent()
	// Key returns the request ID, which selects the traffic state that handles the event.
	Key() identifier.RequestID
}

// SlotEvent is the family of events about the slots of a backend server, which the server's
// owner assigns.
type SlotEvent interface {
	Event
	isSlotEvent()
	// Key returns the server ID, which selects the traffic state that handles the event.
	Key() identifier.ServerID
}

// QuarantineEvent is the family of events about permits to probe suspect requests.
type QuarantineEvent interface {
	Event
	isQuarantineEvent()
}

type processEvent struct{}

func (processEvent) isEvent()        {}
func (processEvent) isProcessEvent() {}

type membershipEvent struct{}

func (membershipEvent) isEvent()           {}
func (membershipEvent) isMembershipEvent() {}

type configurationEvent struct{}

func (configurationEvent) isEvent()              {}
func (configurationEvent) isConfigurationEvent() {}

type queryEvent struct{}

func (queryEvent) isEvent()      {}
func (queryEvent) isQueryEvent() {}

type slotEvent struct{}

func (slotEvent) isEvent()     {}
func (slotEvent) isSlotEvent() {}

type quarantineEvent struct{}

func (quarantineEvent) isEvent()           {}
func (quarantineEvent) isQuarantineEvent() {}

// Process events.
type (
	// Started is the first event of every state. Seed initializes the state's random number
	// generator.
	Started struct {
		processEvent
		Seed uint64
	}
	// Woken reports that the time set by the last Wake effect has been reached.
	Woken struct{ processEvent }
	// ViewPublished passes the latest view of the control state to a traffic state.
	ViewPublished struct {
		processEvent
		View *View
	}
	// PeerDisconnected reports that the connection to another host was closed; events in
	// transit in either direction may be lost.
	PeerDisconnected struct {
		processEvent
		Host identifier.HostID
		// Process is the process at the other end; 0 if it is unknown.
		Process identifier.ProcessID
	}
	// OwnershipRenewed extends the period in which this host may act as an owner. The
	// host's control state sends it with each heartbeat.
	OwnershipRenewed struct {
		processEvent
		// Until is the time from which other hosts may take over this host's servers.
		Until identifier.Instant
		// Lapsed is set if other hosts may have done so since the last renewal.
		Lapsed bool
	}
	// QueuesEstimated carries an owner's queue estimates to the hosts that submit attempts to it.
	QueuesEstimated struct {
		processEvent
		Servers []ServerEstimate `msgpack:"s"`
	}
)

// ServerEstimate is the queue estimate of one server.
type ServerEstimate struct {
	Server   identifier.ServerID `msgpack:"i"`
	Estimate estimator.Estimate  `msgpack:"e"`
}

// Ticket matches a reply effect to the connection that waits for it.
type Ticket uint64

// Membership events.
type (
	// HostStarted starts this host's periodic tasks, such as heartbeats or requests for the server
	// list.
	HostStarted struct{ membershipEvent }
	// HostLeaving hands over this host's servers to the other hosts before a graceful shutdown.
	HostLeaving struct{ membershipEvent }
	// ServerAnnounced carries an announcement that this host received from a backend server.
	ServerAnnounced struct {
		membershipEvent
		Ticket       Ticket
		Announcement leaser.Announcement
	}
	// ServerRelayed carries an announcement that another host received from a backend server.
	ServerRelayed struct {
		membershipEvent
		Announcement leaser.Announcement `msgpack:"a"`
		// From is the relaying host.
		From  identifier.HostID `msgpack:"f"`
		Stamp Stamp             `msgpack:"t"`
		// Age is the age of the announcement at the time of the stamp, in microseconds.
		Age identifier.Micros `msgpack:"g"`
	}
	// RenewalsRelayed carries digests of the unchanged announcements that the relaying host
	// has received from servers.
	RenewalsRelayed struct {
		membershipEvent
		// From is the relaying host.
		From     identifier.HostID `msgpack:"f"`
		Stamp    Stamp             `msgpack:"t"`
		Renewals []AgedRenewal     `msgpack:"r"`
	}
	// AnnouncementsWanted asks a host that relayed renewals for the full announcements.
	AnnouncementsWanted struct {
		membershipEvent
		Host    identifier.HostID     `msgpack:"h"`
		Servers []identifier.ServerID `msgpack:"s"`
	}
	// HostHeard is a heartbeat of another entry host.
	HostHeard struct {
		membershipEvent
		Host   identifier.HostID   `msgpack:"h"`
		Domain identifier.DomainID `msgpack:"d"`
		// Leaving is set while the host shuts down.
		Leaving bool  `msgpack:"l"`
		Stamp   Stamp `msgpack:"t"`
		// Announcements is the address at which a control host accepts announcements of
		// backend servers.
		Announcements identifier.Address `msgpack:"a"`
	}
)

// AgedRenewal is a renewal and its age at the time of the stamp, in microseconds.
type AgedRenewal struct {
	leaser.Renewal
	Age identifier.Micros `msgpack:"g"`
}

// Stamp records when a host sent an event, by the clock of that host.
type Stamp struct {
	// Started is when the host's process started.
	Started identifier.Instant `msgpack:"p"`
	Sent    identifier.Instant `msgpack:"t"`
}

// ConfigurationLoaded replaces all templates and customers with those of a higher version.
type ConfigurationLoaded struct {
	configurationEvent
	Version   identifier.Version
	Templates []configurer.Template
	Customers []configurer.Customer
}

// Query events.
type (
	// QueryArrived is a caller's query, whose syntax has been validated.
	QueryArrived struct {
		queryEvent
		Request  identifier.RequestID
		Customer identifier.CustomerID
		Work     identifier.WorkKind
		// Timeout is how long the caller waits, in microseconds.
		Timeout identifier.Micros
		// MinCoverage may raise the customer's minimum coverage but never lowers it.
		MinCoverage identifier.Ratio
		Repeatable  bool
		// IdempotencyKey and IssuedAt are set for a non-repeatable query.
		IdempotencyKey identifier.IdempotencyKey
		IssuedAt       identifier.Instant
		Fingerprint    identifier.Fingerprint
		Body           []byte
	}
	// QueryAbandoned reports that the caller closed its connection.
	QueryAbandoned struct {
		queryEvent
		Request identifier.RequestID
	}
	// AttemptServed carries one part of an answer.
	AttemptServed struct {
		queryEvent
		Attempt  identifier.AttemptID `msgpack:"a"`
		Server   identifier.ServerID  `msgpack:"s"`
		Snapshot identifier.Snapshot  `msgpack:"n"`
		Range    identifier.HashRange `msgpack:"r"`
		Body     []byte               `msgpack:"b"`
		Estimate estimator.Estimate   `msgpack:"q"`
	}
	// AttemptRefused reports an attempt that did not run.
	AttemptRefused struct {
		queryEvent
		Attempt  identifier.AttemptID `msgpack:"a"`
		Server   identifier.ServerID  `msgpack:"s"`
		Reason   RefusalReason        `msgpack:"e"`
		Estimate estimator.Estimate   `msgpack:"q"`
	}
	// AttemptLost reports an attempt whose result is unknown; it may have run.
	AttemptLost struct {
		queryEvent
		Attempt identifier.AttemptID `msgpack:"a"`
		Server  identifier.ServerID  `msgpack:"s"`
	}
)

// RefusalReason says why an attempt did not run.
type RefusalReason uint8

// The reasons for a refusal.
const (
	// RefusedByServer means that the backend server shed the attempt.
	RefusedByServer RefusalReason = iota
	// RefusedUnreachable means that no connection could be made to the server or to its owner.
	RefusedUnreachable
	// RefusedExpired means that the deadline passed while the attempt was queued.
	RefusedExpired
	// RefusedNotOwner means that the host may not send the server work: it does not own the server
	// or can't confirm that it still does, or the server is draining or has no valid lease.
	RefusedNotOwner
	// RefusedSnapshot means that the server no longer holds the pinned snapshot.
	RefusedSnapshot
	// RefusedSuspect means that the request is suspected of crashing servers and may
	// run only as a single probe.
	RefusedSuspect
	// RefusedOverloaded means that the owner's queue for the server and rank is full.
	RefusedOverloaded
)

// Key returns the request of the query.
func (e QueryArrived) Key() identifier.RequestID { return e.Request }

// Key returns the request of the query.
func (e QueryAbandoned) Key() identifier.RequestID { return e.Request }

// Key returns the request that the attempt belongs to.
func (e AttemptServed) Key() identifier.RequestID { return e.Attempt.Request }

// Key returns the request that the attempt belongs to.
func (e AttemptRefused) Key() identifier.RequestID { return e.Attempt.Request }

// Key returns the request that the attempt belongs to.
func (e AttemptLost) Key() identifier.RequestID { return e.Attempt.Request }

// Slot events.
type (
	// AttemptSubmitted asks the owner of a server to run an attempt on it.
	AttemptSubmitted struct {
		slotEvent
		From     identifier.HostID     `msgpack:"o"`
		Attempt  identifier.AttemptID  `msgpack:"a"`
		Server   identifier.ServerID   `msgpack:"s"`
		Customer identifier.CustomerID `msgpack:"c"`
		Work     identifier.WorkKind   `msgpack:"w"`
		Rank     identifier.Rank       `msgpack:"k"`
		// Remaining is the time left to the deadline when the event was sent, in microseconds.
		Remaining   identifier.Micros      `msgpack:"m"`
		Snapshot    identifier.Snapshot    `msgpack:"n"`
		Range       identifier.HashRange   `msgpack:"r"`
		Repeatable  bool                   `msgpack:"p"`
		Fingerprint identifier.Fingerprint `msgpack:"f"`
		Body        []byte                 `msgpack:"b"`
		// Probe is set on the single attempt of a request suspected of crashing servers.
		Probe bool `msgpack:"t"`
	}
	// AttemptCancelled cancels an attempt whose result is no longer needed.
	AttemptCancelled struct {
		slotEvent
		Attempt identifier.AttemptID `msgpack:"a"`
		Server  identifier.ServerID  `msgpack:"s"`
	}
	// CallServed reports that a backend server answered a call.
	CallServed struct {
		slotEvent
		Attempt  identifier.AttemptID
		Server   identifier.ServerID
		Snapshot identifier.Snapshot
		Range    identifier.HashRange
		Body     []byte
	}
	// CallRefused reports that a backend server did not run a call.
	CallRefused struct {
		slotEvent
		Attempt identifier.AttemptID
		Server  identifier.ServerID
		Reason  RefusalReason
	}
	// CallLost reports that a call's connection was closed without an answer; the call may have run.
	CallLost struct {
		slotEvent
		Attempt identifier.AttemptID
		Server  identifier.ServerID
	}
	// LeaseRenewed notifies the owner's traffic states that the server's lease was renewed.
	LeaseRenewed struct {
		slotEvent
		Server identifier.ServerID
		Until  identifier.Instant
	}
)

// Key returns the server whose lease was renewed.
func (e LeaseRenewed) Key() identifier.ServerID { return e.Server }

// Key returns the server that the attempt runs on.
func (e AttemptSubmitted) Key() identifier.ServerID { return e.Server }

// Key returns the server that the attempt runs on.
func (e AttemptCancelled) Key() identifier.ServerID { return e.Server }

// Key returns the server that was called.
func (e CallServed) Key() identifier.ServerID { return e.Server }

// Key returns the server that was called.
func (e CallRefused) Key() identifier.ServerID { return e.Server }

// Key returns the server that was called.
func (e CallLost) Key() identifier.ServerID { return e.Server }

// Undeliverable returns the event that reports to the sender that an event could not be
// sent to the other host. It returns false if the sender needs no report.
func Undeliverable(to identifier.HostID, event Event) (Event, bool) {
	switch e := event.(type) {
	case AttemptSubmitted:
		return AttemptRefused{Attempt: e.Attempt, Server: e.Server, Reason: RefusedUnreachable}, true
	case PartsRequested:
		return PartsDelivered{From: to, Request: e.Request, Unsent: true, Ended: true, Process: e.Process}, true
	}
	return nil, false
}
