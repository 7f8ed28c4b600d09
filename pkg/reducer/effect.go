package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// Effect is an action that a state requests from its host. The interface is sealed: only
// types of this package implement it.
type Effect interface{ isEffect() }

type effect struct{}

func (effect) isEffect() {}

// Effects that every state may return.
type (
	// Wake requests a Woken event at the given time; it replaces the previous Wake.
	Wake struct {
		effect
		At identifier.Instant
	}
	// Send delivers an event to the responsible state of a host, which may be this host.
	Send struct {
		effect
		To    identifier.HostID
		Event Event
	}
	// Reconnect replaces the connection to a host, if there is one, before the next event is sent to it.
	Reconnect struct {
		effect
		Host identifier.HostID
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

// Histogram names a histogram of durations.
type Histogram string

// RecordDuration records a duration in a histogram.
type RecordDuration struct {
	effect
	Histogram Histogram
	Rank      identifier.Rank
	// Elapsed is the duration, in microseconds.
	Elapsed identifier.Micros
}

// Effects of the control state.
type (
	// PublishView passes the view to the traffic states of this host.
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
		// Owner is the host that owns the server in the view published last. It is empty if no
		// host does, after a withdrawal, and if a later announcement has superseded this one.
		Owner identifier.HostID
		// Address is the address for the server's next announcement: that of a control host in
		// the server's failure domain, or else of this control host. It is empty on a host
		// without ControlDuty, after a withdrawal, and if the announcement was superseded.
		Address identifier.Address
		// Declined is set when the host can't guarantee that the announcement takes effect.
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
	// CancelCall aborts a call that is in flight.
	CancelCall struct {
		effect
		Server  identifier.ServerID
		Attempt identifier.AttemptID
	}
	// Reply sends the outcome of a query to its caller.
	Reply struct {
		effect
		Request identifier.RequestID
		Outcome Outcome
	}
)

// Outcome is the result of a query: Answered or Failed.
type Outcome interface{ isOutcome() }

// Part is one shard's part of an answer.
type Part struct {
	Service identifier.ServiceID
	Server  identifier.ServerID
	Range   identifier.HashRange
	Body    []byte
}

// Answered is an answer with at least the required coverage.
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
	// RetryAfter is the suggested delay before the caller retries, in microseconds; 0 means none.
	RetryAfter identifier.Micros
	Message    string
}

func (Answered) isOutcome() {}
func (Failed) isOutcome()   {}

// FailureKind classifies a failed query.
type FailureKind string

// The kinds of failure.
const (
	UnknownCustomer   FailureKind = "unknown-customer"
	UnknownWork       FailureKind = "unknown-work"
	Overloaded        FailureKind = "overloaded"
	CoverageTooLow    FailureKind = "coverage-too-low"
	TimedOut          FailureKind = "timeout"
	NotReady          FailureKind = "not-ready"
	LedgerUnavailable FailureKind = "ledger-unavailable"
	// Quarantined requests have crashed backend servers.
	Quarantined FailureKind = "quarantined"
)

// message returns the text of the reply to an admitted query that failed.
func (k FailureKind) message() string {
	if k == Quarantined {
		return "the request has crashed the backend servers that ran it"
	}
	return "the answer is less complete than the customer requires"
}

// Ran reports whether any part of a failed query ran on a backend server.
type Ran string

// The values of Ran.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Subsystem names a logger.
type Subsystem string

// The subsystems that write log lines.
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

// Field is a key-value pair of a log line.
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

	// BrokenInvariantsCounter counts invariant violations; it must stay 0.
	BrokenInvariantsCounter Counter = "broken-invariants"
)
