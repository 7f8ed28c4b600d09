package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// RequestSubsystem logs what happens to clients' requests.
const RequestSubsystem Subsystem = "request"

// RequestEvent is the family about clients' requests that are routed by a declaration.
type RequestEvent interface {
	Event
	isRequestEvent()
	// Key returns the request, which decides the traffic state that the event belongs to.
	Key() identifier.RequestID
}

type requestEvent struct{}

func (requestEvent) isEvent()        {}
func (requestEvent) isRequestEvent() {}

// Parcel is what of a client's request is passed on to servers unchanged. Only the
// adapter that packed it looks inside.
type Parcel struct {
	Method string `msgpack:"m"`
	// Client is the client's own name for the request, which servers repeat in their answers.
	Client string `msgpack:"c"`
	// Head is what comes before the fields that are set for each attempt.
	Head []byte `msgpack:"h"`
	Body []byte `msgpack:"b"`
}

// Content is what an answer holds besides what decisions depend on. Only the adapter
// that made it looks inside.
type Content any

// Request events.
type (
	// RequestArrived is a client's request, read in full.
	RequestArrived struct {
		requestEvent
		// Request is unique on this host.
		Request identifier.RequestID
		// Hostname and Path select the route.
		Hostname, Path string
		// Remaining is how long the client waits, in microseconds; 0 is unknown.
		Remaining identifier.Micros
		Parcel    Parcel
	}
	// RequestAbandoned reports that the client has closed its connection.
	RequestAbandoned struct {
		requestEvent
		Request identifier.RequestID
	}
	// ExchangeAnswered carries a backend server's whole answer.
	ExchangeAnswered struct {
		requestEvent
		Attempt identifier.AttemptID
		Server  identifier.ServerID
		Answer  ServerAnswer
	}
	// ExchangeRefused reports an attempt that did not run.
	ExchangeRefused struct {
		requestEvent
		Attempt identifier.AttemptID
		Server  identifier.ServerID
		Reason  ExchangeRefusal
	}
	// ExchangeLost reports an attempt that may have run and whose answer will not come.
	ExchangeLost struct {
		requestEvent
		Attempt identifier.AttemptID
		Server  identifier.ServerID
		Reason  string
		// Unproven is set when the connection had not given an answer before: servers reset
		// connections beyond their cap, also while connections of hosts that died still count there.
		Unproven bool
	}
)

// ServerAnswer is the answer of a backend server.
type ServerAnswer struct {
	// Success is set when the server served the request, and not when it reports a failure.
	Success bool
	// Signature is the server's proof that it made the answer; it is empty without one.
	Signature string
	Body      []byte
	Content   Content
}

// ExchangeRefusal says why an attempt did not run.
type ExchangeRefusal uint8

// The reasons for a refusal.
const (
	// ExchangeShed means that the server said that it did not run the attempt.
	ExchangeShed ExchangeRefusal = iota
	// ExchangeMisdirected means that another server has the address.
	ExchangeMisdirected
	// ExchangeUnreachable means that no connection could be made.
	ExchangeUnreachable
)

// String returns the reason as it is logged.
func (r ExchangeRefusal) String() string {
	switch r {
	case ExchangeShed:
		return "shed"
	case ExchangeMisdirected:
		return "another-server-has-the-address"
	}
	return "unreachable"
}

// Key returns the request.
func (e RequestArrived) Key() identifier.RequestID { return e.Request }

// Key returns the request.
func (e RequestAbandoned) Key() identifier.RequestID { return e.Request }

// Key returns the request that the attempt belongs to.
func (e ExchangeAnswered) Key() identifier.RequestID { return e.Attempt.Request }

// Key returns the request that the attempt belongs to.
func (e ExchangeRefused) Key() identifier.RequestID { return e.Attempt.Request }

// Key returns the request that the attempt belongs to.
func (e ExchangeLost) Key() identifier.RequestID { return e.Attempt.Request }

// Effects of requests.
type (
	// Exchange sends an attempt to a backend server; one of the Exchange events follows.
	Exchange struct {
		effect
		Attempt identifier.AttemptID
		Server  identifier.ServerID
		Address identifier.Address
		// Deadline is when the server may stop its work.
		Deadline identifier.Instant
		// Connections is the most connections that this host may hold to the server.
		Connections identifier.Connections
		// Fresh asks for a connection on which the attempt can't be lost to an idle timeout.
		Fresh  bool
		Parcel Parcel
	}
	// CancelExchange ends an attempt whose answer is no longer needed. The answer may
	// still come within the grace, which keeps the connection.
	CancelExchange struct {
		effect
		Attempt identifier.AttemptID
		Grace   identifier.Micros
	}
	// ReplyRequest ends a client's request.
	ReplyRequest struct {
		effect
		Request identifier.RequestID
		Outcome RequestOutcome
	}
)

// RequestOutcome is how a client's request ended. It is sealed: the types of this
// package are all there are.
type RequestOutcome interface{ isRequestOutcome() }

type (
	// Relayed passes a server's answer on unchanged.
	Relayed struct{ Answer ServerAnswer }
	// Gathered is the answer merged from the parts of several shards.
	Gathered struct {
		// Signatures are those of the parts that are in.
		Signatures []string
		// Missing is how many shards are left out.
		Missing int
		// Body holds the greatest records, falling.
		Body []byte
	}
	// Declined is a request without an answer.
	Declined struct {
		Reason DeclineReason
		Ran    Ran
		// RetryAfter is when the client may try again, in microseconds; 0 says nothing.
		RetryAfter identifier.Micros
	}
)

func (Relayed) isRequestOutcome()  {}
func (Gathered) isRequestOutcome() {}
func (Declined) isRequestOutcome() {}

// DeclineReason says why a request has no answer.
type DeclineReason string

// The reasons for a request without an answer.
const (
	NoRoute        DeclineReason = "no-route"
	NoDeclaration  DeclineReason = "no-declaration"
	NoServer       DeclineReason = "no-server"
	ServersRefused DeclineReason = "servers-refused"
	ServersFailed  DeclineReason = "servers-failed"
	RequestOverdue DeclineReason = "timeout"
	TooFewParts    DeclineReason = "too-few-parts"
)

// request is one client's request in progress.
type request struct {
	RequestArrived
	asker   asker
	route   *declarer.Route
	version identifier.Version
	rank    identifier.Rank
	arrival identifier.Instant
	// objective is when the answer should leave, late is when one that missed it need
	// not be complete any more, and deadline is when the request ends.
	objective, late, deadline identifier.Instant
	pieces                    []piece
	// attempts holds every attempt of the request; the index is the sequence less 1.
	attempts []*sending
	// delegations are the groups of pieces that other hosts gather, and batches the merged
	// records that came of them.
	delegations []*delegation
	batches     [][]byte
	// settled counts the pieces that nothing is awaited for; served, those with an answer.
	settled, served int
	// offered is set once an attempt was sent; ran, once one may have run.
	offered, ran bool
	// timer is the instant of the next requestDue.
	timer identifier.Instant
}

// piece is the progress of one part of a request: that of one shard, or the whole.
type piece struct {
	service identifier.ServiceID
	// open counts attempts in flight; sent, the servers that may have run the piece;
	// arrivals, the attempts that may have reached the service, whether they ran or not.
	open, sent, arrivals int
	// tried are the servers that an attempt was sent to, and that did not refuse it.
	tried []identifier.ServerID
	// refused are the servers that refused it.
	refused []identifier.ServerID
	// settled is set when nothing is awaited any more.
	settled bool
	// ran is set once an attempt may have run.
	ran    bool
	answer *ServerAnswer
	// failure is the last failure that a server answered with.
	failure *ServerAnswer
	// again is when to look for a server again; Never while nothing is waited for.
	again identifier.Instant
	// probes is set when the piece may go to a degraded server.
	probes bool
}

// sending is one attempt of a request. It outlives the request until its exchange ends.
type sending struct {
	piece   int
	route   declarer.RouteID
	service identifier.ServiceID
	server  identifier.ServerID
	rank    identifier.Rank
	sent    identifier.Instant
	// hedge is when to send a second attempt beside this one; Never without.
	hedge identifier.Instant
	open  bool
	// tallied is set once the attempt counts in what is told of its server, and from the
	// beginning when it does not count.
	tallied bool
}
