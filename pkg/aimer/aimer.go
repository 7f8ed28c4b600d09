// Package aimer decides when a host must send an answer so that it reaches the client within the
// target latency of its route.
//
// The client's clock starts before the request arrives: half a round trip earlier and, on a new
// connection, another whole one, in which the connection was established. The answer then takes half a
// round trip. Near clients leave more of the target latency to the servers than remote ones, and a
// client that reuses its connection more than one that opens a new one.
//
// # Usage
//
//	t := aimer.New(arrival, route.TargetLatency, aimer.Distance{RoundTrip: roundTrip, NewConnection: true})
//	if now >= t.AnswerAt { ... }
package aimer

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

const (
	// unknownMargin is subtracted from the target latency when the round trip is unknown, for a client
	// in the same region.
	unknownMargin = 8 * identifier.Millisecond
	// processingMargin is subtracted from the target latency besides the time on the network, for
	// late timers and a busy processor.
	processingMargin = 4 * identifier.Millisecond
	// busyDivisor divides the target latency to give a further margin for a busy processor.
	busyDivisor = 25
	// maxRoundTripDivisor divides the target latency to limit the round trip that counts: a target that
	// can't be met is no reason to answer without waiting for the servers.
	maxRoundTripDivisor = 8
)

// Distance is what a host knows of the way to a client.
type Distance struct {
	// RoundTrip is the round trip to the client in microseconds; 0 if it is unknown.
	RoundTrip identifier.Micros
	// NewConnection is set for the first request on a connection.
	NewConnection bool
}

// Times are the instants that follow from the target latency of a request.
type Times struct {
	// Started is when the client began the request.
	Started identifier.Instant
	// AnswerAt is when the answer should be sent to meet the target latency.
	AnswerAt identifier.Instant
	// LateFrom is the instant from which an answer would miss the target latency.
	LateFrom identifier.Instant
}

// New returns the times of a request that has arrived at an instant. The target latency is in
// microseconds.
func New(arrival identifier.Instant, target identifier.Micros, d Distance) Times {
	if d.RoundTrip <= 0 {
		return Times{
			Started: arrival, AnswerAt: arrival.Add(target - unknownMargin - target/busyDivisor), LateFrom: arrival.Add(target),
		}
	}
	trip := min(d.RoundTrip, target/maxRoundTripDivisor)
	started := arrival.Add(-trip / 2)
	if d.NewConnection {
		started = started.Add(-trip)
	}
	late := started.Add(target - trip/2)
	return Times{Started: started, AnswerAt: late.Add(-processingMargin - target/busyDivisor), LateFrom: late}
}
