package identifier

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// HostID identifies an entry host. It is unique in the deployment and is set in the host's settings.
	HostID string
	// DomainID identifies a failure domain.
	DomainID string
	// RegionID identifies a region, which holds several failure domains.
	RegionID string
	// CustomerID identifies a customer.
	CustomerID string
	// TemplateID identifies a template, which holds the parameters that its customers share.
	TemplateID string
	// ServiceID identifies a service: the set of replicas that hold one shard.
	ServiceID string
	// ServerID identifies a backend server.
	ServerID string
	// Address is an IP address and port, for example 127.0.0.1:8001.
	Address string
	// WorkKind is a kind of work. The customer's template maps it to a Rank.
	WorkKind string
	// RequestID identifies a client request within the process that read it. RequestName makes it unique.
	RequestID string
	// IdempotencyKey is a key that a client chooses for a request that must run at most once.
	IdempotencyKey string
	// ChangeID identifies a configuration change, so that resending the change has no further effect.
	ChangeID string
)

type (
	// Incarnation is the start count of a backend server. A higher incarnation supersedes a lower one.
	Incarnation uint64
	// ServerRun identifies one incarnation of one backend server.
	ServerRun string
	// Sequence is the sequence number of an announcement within one incarnation.
	Sequence uint64
	// Epoch is the number of a partition of a customer's hash space.
	Epoch uint64
	// IndexVersion is a version of the index that backend servers hold.
	IndexVersion uint64
	// Version is a version of the configuration. It only increases.
	Version uint64
	// LogIndex is the index of an entry in the replicated log. The first entry has index 1.
	LogIndex uint64
	// Term is an election term of the replicated log.
	Term uint64
	// Fingerprint is a 64-bit hash of what a request asks of backend servers; 0 if there is none.
	Fingerprint uint64
	// Rate is a number of requests per second.
	Rate float64
	// Slots is a number of requests that a backend server runs concurrently.
	Slots int
	// Connections is a number of TCP connections.
	Connections int
	// Bytes is a size in bytes.
	Bytes int64
)

// AttemptID identifies one attempt to run one piece of a request on one backend server.
type AttemptID struct {
	Request  RequestID `msgpack:"r" json:"request"`
	Sequence uint32    `msgpack:"s" json:"sequence"`
}

// String returns the id in the form request/sequence.
func (a AttemptID) String() string {
	return string(a.Request) + "/" + strconv.FormatUint(uint64(a.Sequence), 10)
}

// InvalidAttemptError is returned for a text that is not a valid attempt id.
type InvalidAttemptError struct {
	Text string
}

// Error returns a message with the invalid text and the expected form.
func (e *InvalidAttemptError) Error() string {
	return fmt.Sprintf("attempt id %q is not of the form request/sequence", e.Text)
}

// ParseAttempt parses an id in the form request/sequence.
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
