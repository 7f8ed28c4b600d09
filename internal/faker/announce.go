package faker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

const (
	// announceInterval is the time between a server's announcements.
	announceInterval = 500 * time.Millisecond
	// announceTimeout limits one announcement to one entry host.
	announceTimeout = 400 * time.Millisecond
)

var stateNames = map[leaser.ServerState]string{
	leaser.Serving:  "serving",
	leaser.Starting: "starting",
	leaser.Draining: "draining",
}

func (s *Server) announceLoop() {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		s.announce()
		select {
		case <-tick.C:
		case <-s.context.Done():
			return
		}
	}
}

// announce sends an announcement to the first entry host that accepts it.
func (s *Server) announce() {
	body, suppressed := s.announcement()
	if suppressed {
		return
	}
	for _, address := range s.parameters.Announce {
		if err := s.postAnnouncement(address, body); err == nil {
			return
		}
	}
	s.logger.Debug("no entry host accepted the announcement", "server", s.parameters.Server)
}

// announcement returns the next announcement, and whether it must not be sent
// because the server is silent or down.
func (s *Server) announcement() ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	load := s.reportedLoad()
	p := s.parameters
	// Marshalling these types cannot fail.
	body, _ := json.Marshal(struct {
		Server      identifier.ServerID    `json:"server"`
		Incarnation identifier.Incarnation `json:"incarnation"`
		Sequence    identifier.Sequence    `json:"sequence"`
		Service     identifier.ServiceID   `json:"service"`
		Domain      identifier.DomainID    `json:"failure-domain"`
		Address     identifier.Address     `json:"address"`
		Slots       identifier.Slots       `json:"slots"`
		Connections identifier.Connections `json:"connections"`
		State       string                 `json:"state"`
		Holdings    []leaser.Holding       `json:"holdings"`
		Load        int                    `json:"load"`
	}{
		p.Server, p.Incarnation, s.sequence, p.Service, p.Domain, s.address,
		p.Slots, p.Connections, stateNames[s.behaviour.State], s.holdings, load,
	})
	return body, s.behaviour.Silent || s.down
}

func (s *Server) postAnnouncement(address identifier.Address, body []byte) error {
	ctx, cancel := context.WithTimeout(s.context, announceTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/announcements", address)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("faker: entry host answered the announcement with status %d", response.StatusCode)
	}
	return nil
}

func (s *Server) countRejected() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tally.Rejected++
}

// limitListener closes connections above the server's limit and delays the first
// read of the others.
type limitListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.Tally().OpenConnections < int(l.server.parameters.Connections) {
			return &delayedConnection{Conn: c, setupDelay: l.server.parameters.ConnectionSetup}, nil
		}
		l.server.countRejected()
		c.Close()
	}
}

// delayedConnection delays its first read, to simulate the cost of a new connection.
type delayedConnection struct {
	net.Conn
	setupDelay time.Duration
}

// Read reads from the connection, after the setup delay on the first call.
func (c *delayedConnection) Read(b []byte) (int, error) {
	if c.setupDelay > 0 {
		time.Sleep(c.setupDelay)
		c.setupDelay = 0
	}
	return c.Conn.Read(b)
}
