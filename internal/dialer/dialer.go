// Package dialer makes TCP connections that end when the other side goes silent.
//
// A host that loses power or is cut off sends no reset. Without a bound of our own
// a connection to it would stay open for as long as the kernel retransmits.
//
// # Usage
//
//	socket, err := dialer.Dial(ctx, "10.0.0.7:7740")
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// userTimeout is how long sent data may stay unacknowledged: two heartbeat
	// intervals of a peer and a retransmission.
	userTimeout = 1500 * time.Millisecond
	// probeInterval separates the probes of an idle connection, and probeCount of them in vain end it.
	probeInterval = 2 * time.Second
	probeCount    = 2
	// tcpUserTimeout is the socket option of that name, which package syscall lacks.
	tcpUserTimeout = 0x12
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// Dial connects to the address.
func Dial(ctx context.Context, address identifier.Address) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: limitSilence}
	return d.DialContext(ctx, "tcp", string(address))
}

// Listen listens on the address; accepted connections end like those of Dial.
func Listen(address identifier.Address) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: limitSilence}
	return c.Listen(context.Background(), "tcp", string(address))
}

// limitSilence sets how long sent data may stay unacknowledged.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failure error
	if err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return failure
}
