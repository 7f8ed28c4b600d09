//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	recordSize     = 16
	recordsPerPart = 60
	slotCount      = 3
	queueLength    = 18
	// A server of a shard pauses for pauseLength each pauseInterval.
	pauseLength   = 150 * time.Millisecond
	pauseInterval = 3600 * time.Millisecond
	// idleLimit is how long a server keeps an idle connection, which it states in Keep-Alive.
	idleLimit = 10 * time.Second
)

// server is a sound backend server of the users' platform.
type server struct {
	id, service, zone, address string
	born                       int64
	record                     *record
	slots                      chan struct{}
	waiting                    atomic.Int32
	// garbling is set while the server sends additional bytes after some answers.
	garbling atomic.Bool
	// work is the mean service time of a request, and slowdown a factor on it.
	work     time.Duration
	slowdown atomic.Int64
	// paused is held for writing while the server pauses.
	paused sync.RWMutex
	// ran is called when the server begins to run a request, if it is set.
	ran func(s *server, id string)
	// arrived is called with the ID of each request that the server accepts, if it is set. The mutex guards it.
	mutex    sync.Mutex
	arrived  func(s *server, id string)
	sequence atomic.Uint64
	// left is set once the server has said that it leaves, which ends its heartbeats.
	left   atomic.Bool
	state  atomic.Value
	target atomic.Value
	stop   chan struct{}
	http   *http.Server
	group  sync.WaitGroup
}

func newServer(r *record, id, service, zone, ip string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	s := serverAt(r, l, id, service, zone, work)
	s.serve(l)
	return s, nil
}

// serverAt returns a server for a listener; serve starts it.
func serverAt(r *record, l net.Listener, id, service, zone string, work time.Duration) *server {
	s := &server{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), record: r,
		slots: make(chan struct{}, slotCount), work: work, stop: make(chan struct{}),
	}
	s.slowdown.Store(1)
	s.state.Store("ready")
	s.http = &http.Server{Handler: s, IdleTimeout: idleLimit}
	return s
}

func (s *server) serve(l net.Listener) {
	s.group.Go(func() { _ = s.http.Serve(l) })
}

// announce sends heartbeats to the control hosts until close. It uses the address that the last answer
// names, and the next control host after a failure.
func (s *server) announce(controls []string) {
	s.group.Go(func() {
		target := rand.IntN(len(controls))
		s.target.Store(controls[target])
		for !s.left.Load() {
			control, state := s.target.Load().(string), s.state.Load().(string)
			status, ok := s.beat(control, state)
			s.record.write("heartbeat of %s, %s, to %s: status %d", s.id, state, control, status)
			if !ok {
				target = (target + 1) % len(controls)
				s.target.Store(controls[target])
			}
			select {
			case <-s.stop:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	})
}

var heartbeatClient = http.Client{Timeout: time.Second}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat(state string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slotCount,
		"state": state, "warmupLeftMs": 0, "seq": s.sequence.Add(1), "born": s.born,
	})
}

// beat sends one heartbeat and reports its status and whether it was acknowledged.
func (s *server) beat(control, state string) (int, bool) {
	body, err := s.heartbeat(state)
	if err != nil {
		return 0, false
	}
	status, answer := call(http.MethodPut, control, s.id, body)
	var named struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	if json.Unmarshal(answer, &named) == nil && named.HeartbeatAddr != "" {
		s.target.Store(named.HeartbeatAddr)
	}
	return status, status >= 200 && status < 300
}

// call sends a request about a server to a control host.
func call(method, control, id string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+control+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := heartbeatClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 4096))
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

func (s *server) close() {
	close(s.stop)
	s.http.Close()
	s.group.Wait()
}

// ServeHTTP runs a request in a slot, or rejects it when the queue is full.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	s.mutex.Lock()
	arrived := s.arrived
	s.mutex.Unlock()
	if arrived != nil {
		arrived(s, id)
	}
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleLimit.Seconds())))
	if s.waiting.Add(1) > slotCount+queueLength {
		s.waiting.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.waitPause()
	s.record.write("server %s runs %s", s.id, id)
	s.mutex.Lock()
	ran := s.ran
	s.mutex.Unlock()
	if ran != nil {
		ran(s, id)
	}
	duration := time.Duration(float64(s.work) * float64(s.slowdown.Load()) * (0.65 + 0.7*rand.Float64()))
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		s.record.write("server %s drops %s", s.id, id)
		return
	}
	s.waitPause()
	w.Header().Set("X-Server-Stamp", stamp(id, s.service, s.id))
	_, _ = w.Write(partBody(s.service, r.URL.Path))
}

// pause stops the work of the server for a moment now and then, until close.
func (s *server) pause() {
	s.group.Go(func() {
		for wait := time.Duration(rand.Int64N(int64(pauseInterval))); ; wait = pauseInterval - pauseLength {
			select {
			case <-s.stop:
				return
			case <-time.After(wait):
			}
			s.paused.Lock()
			time.Sleep(pauseLength)
			s.paused.Unlock()
		}
	})
}

// waitPause returns once the server does not pause.
func (s *server) waitPause() {
	s.paused.RLock()
	defer s.paused.RUnlock()
}

// stamp returns a server's signature for a request.
func stamp(request, service, server string) string {
	sum := sha256.Sum256([]byte(request + "|" + service + "|" + server))
	return hex.EncodeToString(sum[:8]) + "." + service + "." + server
}

// partBody returns the records of a shard for a path, in no particular order.
func partBody(service, path string) []byte {
	var body []byte
	for i := range recordsPerPart {
		sum := sha256.Sum256([]byte(service + "|" + path + "|" + strconv.Itoa(i)))
		body = append(body, sum[:recordSize]...)
	}
	return body
}

// check returns what is wrong with a success, or "".
func (t *route) check(id, path string, header http.Header, body []byte) string {
	if t.single {
		text := header.Get("X-Server-Stamp")
		fields := strings.Split(text, ".")
		if len(fields) != 3 || text != stamp(id, fields[1], fields[2]) || fields[1] != t.services[0] {
			return "signature " + text + " is not one for this request"
		}
		if !bytes.Equal(body, partBody(t.services[0], path)) {
			return "the body isn't that of the server"
		}
		return ""
	}
	return checkGathered(id, path, t.services, t.topK, t.minCoverage, header, body)
}

// checkGathered returns what is wrong with a success to a gathered request, or "".
func checkGathered(id, path string, services []string, topK int, minCoverage float64, header http.Header, body []byte) string {
	var records [][]byte
	seen := map[string]bool{}
	count := 0
	for _, line := range header["X-Part-Stamps"] {
		for text := range strings.SplitSeq(line, ",") {
			text = strings.TrimSpace(text)
			fields := strings.Split(text, ".")
			if len(fields) != 3 || text != stamp(id, fields[1], fields[2]) {
				return "signature " + text + " is not one for this request"
			}
			if seen[fields[1]] || !slices.Contains(services, fields[1]) {
				return "two signatures of " + fields[1] + ", or none of the route's services"
			}
			seen[fields[1]] = true
			count++
			part := partBody(fields[1], path)
			for ; len(part) >= recordSize; part = part[recordSize:] {
				records = append(records, part[:recordSize])
			}
		}
	}
	missing := 0
	if text := header.Get("X-Missing-Parts"); text != "" {
		missing, _ = strconv.Atoi(text)
	}
	if count+missing != len(services) || float64(count) < minCoverage*float64(len(services))-1e-9 {
		return fmt.Sprintf("%d parts and %d missing of %d", count, missing, len(services))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:min(topK, len(records))], nil); !bytes.Equal(want, body) {
		return "the body isn't the greatest records of the parts named"
	}
	return ""
}
