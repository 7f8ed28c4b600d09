// Package ranger reports what is known of the connections of an HTTP server's clients: the distance, the age of
// a request, and whether the client has closed its end.
//
// The kernel measures the round trip of each connection when it is established. A Ranger reads it once
// and counts the requests on the connection, since the first one was preceded by a round trip in which
// the connection was established.
//
// The age of a request is bounded by this host's clock alone: the first request on a connection was sent after the
// connection was established, and a later one after the answer before it, unless the client sends several at once. A
// process that was stopped may accept connections that are older than it can know, unless they carry no data yet.
//
// net/http cancels a request's context on another goroutine than the handler's, some time after the client's end of
// the connection was received. Closed needs no such time.
//
// # Usage
//
//	server := &http.Server{Handler: ranger.Handler(handler), ConnContext: ranger.ConnContext}
//	distance := ranger.Next(request.Context())
//	age := ranger.Age(request.Context())
//	gone := ranger.Closed(request.Context())
package ranger

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

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
	// quietSince is the latest time before which the next request can't have been sent, in microseconds of the kernel's clock.
	quietSince atomic.Int64
	// socket is nil if the connection is none of the kernel's.
	socket syscall.RawConn
}

// ConnContext adds the measurement of a connection to its context. It must be the server's
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	m := &measurement{socket: socketOf(c)}
	established := sinceBoot()
	if info := m.info(); info != nil {
		m.roundTrip = identifier.Micros(info.Rtt)
		// Without data, the kernel counts from the end of the handshake. A link may have held that back as well.
		established -= identifier.Micros(info.Last_data_recv)*identifier.Millisecond + m.roundTrip
	}
	m.quietSince.Store(int64(established))
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

// Handler returns a handler that notes when the requests on a connection are answered.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if m, ok := r.Context().Value(contextKey{}).(*measurement); ok {
			// net/http writes the rest of the answer afterwards.
			m.quietSince.Store(int64(sinceBoot()))
		}
	})
}

// Age returns the most by which the request of the context is older than this call, also if a link has held it back or the
// process was stopped. It returns 0 without a measurement.
func Age(ctx context.Context) identifier.Micros {
	m, ok := ctx.Value(contextKey{}).(*measurement)
	if !ok {
		return 0
	}
	age := sinceBoot() - identifier.Micros(m.quietSince.Load())
	if info := m.info(); info != nil {
		age = max(age, identifier.Micros(info.Last_data_recv)*identifier.Millisecond)
	}
	return age
}

// sinceBoot returns the time since the machine started, with the time in which it was suspended.
func sinceBoot() identifier.Micros {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("ranger: the clock of the kernel fails: " + err.Error())
	}
	return identifier.MicrosOf(time.Duration(now.Nano()))
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
