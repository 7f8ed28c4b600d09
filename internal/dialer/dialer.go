// Package dialer opens TCP connections that end when the peer stops responding.
//
// A host that loses power or network connectivity sends no reset. Without the timeouts that
// this package sets, a connection to it would stay open for as long as the kernel retransmits.
//
// # Usage
//
//	connection, err := dialer.Dial(ctx, "10.0.0.7:7740")
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// userTimeout limits how long sent data may stay unacknowledged: two heartbeat
	// intervals of a peer and a retransmission.
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the interval of the keep-alive probes on an idle connection. The
	// connection ends after keepAliveProbes unanswered probes.
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 2
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 0x12
)

var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}

// Dial connects to the address. The connection has the timeouts of this package.
func Dial(ctx context.Context, address identifier.Address) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", string(address))
}

// Listen listens on the address. Accepted connections have the same timeouts as those of Dial.
func Listen(address identifier.Address) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout}
	return c.Listen(context.Background(), "tcp", string(address))
}

// setUserTimeout sets the TCP_USER_TIMEOUT option of a socket to userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return optionErr
}
