//go:build review

package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callTimeout is how long servers and the operator wait for an answer before they call the next node.
const callTimeout = time.Second

// recordSize is the size of a record of a part.
const recordSize = 16

// Run is a request that a server has begun to run.
type Run struct {
	At      time.Time
	Server  string
	Service string
	Request string
	Path    string
}

// Server stands in for a backend server. It registers itself, answers with a signature that names its service and the
// request, and runs nothing that names another server.
type Server struct {
	ID, Service, Zone string
	// work is how long a request runs, and slots holds a value for each one that runs.
	work  func(r *http.Request) time.Duration
	slots chan struct{}

	controls func() []string
	interval time.Duration
	listener net.Listener
	server   *http.Server
	born     int64
	stop     chan struct{}
	stopped  sync.WaitGroup

	mutex sync.Mutex
	runs  []Run
}

// NewServer starts a server on a loopback address of its own. It announces itself from now on.
func (d *Deployment) NewServer(id, service, zone string, slots int, work func(r *http.Request) time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", d.NextIP()+":0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, Service: service, Zone: zone, work: work, slots: make(chan struct{}, slots), listener: l, controls: d.ControlAddresses,
		interval: time.Duration(d.parameters.HeartbeatMillis) * time.Millisecond,
		born:     time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.answer)}
	go func() { _ = s.server.Serve(l) }()
	s.stopped.Go(s.announce)
	d.servers = append(d.servers, s)
	return s, nil
}

// Close ends the server as a crash does.
func (s *Server) Close() {
	close(s.stop)
	s.server.Close()
	s.stopped.Wait()
}

// Runs returns the requests that the server has begun to run.
func (s *Server) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Run(nil), s.runs...)
}

// Signature returns the signature of a service's answer to a request.
func Signature(service, request string) string { return service + "." + request }

// Part returns the records of a service's part of the answer to a request.
func Part(service, request string) []byte {
	var part []byte
	for i := range 3 {
		record := fmt.Sprintf("%d%s%s................", i, service, request)
		part = append(part, record[:recordSize]...)
	}
	return part
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=5")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.mutex.Lock()
	s.runs = append(s.runs, Run{time.Now(), s.ID, s.Service, id, r.URL.Path})
	s.mutex.Unlock()
	select {
	case <-time.After(s.work(r)):
	case <-r.Context().Done():
		return
	}
	body := Part(s.Service, id)
	w.Header().Set("X-Server-Stamp", Signature(s.Service, id))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

// announce sends heartbeats, each to the address that the last answer named, or else to one node after the other.
func (s *Server) announce() {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	address := ""
	for seq := 1; ; seq++ {
		body := fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","warmupLeftMs":0,"seq":%d,"born":%d}`,
			s.Service, s.listener.Addr(), s.Zone, cap(s.slots), seq, s.born)
		controls := s.controls()
		for i := 0; i <= len(controls); i++ {
			target := address
			if target == "" {
				target = controls[(seq+i)%len(controls)]
			}
			var ok bool
			if address, ok = s.beat(&client, target, body); ok {
				break
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(s.interval):
		}
	}
}

func (s *Server) beat(client *http.Client, address, body string) (next string, ok bool) {
	request, err := http.NewRequest(http.MethodPut, "http://"+address+"/instances/"+s.ID, strings.NewReader(body))
	if err != nil {
		return "", false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	var answer struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	if response.StatusCode/100 != 2 || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return "", false
	}
	return answer.HeartbeatAddr, true
}

// Declare sends a configuration to one node after the other until it is acknowledged.
func (d *Deployment) Declare(configuration any, limit time.Duration) error {
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		controls := d.ControlAddresses()
		request, err := http.NewRequest(http.MethodPut, "http://"+controls[i%len(controls)]+"/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			if response.StatusCode/100 == 4 {
				return fmt.Errorf("rig: configuration refused: %s", response.Status)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("rig: configuration not acknowledged within %v", limit)
}
