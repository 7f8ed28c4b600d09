package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Effect is something that a reducer asks its host to do. It is sealed: the
// types of this package are all there are.
type Effect interface{ isEffect() }

type effect struct{}

func (effect) isEffect() {}

// Effects that every state may return.
type (
	// Wake asks for a Woken event at the instant; it replaces the previous Wake.
	Wake struct {
		effect
		At identifier.Instant
	}
	// Send delivers an event to the state that it belongs to on a host, which may be this one.
	Send struct {
		effect
		To    identifier.HostID
		Event Event
	}
	// Log writes a line to the logger of a subsystem.
	Log struct {
		effect
		Subsystem Subsystem
		Level     LogLevel
		Message   string
		Fields    []Field
	}
	// Count adds to a counter.
	Count struct {
		effect
		Counter  Counter
		Customer identifier.CustomerID
		Rank     identifier.Rank
	}
)

// Histogram names a histogram of spans.
type Histogram string

// Time takes a span into a histogram.
type Time struct {
	effect
	Histogram Histogram
	Rank      identifier.Rank
	// Span is in microseconds.
	Span identifier.Micros
}

// Effects of the control state.
type (
	// PublishView hands the view to the traffic states of this host.
	PublishView struct {
		effect
		View *View
	}
	// GrantLease answers a backend server's announcement.
	GrantLease struct {
		effect
		Ticket Ticket
		// Term is how long the lease lasts, in microseconds.
		Term identifier.Micros
		// Owner is the host to announce to next.
		Owner identifier.HostID
		// Address is where to announce next, if the host knows a better place than itself.
		Address identifier.Address
		// Declined is set when the host can't promise that the announcement takes effect.
		Declined bool
	}
)

// Effects of the traffic states.
type (
	// Call sends an attempt to a backend server.
	Call struct {
		effect
		Server      identifier.ServerID
		Address     identifier.Address
		Connections identifier.Connections
		Attempt     identifier.AttemptID
		Customer    identifier.CustomerID
		Work        identifier.WorkKind
		Deadline    identifier.Instant
		Snapshot    identifier.Snapshot
		Range       identifier.HashRange
		Body        []byte
	}
	// CancelCall closes the request of a call that is in flight.
	CancelCall struct {
		effect
		Server  identifier.ServerID
		Attempt identifier.AttemptID
	}
	// Reply ends a query.
	Reply struct {
		effect
		Request identifier.RequestID
		Outcome Outcome
	}
)

// Outcome is how a query ended: Answered or Failed.
type Outcome interface{ isOutcome() }

// Part is one shard's part of an answer.
type Part struct {
	Service identifier.ServiceID
	Server  identifier.ServerID
	Range   identifier.HashRange
	Body    []byte
}

// Answered is an answer that is complete enough for its customer.
type Answered struct {
	Configuration identifier.Version
	Snapshot      identifier.Snapshot
	Coverage      identifier.Ratio
	Parts         []Part
}

// Failed is a query without an answer.
type Failed struct {
	Kind     FailureKind
	Ran      Ran
	Coverage identifier.Ratio
	// RetryAfter is a hint for the caller, in microseconds; 0 gives none.
	RetryAfter identifier.Micros
	Message    string
}

func (Answered) isOutcome() {}
func (Failed) isOutcome()   {}

// FailureKind classifies a failed query.
type FailureKind string

// The kinds of failure.
const (
	UnknownCustomer FailureKind = "unknown-customer"
	UnknownWork     FailureKind = "unknown-work"
	Overloaded      FailureKind = "overloaded"
	CoverageTooLow  FailureKind = "coverage-too-low"
	TimedOut        FailureKind = "timeout"
	NotReady        FailureKind = "not-ready"
	LedgerMissing   FailureKind = "ledger-unavailable"
	// Quarantined requests have crashed backend servers.
	Quarantined FailureKind = "quarantined"
)

// message explains the failure of a query that was admitted.
func (k FailureKind) message() string {
	if k == Quarantined {
		return "the request has crashed the backend servers that ran it"
	}
	return "the answer is less complete than the customer requires"
}

// Ran tells whether any part of a failed query ran on a backend server.
type Ran string

// The answers to whether a query ran.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Subsystem names a logger.
type Subsystem string

// The subsystems that log.
const (
	MembershipSubsystem    Subsystem = "membership"
	ConfigurationSubsystem Subsystem = "configuration"
	QuerySubsystem         Subsystem = "query"
	SlotSubsystem          Subsystem = "slot"
	QuarantineSubsystem    Subsystem = "quarantine"
)

// LogLevel is the severity of a log line.
type LogLevel uint8

// The levels of log lines.
const (
	Debug LogLevel = iota
	Info
	Warn
	Error
)

// Field is a named value of a log line.
type Field struct {
	Name  string
	Value string
}

// Counter names a counter.
type Counter string

// The counters of queries and attempts.
const (
	QueriesCounter        Counter = "queries"
	AnswersCounter        Counter = "answers"
	FailuresCounter       Counter = "failures"
	AttemptsCounter       Counter = "attempts"
	RetriesCounter        Counter = "retries"
	MismatchedPartCounter Counter = "mismatched-parts"
	HedgesCounter         Counter = "hedges"
	HedgesWithheldCounter Counter = "hedges-withheld"
	ProbesCounter         Counter = "probes"
	ReplansCounter        Counter = "replans"
	EarlyRefusalsCounter  Counter = "early-refusals"

	// BrokenInvariantsCounter counts invariants found broken; it must stay 0.
	BrokenInvariantsCounter Counter = "broken-invariants"
)
