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
	// announceInterval separates a server's announcements.
	announceInterval = 500 * time.Millisecond
	// announceTimeout bounds one announcement to one entry host.
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

// announce tells the first entry host that answers.
func (s *Server) announce() {
	body, muted := s.announcement()
	if muted {
		return
	}
	for _, address := range s.parameters.Announce {
		if err := s.tell(address, body); err == nil {
			return
		}
	}
	s.logger.Debug("no entry host took the announcement", "server", s.parameters.Server)
}

func (s *Server) announcement() ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	load := s.reportedLoad()
	p := s.parameters
	// Marshalling plain values does not fail.
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
		p.Slots, p.Connections, stateNames[s.conduct.State], s.holdings, load,
	})
	return body, s.conduct.Mute || s.down
}

func (s *Server) tell(address identifier.Address, body []byte) error {
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
		return fmt.Errorf("faker: announcement answered with status %d", response.StatusCode)
	}
	return nil
}

func (s *Server) reject() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tally.Rejected++
}

// slowListener makes connections over the cap fail and new ones cost time.
type slowListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the cap.
func (l *slowListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.Tally().Open < int(l.server.parameters.Connections) {
			return &slowConnection{Conn: c, setup: l.server.parameters.ConnectionSetup}, nil
		}
		l.server.reject()
		c.Close()
	}
}

// slowConnection delays its first read by the cost of a new connection.
type slowConnection struct {
	net.Conn
	setup time.Duration
}

// Read waits for the set-up once, then reads.
func (c *slowConnection) Read(b []byte) (int, error) {
	if c.setup > 0 {
		time.Sleep(c.setup)
		c.setup = 0
	}
	return c.Conn.Read(b)
}
