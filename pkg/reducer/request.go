package reducer

import (
	"github.com/lagooncleat/lagooncleat/pkg/aimer"
	"github.com/lagooncleat/lagooncleat/pkg/chooser"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// RequestSubsystem is the log subsystem of clients' requests.
const RequestSubsystem Subsystem = "request"

// RequestEvent is an event about a client's request that is routed by a declaration.
type RequestEvent interface {
	Event
	isRequestEvent()
	// Key returns the request, which selects the traffic state that handles the event.
	Key() identifier.RequestName
}

type requestEvent struct{}

func (requestEvent) isEvent()        {}
func (requestEvent) isRequestEvent() {}

// Payload is the part of a client's request that is forwarded to servers unchanged. It is
// opaque to the reducer; only the adapter that packed it reads the contents.
type Payload struct {
	Method string `msgpack:"m"`
	// ClientRequestID is the client's ID for the request, which servers echo in their answers.
	ClientRequestID string `msgpack:"c"`
	// Head is the part of the header that precedes the fields set for each attempt.
	Head []byte `msgpack:"h"`
	Body []byte `msgpack:"b"`
	// Credentials is the part of the header that holds the client's credentials and names the customer. It
	// is forwarded only if the declaration has no customers.
	Credentials []byte `msgpack:"a"`
}

// Content is the part of an answer that no decision depends on. It is opaque to the
// reducer; only the adapter that created it reads it.
type Content any

// Request events.
type (
	// RequestArrived reports a client's request that has been read in full.
	RequestArrived struct {
		requestEvent
		// Request is unique in this process.
		Request identifier.RequestID
		// Hostname and Path select the route.
		Hostname, Path string
		// Remaining is how long the client waits, in microseconds; 0 if unknown.
		Remaining identifier.Micros
		// Distance is what is known of the way to the client.
		Distance aimer.Distance
		// Fingerprint is the same for each resend of the request.
		Fingerprint identifier.Fingerprint
		// Credential is the digest of the key that the request presents; zero if it presents none, or in a form
		// that no key has.
		Credential declarer.KeyDigest
		Payload    Payload
	}
	// RequestAbandoned reports that the client has closed its connection.
	RequestAbandoned struct {
		requestEvent
		Request identifier.RequestID
	}
	// ExchangeAnswered carries a backend server's complete answer.
	ExchangeAnswered struct {
		requestEvent
		Attempt identifier.ExchangeID
		Server  identifier.ServerID
		Answer  ServerAnswer
		// Statement is what the server says of itself in the answer.
		Statement ServerStatement
		// Load is the load that the server states in the answer, if any.
		Load chooser.Load
	}
	// ExchangeRefused reports an attempt that did not run.
	ExchangeRefused struct {
		requestEvent
		Attempt identifier.ExchangeID
		Server  identifier.ServerID
		Reason  ExchangeRefusal
		// Statement is what the server says of itself, and Load is the load that it states, if any;
		// they are set for ExchangeShed only.
		Statement ServerStatement
		Load      chooser.Load
	}
	// ExchangeLost reports an attempt that may have run and whose answer will never arrive.
	ExchangeLost struct {
		requestEvent
		Attempt identifier.ExchangeID
		Server  identifier.ServerID
		Reason  string
		// Unproven is set when the connection had not delivered an answer before. Servers reset
		// connections beyond their limit, against which connections of dead hosts may still count.
		Unproven bool
		// Closed is set when the server closed or reset the connection before the end of its answer, as
		// a crash does.
		Closed bool
	}
)

// ServerStatement is what a backend server says of itself in an answer, whether the attempt ran or
// not.
type ServerStatement struct {
	// Limited is set while the server limits the requests that it takes from all hosts together.
	Limited bool `msgpack:"l"`
	// Limit is the limit if Limited is set.
	Limit identifier.Rate `msgpack:"r"`
	// Leaving is set once the server is about to shut down.
	Leaving bool `msgpack:"v"`
	// Pause is how long the server, which has refused the attempt, wants no request from this host;
	// 0 if it doesn't say.
	Pause identifier.Micros `msgpack:"p"`
}

// ServerAnswer is the answer of a backend server.
type ServerAnswer struct {
	// Success is set when the server served the request, rather than reporting a failure.
	Success bool
	// Misleading is set on a failure whose status would tell the client that the request was served, or
	// that it did not run. It is not passed on.
	Misleading bool
	// Signature proves that the server produced the answer; empty if the server sent none.
	Signature string
	Body      []byte
	Content   Content
}

// ExchangeRefusal is the reason why an attempt did not run.
type ExchangeRefusal uint8

// The reasons for a refusal.
const (
	// ExchangeShed means that the server reported that it did not run the attempt.
	ExchangeShed ExchangeRefusal = iota
	// ExchangeMisdirected means that another server answers at the address.
	ExchangeMisdirected
	// ExchangeUnreachable means that no connection could be established.
	ExchangeUnreachable
)

// String returns the reason as logged.
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
func (e RequestArrived) Key() identifier.RequestName {
	return identifier.RequestName{Request: e.Request}
}

// Key returns the request.
func (e RequestAbandoned) Key() identifier.RequestName {
	return identifier.RequestName{Request: e.Request}
}

// Key returns the request that the attempt belongs to.
func (e ExchangeAnswered) Key() identifier.RequestName { return e.Attempt.Name() }

// Key returns the request that the attempt belongs to.
func (e ExchangeRefused) Key() identifier.RequestName { return e.Attempt.Name() }

// Key returns the request that the attempt belongs to.
func (e ExchangeLost) Key() identifier.RequestName { return e.Attempt.Name() }

// Effects of requests.
type (
	// Exchange sends an attempt to a backend server. One of the Exchange events reports its result.
	Exchange struct {
		effect
		Attempt identifier.ExchangeID
		Server  identifier.ServerID
		Address identifier.Address
		// Deadline is when the server may stop working on the attempt.
		Deadline identifier.Instant
		// Connections limits the connections that this host may hold to the server.
		Connections identifier.Connections
		// Fresh requires a connection that has been idle too briefly for the server to
		// close it, so that an idle timeout can't lose the attempt.
		Fresh bool
		// Customer is named to the server; empty if the declaration has no customers or the route is public.
		Customer identifier.CustomerID
		// ValidUntil is when the permission to send the attempt ends; 0 if it needs none.
		ValidUntil identifier.Instant
		Payload    Payload
	}
	// CancelExchange ends an attempt whose answer is no longer needed. If the answer still
	// arrives within the grace period, the connection is kept.
	CancelExchange struct {
		effect
		Attempt identifier.ExchangeID
		Grace   identifier.Micros
	}
	// ReplyRequest replies to a client's request and ends it.
	ReplyRequest struct {
		effect
		Request identifier.RequestID
		Outcome RequestOutcome
	}
)

// RequestOutcome is the outcome of a client's request. The interface is sealed: only types
// of this package implement it.
type RequestOutcome interface{ isRequestOutcome() }

type (
	// Relayed forwards a server's answer unchanged.
	Relayed struct{ Answer ServerAnswer }
	// Gathered is the answer merged from the parts of several shards.
	Gathered struct {
		// Signatures are the signatures of the received parts.
		Signatures []string
		// Missing is the number of shards without a part.
		Missing int
		// Body holds the greatest records in descending order.
		Body []byte
	}
	// Declined ends a request without an answer.
	Declined struct {
		Reason DeclineReason
		Ran    Ran
		// RetryAfter is the time after which the client may retry, in microseconds; 0 if unspecified.
		RetryAfter identifier.Micros
	}
)

func (Relayed) isRequestOutcome()  {}
func (Gathered) isRequestOutcome() {}
func (Declined) isRequestOutcome() {}

// DeclineReason is the reason why a request has no answer.
type DeclineReason string

// The reasons for a request without an answer.
const (
	NoRoute DeclineReason = "no-route"
	// UnknownKey requests present no key of a customer of the declaration.
	UnknownKey DeclineReason = "unknown-key"
	// QuotaExceeded requests are beyond their customer's quota.
	QuotaExceeded DeclineReason = "quota-exceeded"
	// QuotaOwnerMissing requests waited for a credit in vain.
	QuotaOwnerMissing DeclineReason = "quota-owner-missing"
	// DeclarationUnproven requests need a proof that the declaration is the newest one, which the host doesn't
	// have.
	DeclarationUnproven DeclineReason = "declaration-unproven"
	NoDeclaration       DeclineReason = "no-declaration"
	NoServer            DeclineReason = "no-server"
	ServersRefused      DeclineReason = "servers-refused"
	ServersFailed       DeclineReason = "servers-failed"
	RequestTimedOut     DeclineReason = "timeout"
	TooFewParts         DeclineReason = "too-few-parts"
	// ServersUnavailable requests were not sent, since servers leave, pause or limit their requests.
	ServersUnavailable DeclineReason = "servers-unavailable"
	// ServersRejecting requests were not begun, since servers reject too many attempts.
	ServersRejecting DeclineReason = "servers-rejecting"
	// SuspectedCrash requests may have crashed backend servers.
	SuspectedCrash DeclineReason = "suspected-crash"
)

// request is one client's request in progress.
type request struct {
	RequestArrived
	// name identifies the request on this host.
	name      identifier.RequestName
	requester requester
	route     *declarer.Route
	version   identifier.Version
	rank      identifier.Rank
	// customer is who sent the request; nil if no key was needed.
	customer *declarer.Customer
	// credit is what the request has of its customer's quota, creditFrom the control host that gave it at creditAt,
	// creditDeadline until when the request waits for one, and creditTries how often it has asked.
	credit         creditState
	creditFrom     identifier.HostID
	creditAt       identifier.Instant
	creditDeadline identifier.Instant
	creditTries    int
	arrival        identifier.Instant
	// started is when the client began the request, and lateFrom when an answer misses the target
	// latency.
	started, lateFrom identifier.Instant
	// answerAt is when the answer should be sent to meet the target latency, or, for a
	// delegated request, the flush time. From partialAfter on, an answer that missed the target
	// latency may be partial. deadline is when the request ends.
	answerAt, partialAfter, deadline identifier.Instant
	pieces                           []piece
	// attempts holds every attempt of the request, at index Sequence-1.
	attempts []*requestAttempt
	// delegations are the groups of pieces that other hosts gather; batches holds the merged
	// records received from them.
	delegations []*delegation
	batches     [][]byte
	// finished counts the pieces for which nothing is pending; served counts those with an answer.
	finished, served int
	// attempted is set once an attempt has been sent; ran is set once one may have run, and
	// answered once a server has answered one.
	attempted, ran, answered bool
	// lost is set once the extra attempts left are too few for the request.
	lost bool
	// settleAt is when the servers have rejected what they reject of the latest attempts.
	settleAt identifier.Instant
	// probing is set while the request may crash servers: it has one attempt in flight at a time.
	probing bool
	// homes are the regions that may see the request.
	homes homes
	// losses counts the attempts whose servers closed the connection, and lostCalls describes those
	// that this host sent.
	losses    int
	lostCalls []lostCall
	// nextCheck is the instant of the next requestDue timer.
	nextCheck identifier.Instant
}

// piece is the state of one shard's or service's share of a request.
type piece struct {
	service identifier.ServiceID
	// openAttempts counts the attempts in flight, sent the attempts that were not refused, and
	// arrivals the attempts that may have reached the service, whether they ran or not.
	openAttempts, sent, arrivals int
	// tried holds the servers that were sent an attempt and did not refuse it.
	tried []identifier.ServerID
	// refused holds the servers that refused an attempt since the last scheduled retry.
	refused []identifier.ServerID
	// finished is set when nothing is pending for the piece.
	finished bool
	// ran is set once an attempt may have run.
	ran    bool
	answer *ServerAnswer
	// failure is the latest failure reported by a server.
	failure *ServerAnswer
	// retryAt is when to retry picking a server; Never if no retry is scheduled.
	retryAt identifier.Instant
	// acceptedFrom is when a server accepts an attempt if the piece was given up because none did.
	acceptedFrom identifier.Instant
	// mayProbe is set when the piece may be sent to a degraded server.
	mayProbe bool
	// probesRejection is set when the piece disregards which servers reject attempts.
	probesRejection bool
	// rejected is set once a server has rejected an attempt without running it.
	rejected bool
	// rampDraw is a random number that decides whether the piece may be sent to a new server; 0 if the service
	// has none.
	rampDraw identifier.Ratio
}

// requestAttempt is one attempt of a request. It is kept until its exchange ends, which may be
// after the request has ended.
type requestAttempt struct {
	request *request
	piece   int
	route   declarer.RouteID
	service identifier.ServiceID
	server  identifier.ServerID
	// incarnation is that of the server when the attempt was sent.
	incarnation identifier.Incarnation
	rank        identifier.Rank
	sent        identifier.Instant
	// hedgeAt is when to send a second attempt in parallel; Never if none is to be sent.
	hedgeAt identifier.Instant
	open    bool
	// counted is set once the attempt is included in the measurements reported for its server,
	// and from the start if it is excluded from them.
	counted bool
}
