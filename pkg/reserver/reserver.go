// Package reserver decides which connections and requests of clients may hold memory, and which are ended
// to make room.
//
// The load that it answers: clients that send very many header lines, or bodies that stop just short of
// their end, on many connections at once, until the process runs out of memory or descriptors.
//
// A connection is idle, or its request is unfinished (it has begun to arrive), runs or is being answered. What it
// holds counts for the process and for its client before it is taken. When a limit would be exceeded, the oldest
// unfinished request is ended, which has not run. Running requests are never ended. Answers that a client
// doesn't read are ended last.
//
// # Usage
//
//	ended := r.Open(id, client)
//	r.Begin(id)
//	ended = r.Reserve(id, reserver.HeadSize(size, lines))
//	if r.Run(id) {
//		run()
//	}
//	ended = r.Answer(id, size)
//	r.Finish(id)
//	r.Close(id)
package reserver

import (
	"cmp"
	"container/list"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// ConnectionSize is what a connection holds: a goroutine's stack and two buffers of 4 KB. An idle one was
	// measured at 7.5 KB.
	ConnectionSize identifier.Bytes = 16 << 10
	// headerLineSize is what a header line holds beyond its bytes: entries of the parsed header and of its
	// copy for the backend server. 160 bytes were measured with lines of four characters.
	headerLineSize identifier.Bytes = 256
	// headCopies counts the copies of a head: as parsed, and as sent to a backend server.
	headCopies = 2
	// bodyCopies counts the copies of a body while its buffer grows.
	bodyCopies = 2
)

// HeadSize returns what a head of a size and a number of lines holds.
func HeadSize(size identifier.Bytes, lines int) identifier.Bytes {
	return headCopies*size + identifier.Bytes(lines)*headerLineSize
}

// BodySize returns what a body of a size holds.
func BodySize(size identifier.Bytes) identifier.Bytes { return bodyCopies * size }

// ConnectionID identifies a connection.
type ConnectionID uint64

// Client identifies a client by its IP address.
type Client string

// Limits are the limits on all clients together, and on each.
type Limits struct {
	Memory, ClientMemory           identifier.Bytes
	Connections, ClientConnections int
}

// Ended is a connection that must be closed. Nothing that it held counts any more.
type Ended struct {
	Connection ConnectionID
	// Unfinished means that a request had begun to arrive, which has not run.
	Unfinished bool
}

// phase is what a connection does.
type phase int

const (
	idle phase = iota
	unfinished
	running
	answering
)

// connection is an open connection. elements holds its places in the queues of its accounts: the client's
// first, then the process's.
type connection struct {
	id       ConnectionID
	client   Client
	phase    phase
	held     identifier.Bytes
	accounts [2]*account
	elements [2]*list.Element
}

// account counts what is held, by one client or by all.
type account struct {
	memory, maxMemory           identifier.Bytes
	connections, maxConnections int
	// idle, unfinished and answering hold the connections in that phase, in the order in which they entered it.
	idle, unfinished, answering list.List
}

// fits reports whether the connections and a further size are within the limits.
func (a *account) fits(size identifier.Bytes) bool {
	return a.memory+size <= a.maxMemory && a.connections <= a.maxConnections
}

// victim returns the oldest connection of the first queue that begins with another connection than c, or nil.
func victim(c *connection, queues ...*list.List) *connection {
	for _, q := range queues {
		if front := q.Front(); front != nil && front.Value.(*connection) != c {
			return front.Value.(*connection)
		}
	}
	return nil
}

// Reserver counts what connections hold. It is not safe for concurrent use.
type Reserver struct {
	limits      Limits
	process     *account
	clients     map[Client]*account
	connections map[ConnectionID]*connection
}

// New returns a Reserver without connections.
func New(l Limits) *Reserver {
	return &Reserver{
		limits: l, process: &account{maxMemory: l.Memory, maxConnections: l.Connections},
		clients: map[Client]*account{}, connections: map[ConnectionID]*connection{},
	}
}

// Open adds an idle connection and returns those that must be closed, which may include the new one. The
// connections that have been idle longest are ended first, since a client loses least with them.
func (r *Reserver) Open(id ConnectionID, client Client) []Ended {
	own := r.clients[client]
	if own == nil {
		own = &account{maxMemory: r.limits.ClientMemory, maxConnections: r.limits.ClientConnections}
		r.clients[client] = own
	}
	c := &connection{id: id, client: client, accounts: [2]*account{own, r.process}}
	r.connections[id] = c
	for _, a := range c.accounts {
		a.connections++
	}
	c.enter(idle)
	var ended []Ended
	for _, a := range c.accounts {
		for r.connections[id] != nil && !a.fits(ConnectionSize) {
			ended = append(ended, r.end(cmp.Or(victim(c, &a.idle, &a.unfinished, &a.answering), c)))
		}
	}
	if r.connections[id] != nil {
		c.hold(ConnectionSize)
	}
	return ended
}

// Begin notes that a request has begun to arrive on a connection.
func (r *Reserver) Begin(id ConnectionID) {
	if c := r.connections[id]; c != nil && c.phase == idle {
		c.enter(unfinished)
	}
}

// Reserve adds to what an unfinished request holds and returns the connections that must be closed, which
// may include its own. Requests that began before it are ended first, then idle connections, then answers,
// then itself.
func (r *Reserver) Reserve(id ConnectionID, size identifier.Bytes) []Ended {
	c := r.connections[id]
	if c == nil {
		return nil
	}
	r.Begin(id)
	var ended []Ended
	for _, a := range c.accounts {
		for r.connections[id] != nil && !a.fits(size) {
			ended = append(ended, r.end(cmp.Or(victim(c, &a.unfinished, &a.idle, &a.answering), c)))
		}
	}
	if r.connections[id] != nil {
		c.hold(size)
	}
	return ended
}

// Answer adds a part of an answer to what a connection holds and returns the connections that must be closed.
// It never ends the connection itself, whose request has run.
func (r *Reserver) Answer(id ConnectionID, size identifier.Bytes) []Ended {
	c := r.connections[id]
	if c == nil {
		return nil
	}
	if c.phase != answering {
		c.enter(answering)
	}
	var ended []Ended
	for _, a := range c.accounts {
		for !a.fits(size) {
			other := victim(c, &a.unfinished, &a.idle, &a.answering)
			if other == nil {
				break
			}
			ended = append(ended, r.end(other))
		}
	}
	c.hold(size)
	return ended
}

// Refuse ends the request of a connection if it is unfinished, and reports whether it did.
func (r *Reserver) Refuse(id ConnectionID) (Ended, bool) {
	c := r.connections[id]
	if c == nil || c.phase != unfinished {
		return Ended{}, false
	}
	return r.end(c), true
}

// Run notes that the request of a connection has arrived in full. It returns false if the request was ended
// and must not run.
func (r *Reserver) Run(id ConnectionID) bool {
	c := r.connections[id]
	if c == nil {
		return false
	}
	c.enter(running)
	return true
}

// Finish releases what the request of a connection held. The connection is idle from now on.
func (r *Reserver) Finish(id ConnectionID) {
	if c := r.connections[id]; c != nil {
		c.hold(ConnectionSize - c.held)
		c.enter(idle)
	}
}

// Close removes a connection. It does nothing if the connection was ended.
func (r *Reserver) Close(id ConnectionID) {
	if c := r.connections[id]; c != nil {
		r.remove(c)
	}
}

// Held returns what all connections hold, and their number.
func (r *Reserver) Held() (identifier.Bytes, int) {
	return r.process.memory, r.process.connections
}

func (r *Reserver) end(c *connection) Ended {
	r.remove(c)
	return Ended{Connection: c.id, Unfinished: c.phase == unfinished}
}

func (r *Reserver) remove(c *connection) {
	c.leave()
	c.hold(-c.held)
	for _, a := range c.accounts {
		a.connections--
	}
	if r.clients[c.client].connections == 0 {
		delete(r.clients, c.client)
	}
	delete(r.connections, c.id)
}

// hold adds to what the connection holds.
func (c *connection) hold(size identifier.Bytes) {
	c.held += size
	for _, a := range c.accounts {
		a.memory += size
	}
}

// queue returns the queue of an account for connections in the phase, or nil.
func (a *account) queue(p phase) *list.List {
	switch p {
	case idle:
		return &a.idle
	case unfinished:
		return &a.unfinished
	case answering:
		return &a.answering
	}
	return nil
}

// enter moves the connection to the end of the queue of a phase.
func (c *connection) enter(p phase) {
	c.leave()
	c.phase = p
	for i, a := range c.accounts {
		if q := a.queue(p); q != nil {
			c.elements[i] = q.PushBack(c)
		}
	}
}

// leave removes the connection from the queues of its phase.
func (c *connection) leave() {
	for i, a := range c.accounts {
		if c.elements[i] != nil {
			a.queue(c.phase).Remove(c.elements[i])
			c.elements[i] = nil
		}
	}
}
