//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// extraShare is the share of the answers after which a server sends additional bytes.
	extraShare = 0.04
	// garbleTime is how long the disruption lasts, and garblePause the pause until it comes again.
	garbleTime  = 5 * time.Second
	garblePause = 2 * time.Second
	garbleCount = 4
	// extraBytes are these bytes. They name no request.
	extraBytes = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	postRate   = 60.0
)

// runCounts counts the runs of each request.
type runCounts struct {
	mutex sync.Mutex
	runs  map[string][]string
}

// lateBytes lets servers send additional bytes after some complete answers, late. A request that must not be
// repeated may still run once only.
func lateBytes(f *fleet, trouble bool) ([]string, error) {
	counted := &runCounts{runs: map[string][]string{}}
	if _, err := postEntries(f, func(s *server, c net.Conn) { s.converseRaw(c, counted) }, func(s *server) {
		s.garbling.Store(trouble)
		time.Sleep(garbleTime)
		s.garbling.Store(false)
		time.Sleep(garblePause)
	}); err != nil {
		return nil, err
	}
	var broken []string
	counted.mutex.Lock()
	defer counted.mutex.Unlock()
	for id, ran := range counted.runs {
		if len(ran) > 1 {
			f.record.write("BROKEN: %s ran at %v", id, ran)
			broken = append(broken, fmt.Sprintf("%s ran at %v", id, ran))
		}
	}
	return broken, nil
}

// postEntries starts a route whose requests may run once only, to one service with a server in each zone, and
// the clients of all zones. It calls disturb with the first server garbleCount times, and returns what clients
// found wrong in successes. A server calls converse for each connection.
func postEntries(f *fleet, converse func(*server, net.Conn), disturb func(*server)) ([]string, error) {
	zones := []string{"savo-a", "savo-b", "savo-c"}
	if err := f.start(zones, []int{2, 3, 1}); err != nil {
		return nil, err
	}
	to := route{
		name: "r-entries", host: "entries.example", prefix: "/entries/", single: true, unsafe: true, services: []string{"logbook"},
		attempts: 2, deadline: 5 * time.Second, target: time.Second,
	}
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.close()
		}
	}()
	for i, zone := range zones {
		l, err := net.Listen("tcp", f.prefix+strconv.Itoa(100+i)+":0")
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNotRun, err)
		}
		s := serverAt(f.record, l, fmt.Sprintf("i-%d", i), to.services[0], zone, archiveWork/4)
		servers = append(servers, s)
		s.acceptRaw(l, converse)
		s.announce(f.controls())
	}
	if status, err := f.put(routesConfig(1, to)); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("%w: configuration: status %d, %v", errNotRun, status, err)
	}
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(trafficDelay)
	var all []*traffic
	for _, zone := range zones {
		t := newTraffic(f, zone, to, postRate, 20)
		all = append(all, t)
		t.start()
	}
	for range garbleCount {
		disturb(servers[0])
	}
	var wrong []string
	for _, t := range all {
		t.close()
		f.record.write("zone %s: %d requests, %d served, %d unserved", t.zone, t.sent, t.served, t.unserved)
		if t.served == 0 {
			return nil, fmt.Errorf("%w: no request was served", errNotRun)
		}
		wrong = append(wrong, t.broken...)
	}
	return wrong, nil
}

// acceptRaw accepts connections until close, and calls converse for each.
func (s *server) acceptRaw(l net.Listener, converse func(*server, net.Conn)) {
	s.group.Go(func() {
		<-s.stop
		l.Close()
	})
	s.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.group.Go(func() {
				ended := make(chan struct{})
				defer close(ended)
				go func() {
					select {
					case <-s.stop:
					case <-ended:
					}
					c.Close()
				}()
				converse(s, c)
			})
		}
	})
}

// converseRaw serves one request after the other on a connection. After some answers it sends additional
// bytes, at the point where the next response is expected.
func (s *server) converseRaw(c net.Conn, counted *runCounts) {
	r := bufio.NewReader(c)
	for extra := false; ; extra = s.garbling.Load() && rand.Float64() < extraShare {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		head := "X-Request-Id: " + id + "\r\nKeep-Alive: timeout=" + strconv.Itoa(int(idleLimit.Seconds())) + "\r\n"
		if request.Header.Get("X-Expect-Instance") != s.id {
			if _, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"+head+"\r\n"); err != nil {
				return
			}
			continue
		}
		if extra && s.garbling.Load() {
			s.record.write("server %s sends additional bytes before its answer to %s", s.id, id)
			if _, err := io.WriteString(c, extraBytes); err != nil {
				return
			}
		}
		s.slots <- struct{}{}
		s.record.write("server %s runs %s", s.id, id)
		counted.mutex.Lock()
		counted.runs[id] = append(counted.runs[id], s.id)
		counted.mutex.Unlock()
		time.Sleep(s.work)
		<-s.slots
		body := partBody(s.service, request.URL.Path)
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\nX-Server-Stamp: "+
			stamp(id, s.service, s.id)+"\r\n"+head+"\r\n"+string(body)); err != nil {
			return
		}
	}
}
