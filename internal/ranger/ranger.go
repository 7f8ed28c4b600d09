// Package ranger reports what the kernel knows of the connections of an HTTP server's clients: the distance, how
// long ago something was received, and whether the client has closed its end.
//
// The kernel measures the round trip of each connection when it is established. A Ranger reads it once
// and counts the requests on the connection, since the first one was preceded by a round trip in which
// the connection was established.
//
// net/http cancels a request's context on another goroutine than the handler's, some time after the client's end of
// the connection was received. Closed needs no such time.
//
// # Usage
//
//	server := &http.Server{Handler: handler, ConnContext: ranger.ConnContext}
//	distance := ranger.Next(request.Context())
//	gone := ranger.Closed(request.Context())
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
	// socket is nil if the connection is none of the kernel's.
	socket syscall.RawConn
}

// ConnContext adds the measurement of a connection to its context. It must be the server's
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	m := &measurement{socket: socketOf(c)}
	if info := m.info(); info != nil {
		m.roundTrip = identifier.Micros(info.Rtt)
	}
	return context.WithValue(ctx, contextKey{}, m)
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

// Age returns how long ago the kernel received the last bytes on the connection of the context, also while the
// process was stopped. It returns 0 if that is unknown.
func Age(ctx context.Context) identifier.Micros {
	if m, ok := ctx.Value(contextKey{}).(*measurement); ok {
		if info := m.info(); info != nil {
			return identifier.Micros(info.Last_data_recv) * identifier.Millisecond
		}
	}
	return 0
}

// Closed reports whether the kernel has received the end of the connection of the context. It returns false if that
// is unknown.
func Closed(ctx context.Context) bool {
	m, ok := ctx.Value(contextKey{}).(*measurement)
	if !ok {
		return false
	}
	info := m.info()
	if info == nil {
		return false
	}
	switch info.State {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_TIME_WAIT, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}

// socketOf returns the socket below the wrappers of a connection, or nil.
func socketOf(c net.Conn) syscall.RawConn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// info returns what the kernel knows of the connection, or nil.
func (m *measurement) info() *unix.TCPInfo {
	if m.socket == nil {
		return nil
	}
	var info *unix.TCPInfo
	if err := m.socket.Control(func(fd uintptr) {
		var err error
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			info = nil
		}
	}); err != nil {
		return nil
	}
	return info
}
