// Package ranger measures the distance to the clients of an HTTP server.
//
// The kernel measures the round trip of each connection when it is established. A Ranger reads it once
// and counts the requests on the connection, since the first one was preceded by a round trip in which
// the connection was established.
//
// # Usage
//
//	server := &http.Server{Handler: handler, ConnContext: ranger.ConnContext}
//	distance := ranger.Next(request.Context())
package ranger

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/lagooncleat/lagooncleat/pkg/aimer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// contextKey is the key of a connection's measurement in its context.
type contextKey struct{}

// measurement is what is known of a connection.
type measurement struct {
	roundTrip identifier.Micros
	requested atomic.Bool
}

// ConnContext adds the measurement of a connection to its context. It must be the server's
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, &measurement{roundTrip: roundTrip(c)})
}

// Next returns the distance to the client for the next request on the connection of the context. The
// distance is unknown without a measurement.
func Next(ctx context.Context) aimer.Distance {
	m, ok := ctx.Value(contextKey{}).(*measurement)
	if !ok {
		return aimer.Distance{}
	}
	return aimer.Distance{RoundTrip: m.roundTrip, NewConnection: !m.requested.Swap(true)}
}

// roundTrip returns the round trip that the kernel has measured on a connection, or 0 if it has none.
func roundTrip(c net.Conn) identifier.Micros {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var measured identifier.Micros
	if err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			measured = identifier.Micros(info.Rtt)
		}
	}); err != nil {
		return 0
	}
	return measured
}
