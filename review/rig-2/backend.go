//go:build review

package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a server began to run.
type arrival struct {
	server, zone, id, path string
	at                     time.Time
}

// backends are the stand-ins of the servers. They share what they have run.
type backends struct {
	record   *recorder
	controls []string
	servers  []*backend
	stop     chan struct{}
	group    sync.WaitGroup
	work     time.Duration
	// onRun, if set, is called on a goroutine of its own when a server begins to run a request.
	onRun func(b *backend, r *http.Request)

	mutex    sync.Mutex
	arrivals []arrival
}

// backend is the stand-in of one server.
type backend struct {
	parent                 *backends
	service, zone, address string
	slots                  int
	starts                 int
	// sheds is set while the server sheds a part of its requests.
	sheds atomic.Bool
	// silent is set while the server announces nothing.
	silent atomic.Bool

	mutex    sync.Mutex
	id       string
	born     int64
	program  *http.Server
	listener net.Listener
	ended    chan struct{}
	running  atomic.Int64
	slot     chan struct{}
}

var serverNumber atomic.Int64

func newBackends(r *recorder, controls []string, work time.Duration) *backends {
	return &backends{record: r, controls: controls, stop: make(chan struct{}), work: work}
}

// add starts a server.
func (s *backends) add(service, zone, ip string, slots int) error {
	b := &backend{parent: s, service: service, zone: zone, address: fmt.Sprintf("%s:%d", ip, serverPort), slots: slots}
	s.servers = append(s.servers, b)
	return b.start("")
}

// start starts the server as a new incarnation, under a new ID unless it is given one.
func (b *backend) start(id string) error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.starts++
	if b.id = id; id == "" {
		b.id = fmt.Sprintf("i-%s-%s-%d", b.service, strings.TrimPrefix(b.zone, "zone-"), serverNumber.Add(1))
	}
	b.born = time.Now().UnixMilli()
	b.slot = make(chan struct{}, b.slots)
	b.program, b.listener = &http.Server{Handler: b, IdleTimeout: 5 * time.Second}, l
	b.ended = make(chan struct{})
	program, ended := b.program, b.ended
	id = b.id
	go func() { _ = program.Serve(l) }()
	b.parent.group.Go(func() { b.beat(id, ended) })
	return nil
}

func (b *backend) currentID() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.id
}

// beat announces the server until it ends.
func (b *backend) beat(id string, ended chan struct{}) {
	address := ""
	next := int(serverNumber.Load()) % len(b.parent.controls)
	for seq := 1; ; seq++ {
		for range 2 * len(b.parent.controls) {
			if b.silent.Load() {
				break
			}
			target := address
			if target == "" {
				target = b.parent.controls[next%len(b.parent.controls)]
			}
			given, ok := b.announce(target, id, seq)
			if ok {
				address = given
				break
			}
			address = ""
			next++
		}
		select {
		case <-b.parent.stop:
			return
		case <-ended:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

func (b *backend) announce(target, id string, seq int) (string, bool) {
	b.mutex.Lock()
	born := b.born
	b.mutex.Unlock()
	body := fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","warmupLeftMs":0,"seq":%d,"born":%d}`,
		b.service, b.address, b.zone, b.slots, seq, born)
	status, _, content, err := call(time.Second, "PUT", "http://"+target+"/instances/"+id, body, map[string]string{"Content-Type": "application/json"})
	if err != nil || status != http.StatusOK {
		return "", false
	}
	var answer struct {
		HeartbeatAddr string `json:"heartbeatAddr"`
	}
	_ = json.Unmarshal(content, &answer)
	return answer.HeartbeatAddr, true
}

// ServeHTTP runs a request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mutex.Lock()
	id, slot, ended := b.id, b.slot, b.ended
	b.mutex.Unlock()
	select {
	case <-ended:
		<-r.Context().Done()
		return
	default:
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	w.Header().Set("Keep-Alive", "timeout=5")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-r.Context().Done():
		return
	case <-time.After(300 * time.Millisecond):
		w.Header().Set("X-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s := b.parent
	s.mutex.Lock()
	s.arrivals = append(s.arrivals, arrival{id, b.zone, request, r.URL.Path, time.Now()})
	s.mutex.Unlock()
	if s.onRun != nil {
		s.onRun(b, r)
	}
	select {
	case <-ended:
		// A server that has crashed answers nothing.
		<-r.Context().Done()
		return
	default:
	}
	if !sleep(r.Context(), s.work) {
		return
	}
	select {
	case <-ended:
		<-r.Context().Done()
		return
	default:
	}
	sum := sha256.Sum256([]byte(b.service + r.URL.Path))
	w.Header().Set("X-Server-Stamp", id+"."+request)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(slot), b.slots))
	_, _ = w.Write(sum[:])
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// close ends all servers.
func (s *backends) close() {
	close(s.stop)
	for _, b := range s.servers {
		b.mutex.Lock()
		_ = b.program.Close()
		b.mutex.Unlock()
	}
}

// goDark makes the server silent: it answers nothing on its connections, accepts none and announces nothing, until it
// starts again.
func (b *backend) goDark(down time.Duration) bool {
	b.mutex.Lock()
	select {
	case <-b.ended:
		b.mutex.Unlock()
		return false
	default:
	}
	close(b.ended)
	id, program, listener := b.id, b.program, b.listener
	_ = listener.Close()
	b.mutex.Unlock()
	b.parent.record.printf("server %s goes dark", id)
	b.parent.group.Go(func() {
		select {
		case <-b.parent.stop:
			return
		case <-time.After(down):
		}
		_ = program.Close()
		if err := b.start(""); err == nil {
			b.parent.record.printf("server at %s is back as %s", b.address, b.currentID())
		}
	})
	return true
}
