// Package stopper stops an HTTP server without cutting off requests that have begun to arrive.
//
// http.Server.Shutdown closes idle connections from outside, while the goroutine that reads from one may have
// read the next request already, and drops requests whose heads are read after it began. A Server never closes a
// connection from outside before its timeout. It makes reads on connections on which nothing of a request has
// arrived return io.EOF, so that net/http closes them itself, and waits until all connections are closed.
//
// # Usage
//
//	s := stopper.New(&http.Server{Handler: handler})
//	go s.Serve(listener)
//	err := s.Shutdown(ctx)
//	s.Close()
package stopper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// refusalLead is how long before the end of a shutdown unread requests are refused, so that their clients get the
// refusals before the process ends.
const refusalLead = 2 * lingerTimeout

// Server is an HTTP server. Serve may be called once.
type Server struct {
	http *http.Server
	// Limit wraps the listener, or is nil. RefuseUnread refuses the requests that have not arrived in full, or is
	// nil. Both must be set before Serve.
	Limit        func(*http.Server, net.Listener) net.Listener
	RefuseUnread func()

	// stopping is set once no further connections are accepted, and killed when all connections are closed at once.
	stopping, killed atomic.Bool
	// served is closed when Serve returns.
	served chan struct{}

	// mutex guards the fields below.
	mutex       sync.Mutex
	listener    net.Listener
	closed      bool
	connections map[*connection]struct{}
	// allClosed is closed once the last connection is, while the server stops.
	allClosed chan struct{}
}

// New returns a Server that serves as the given one would.
func New(s *http.Server) *Server {
	return &Server{http: s, served: make(chan struct{}), connections: map[*connection]struct{}{}}
}

// Serve serves the connections of a listener. It returns http.ErrServerClosed after Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.served)
	s.mutex.Lock()
	s.listener = l
	closed := s.closed
	s.mutex.Unlock()
	if closed {
		l.Close()
		return http.ErrServerClosed
	}
	s.http.Handler = s.closeAfterAnswers(s.http.Handler)
	var outer net.Listener = &listener{l, s}
	if s.Limit != nil {
		outer = s.Limit(s.http, outer)
	}
	inner := s.http.ConnState
	s.http.ConnState = func(c net.Conn, state http.ConnState) {
		if inner != nil {
			inner(c, state)
		}
		if own := ownConnection(c); own != nil && state == http.StateIdle {
			own.becomeIdle()
		}
	}
	err := s.http.Serve(outer)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown closes the listener, lets idle connections end and waits until each request that has begun to arrive is
// answered and its connection is closed. Shortly before the context's deadline it refuses the requests that have not
// arrived in full. It returns an error if the context ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.closeListener(); err != nil {
		return err
	}
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	s.mutex.Lock()
	s.allClosed = make(chan struct{})
	allClosed := s.allClosed
	if len(s.connections) == 0 {
		close(allClosed)
		s.allClosed = nil
	}
	open := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		open = append(open, c)
	}
	s.mutex.Unlock()
	for _, c := range open {
		c.wake()
	}
	var refuse <-chan time.Time
	if deadline, ok := ctx.Deadline(); ok && s.RefuseUnread != nil {
		remaining := time.Until(deadline)
		timer := time.NewTimer(remaining - min(refusalLead, remaining/2))
		defer timer.Stop()
		refuse = timer.C
	}
	for {
		select {
		case <-allClosed:
			return nil
		case <-refuse:
			s.RefuseUnread()
		case <-ctx.Done():
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return fmt.Errorf("stopper: %d connections are open: %w", len(s.connections), ctx.Err())
		}
	}
}

// closeListener closes the listener once.
func (s *Server) closeListener() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	if s.listener == nil {
		return nil
	}
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("stopper: close the listener: %w", err)
	}
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.killed.Store(true)
	err := errors.Join(s.http.Close(), s.closeListener())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// Those that net/http has closed, and that wait for their clients.
	for c := range s.connections {
		c.Conn.Close()
	}
	return err
}

func (s *Server) remove(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
	if len(s.connections) == 0 && s.allClosed != nil {
		close(s.allClosed)
		s.allClosed = nil
	}
}

// listener is a listener whose connections a Server can end.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: socket, server: l.server, accepted: time.Now(), idle: true}
	l.server.mutex.Lock()
	defer l.server.mutex.Unlock()
	l.server.connections[c] = struct{}{}
	return c, nil
}

// MaxBytesReader limits a request's body as http.MaxBytesReader does. It passes on net/http's own writer, which then
// keeps a connection with an unread body open for a moment: a close with unread bytes is a reset, which can destroy the
// answer.
func MaxBytesReader(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return http.MaxBytesReader(w, body, limit)
		}
		w = wrapper.Unwrap()
	}
}

// closeAfterAnswers returns a handler whose answers end their connection once the server stops.
func (s *Server) closeAfterAnswers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		own := &writer{ResponseWriter: w, server: s}
		h.ServeHTTP(own, r)
		if !own.begun && s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
	})
}

// writer is a writer of an answer that ends its connection if the server stops.
type writer struct {
	http.ResponseWriter
	server *Server
	begun  bool
}

// Unwrap returns the writer of net/http.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head of an answer.
func (w *writer) WriteHeader(status int) {
	if !w.begun && status >= http.StatusOK {
		w.begun = true
		if w.server.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of an answer's body.
func (w *writer) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
