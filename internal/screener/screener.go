// Package screener limits what clients' requests hold on the listener of an HTTP server. It counts heads,
// bodies and connections before they are read further, and ends those that package reserver names.
//
// It refuses with 408, 431 or 503 and closes the connection, always before the request runs.
//
// # Usage
//
//	limited := screener.New(limits, declared).Limit(server, listener)
//	err := server.Serve(limited)
package screener

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reserver"
)

// ipv6ClientBits is the length of the prefix that stands for one client: networks assign at least that much
// to each.
const ipv6ClientBits = 64

// Screener limits the connections of one listener.
type Screener struct {
	// declared returns the declaration's limits, or zero values without a declaration.
	declared func() declarer.Limits

	// mutex guards the fields below.
	mutex       sync.Mutex
	reserver    *reserver.Reserver
	connections map[reserver.ConnectionID]*connection
	last        reserver.ConnectionID
	ended       uint64
}

// Load is what the connections of a Screener hold, and how many were ended to make room since its start.
type Load struct {
	Memory      identifier.Bytes
	Connections int
	Ended       uint64
}

// New returns a Screener without connections.
func New(l reserver.Limits, declared func() declarer.Limits) *Screener {
	return &Screener{
		declared: declared, reserver: reserver.New(l),
		connections: map[reserver.ConnectionID]*connection{},
	}
}

// Load returns the present load.
func (s *Screener) Load() Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	memory, connections := s.reserver.Held()
	return Load{Memory: memory, Connections: connections, Ended: s.ended}
}

// Limit limits the requests of a server, which must not have begun to serve, and returns the listener that
// it must serve.
func (s *Screener) Limit(server *http.Server, l net.Listener) net.Listener {
	server.Handler, server.ConnState = screen(server.Handler), s.release
	inner := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, contextKey{}, c)
	}
	return &screened{l, s}
}

// RefuseUnread refuses the requests that have begun to arrive and have not arrived in full.
func (s *Screener) RefuseUnread() {
	s.mutex.Lock()
	var refused []ending
	for id, c := range s.connections {
		// A handler that has not read the body may be writing an answer.
		if !c.refusable.Load() {
			continue
		}
		if e, ok := s.reserver.Refuse(id); ok {
			for _, taken := range s.take([]reserver.Ended{e}) {
				// A handler may have begun since, but can't run the request.
				taken.refused = true
				refused = append(refused, taken)
			}
		}
	}
	s.mutex.Unlock()
	end(refused)
}

// screened is a listener whose connections are limited.
type screened struct {
	net.Listener
	screener *Screener
}

// Accept returns the next connection that is admitted.
func (l *screened) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.screener.open(socket); !c.ended.Load() {
			return c, nil
		}
	}
}

// contextKey is the key of a connection in its context.
type contextKey struct{}

// release releases what a request held once it is answered.
func (s *Screener) release(c net.Conn, state http.ConnState) {
	if own, ok := c.(*connection); ok && state == http.StateIdle {
		own.awaitHead()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.reserver.Finish(own.id)
	}
}

// screen returns a handler that passes requests on unless they were ended.
func screen(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(contextKey{}).(*connection)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		// A handler may answer before it has read the body.
		if hasBody {
			c.refusable.Store(false)
		}
		c.endHead(r)
		if c.ended.Load() || !hasBody && !c.run() {
			// The goroutine that chose this connection may not have written the refusal yet.
			c.end(c.refusable.Load())
			panic(http.ErrAbortHandler)
		}
		if hasBody {
			r.Body = &body{ReadCloser: r.Body, connection: c}
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Screener) open(socket net.Conn) *connection {
	c := &connection{Conn: socket, screener: s}
	c.awaitHead()
	s.mutex.Lock()
	s.last++
	c.id = s.last
	s.connections[c.id] = c
	ended := s.take(s.reserver.Open(c.id, clientOf(socket)))
	s.mutex.Unlock()
	end(ended)
	return c
}

// ending is a connection that must be closed.
type ending struct {
	connection *connection
	// refused is set if the connection's request has not run, and can't run any more.
	refused bool
}

// take removes connections that must be closed. The caller holds the mutex and calls end after it has
// released it.
func (s *Screener) take(ended []reserver.Ended) []ending {
	endings := make([]ending, 0, len(ended))
	for _, e := range ended {
		c := s.connections[e.Connection]
		endings = append(endings, ending{c, e.Unfinished && c.refusable.Load()})
		delete(s.connections, e.Connection)
		s.ended++
	}
	return endings
}

func end(endings []ending) {
	for _, e := range endings {
		e.connection.end(e.refused)
	}
}

// clientOf returns the client at the other end of a connection.
func clientOf(c net.Conn) reserver.Client {
	address, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return reserver.Client(fmt.Sprint(c.RemoteAddr()))
	}
	ip := address.Addr().Unmap().WithZone("")
	if ip.Is4() {
		return reserver.Client(ip.String())
	}
	// Prefix can't fail: the address has more bits than the prefix.
	prefix, _ := ip.Prefix(ipv6ClientBits)
	return reserver.Client(prefix.String())
}
