package identifier

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// HostID names an entry host; it is unique in the deployment and comes from its settings.
	HostID string
	// DomainID names a failure domain.
	DomainID string
	// CustomerID names a customer.
	CustomerID string
	// TemplateID names a template that customers are created from.
	TemplateID string
	// ServiceID names a service: the set of replicas that hold one shard.
	ServiceID string
	// ServerID names a backend server.
	ServerID string
	// Address is an IP number and port, as in 127.0.0.1:8001.
	Address string
	// WorkKind names a kind of work; the customer's template maps it to a Rank.
	WorkKind string
	// RequestID names one caller's request; it is unique across entry hosts.
	RequestID string
	// IdempotencyKey is the caller's name for a request that must run at most once.
	IdempotencyKey string
	// ChangeID makes a resent configuration change idempotent.
	ChangeID string
)

type (
	// Incarnation counts the starts of a backend server; a higher one replaces a lower one.
	Incarnation uint64
	// Sequence orders the announcements of one incarnation.
	Sequence uint64
	// Epoch numbers a partitioning of a customer's hash space.
	Epoch uint64
	// IndexVersion numbers a version of the index that backend servers hold.
	IndexVersion uint64
	// Version numbers a configuration; it only rises.
	Version uint64
	// LogIndex numbers an entry of the replicated log, from 1.
	LogIndex uint64
	// Term numbers a leadership of the replicated log.
	Term uint64
	// Fingerprint is a 64-bit hash of a request's customer, work and body.
	Fingerprint uint64
	// Slots counts requests that a backend server runs at once.
	Slots int
	// Connections counts TCP connections.
	Connections int
	// Bytes counts octets.
	Bytes int64
)

// AttemptID names one attempt to run one part of a request on one backend server.
type AttemptID struct {
	Request  RequestID `msgpack:"r" json:"request"`
	Sequence uint32    `msgpack:"s" json:"sequence"`
}

// String returns the id in the form request/sequence.
func (a AttemptID) String() string {
	return string(a.Request) + "/" + strconv.FormatUint(uint64(a.Sequence), 10)
}

// InvalidAttemptError reports a text that is not an attempt id.
type InvalidAttemptError struct {
	Text string
}

// Error describes the rejected text.
func (e *InvalidAttemptError) Error() string {
	return fmt.Sprintf("attempt id %q is not of the form request/sequence", e.Text)
}

// ParseAttempt reads an id in the form request/sequence.
// It returns an *InvalidAttemptError for any other text.
func ParseAttempt(text string) (AttemptID, error) {
	request, number, found := strings.Cut(text, "/")
	if !found || request == "" {
		return AttemptID{}, &InvalidAttemptError{Text: text}
	}
	sequence, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return AttemptID{}, &InvalidAttemptError{Text: text}
	}
	return AttemptID{Request: RequestID(request), Sequence: uint32(sequence)}, nil
}
