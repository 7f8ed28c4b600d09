package identifier

import "strconv"

// processNonceBits is the number of random bits in a ProcessID.
const processNonceBits = 12

// ProcessID identifies one process of a host; 0 is unknown. A later process has a greater ID, unless the host's clock
// was set back in between.
type ProcessID uint64

// NewProcessID returns the ID of a process that started at the instant. The random bits distinguish processes that
// started at the same time by their clocks.
func NewProcessID(started Instant, random uint64) ProcessID {
	return ProcessID(started)<<processNonceBits | ProcessID(random&(1<<processNonceBits-1))
}

// String returns the ID in base 36.
func (p ProcessID) String() string {
	return strconv.FormatUint(uint64(p), 36)
}

// Process identifies a process among those of all hosts.
type Process struct {
	Host HostID
	ID   ProcessID
}

// RequestName identifies a client's request on every host that takes part in it, for good.
type RequestName struct {
	// Requester is the process of another host that asked for parts; zero for a request of this host's own client.
	Requester Process
	// Request is unique in the process that read the request.
	Request RequestID
}

// ExchangeID identifies one attempt of a client's request at a backend server, within the process that sends it.
type ExchangeID struct {
	// Requester is that of the request's RequestName.
	Requester Process
	Request   RequestID
	Sequence  uint32
}

// Name returns the name of the request that the attempt belongs to.
func (e ExchangeID) Name() RequestName {
	return RequestName{Requester: e.Requester, Request: e.Request}
}
