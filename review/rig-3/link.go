//go:build review

package rig

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// maxName limits the length of the name with which a host begins a connection to another one.
const maxName = 256

// link passes on the connections of other hosts to a machine. It can lose the end of connections, as a sender that
// loses power does, since that sends nothing.
type link struct {
	listener net.Listener
	target   string

	mutex       sync.Mutex
	silent      map[string]bool
	connections map[net.Conn]struct{}
	closed      bool
}

func newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	x := &link{listener: l, target: target, silent: map[string]bool{}, connections: map[net.Conn]struct{}{}}
	go x.serve()
	return x, nil
}

// silence makes the present connections of a host end without a word to the machine. Later connections are passed on.
func (l *link) silence(host string, on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent[host] = on
}

func (l *link) isSilent(host string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.silent[host]
}

// track registers a connection for close, and reports whether the link is open.
func (l *link) track(c net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		c.Close()
		return false
	}
	l.connections[c] = struct{}{}
	return true
}

func (l *link) close() {
	l.listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for c := range l.connections {
		c.Close()
	}
}

func (l *link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(c)
	}
}

// pass passes on what a host sends. Hosts answer on connections of their own.
func (l *link) pass(from net.Conn) {
	if !l.track(from) {
		return
	}
	defer from.Close()
	var header [4]byte
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxName {
		return
	}
	name := make([]byte, length)
	if _, err := io.ReadFull(from, name); err != nil {
		return
	}
	to, err := net.Dial("tcp", l.target)
	if err != nil || !l.track(to) {
		return
	}
	if _, err := to.Write(append(header[:], name...)); err != nil {
		to.Close()
		return
	}
	_, _ = io.Copy(to, from)
	if !l.isSilent(string(name)) {
		to.Close()
	}
}

// SendLate sends a request to an address through a link that is cut just after the connection was established: the bytes
// arrive once it has healed, after hold, and the end of the connection a further time behind them. The caller has given
// up by then.
func SendLate(address, request string, hold, end time.Duration) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	time.Sleep(hold)
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	time.Sleep(end)
	return nil
}
