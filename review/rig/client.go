//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// route is a route over many shards, or to one service, with what its clients expect.
type route struct {
	name string
	// single is set for a route to one service, and unsafe if its requests may run once only.
	single, unsafe   bool
	host, prefix     string
	services         []string
	topK, attempts   int
	minCoverage      float64
	deadline, target time.Duration
}

// traffic is the clients of a zone.
type traffic struct {
	fleet   *fleet
	record  *record
	zone    string
	route   route
	perS    float64
	clients []*client
	group   sync.WaitGroup
	next    atomic.Uint64
	// broken holds each success with wrong content.
	mutex                  sync.Mutex
	broken                 []string
	sent, served, unserved int
	rotation               map[*process]int
	// sending is called with the ID of each client attempt before it is sent, if it is set.
	sending func(id string)
	context context.Context
	cancel  context.CancelFunc
}

// client keeps its connections open between requests.
type client struct{ http http.Client }

func newTraffic(f *fleet, zone string, to route, perS float64, clients int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{fleet: f, record: f.record, zone: zone, route: to, perS: perS, context: ctx, cancel: cancel, rotation: map[*process]int{}}
	for range clients {
		t.clients = append(t.clients, &client{http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}})
	}
	return t
}

// start sends requests at the zone's rate until close.
func (t *traffic) start() {
	t.group.Go(t.balance)
	t.group.Go(func() {
		for n := 0; ; n++ {
			pause := time.Duration(rand.ExpFloat64() / t.perS * float64(time.Second))
			select {
			case <-t.context.Done():
				return
			case <-time.After(pause):
			}
			c := rand.IntN(len(t.clients))
			t.group.Go(func() { t.request(c) })
		}
	})
}

func (t *traffic) close() {
	t.cancel()
	t.group.Wait()
}

// balance asks each entry host of the zone once a second whether it is ready. Two misses take it out.
func (t *traffic) balance() {
	for {
		for _, p := range t.fleet.entries(t.zone) {
			ready := t.fleet.isReady(p)
			t.mutex.Lock()
			if ready {
				t.rotation[p] = 0
			} else {
				t.rotation[p]++
			}
			t.mutex.Unlock()
		}
		select {
		case <-t.context.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// node returns the entry host for a client's attempt. A retry reaches another one.
func (t *traffic) node(c, attempt int) *process {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	all := t.fleet.entries(t.zone)
	in := slices.DeleteFunc(slices.Clone(all), func(p *process) bool { return t.rotation[p] >= 2 })
	if 2*len(in) < len(all) {
		in = all
	}
	return in[(c+attempt)%len(in)]
}

// result is how a client attempt ended.
type result int

const (
	served result = iota
	// notRun attempts got a status that promises that they never run.
	notRun
	mayHaveRun
)

// request sends one request of a client, and once more after a failure. A request that may run once only is
// sent again only if it has not run.
func (t *traffic) request(c int) {
	end := time.Now().Add(t.route.deadline)
	number := t.next.Add(1)
	path := fmt.Sprintf("%s%s-%d", t.route.prefix, t.zone, number)
	t.mutex.Lock()
	t.sent++
	t.mutex.Unlock()
	for attempt := range 2 {
		wait, result := t.attempt(c, attempt, path, fmt.Sprintf("%s-%d-%d", t.zone, number, attempt), end)
		if result == served {
			t.mutex.Lock()
			t.served++
			t.mutex.Unlock()
			return
		}
		if result == mayHaveRun && t.route.unsafe {
			break
		}
		if left := time.Until(end); wait > left/3 {
			wait = left / 3
		}
		time.Sleep(wait)
	}
	t.mutex.Lock()
	t.unserved++
	t.mutex.Unlock()
}

// attempt sends one client attempt. It returns how long to wait before the next one, and how this one ended.
func (t *traffic) attempt(c, attempt int, path, id string, end time.Time) (time.Duration, result) {
	node := t.node(c, attempt)
	left := time.Until(end)
	if left <= 0 {
		return 0, mayHaveRun
	}
	ctx, cancel := context.WithTimeout(t.context, left)
	defer cancel()
	method, content := http.MethodGet, ""
	if t.route.unsafe {
		method, content = http.MethodPost, "entry of "+id
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.fleet.frontOf(node)+path, strings.NewReader(content))
	if err != nil {
		return 0, mayHaveRun
	}
	request.Host = t.route.host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	request.Header.Set("Accept-Encoding", "identity")
	if t.sending != nil {
		t.sending(id)
	}
	t.record.write("client sends %s to %s", id, node.name)
	response, err := t.clients[c].http.Do(request)
	if err != nil {
		t.record.write("client of %s: no answer: %v", id, err)
		return 0, mayHaveRun
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.record.write("client of %s: incomplete answer: %v", id, err)
		return 0, mayHaveRun
	}
	t.record.write("client of %s: status %d from %s", id, response.StatusCode, node.name)
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		ended := mayHaveRun
		if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
			ended = notRun
		}
		return time.Duration(seconds * float64(time.Second)), ended
	}
	wrong := t.route.check(id, path, response.Header, body)
	if wrong != "" {
		t.record.write("BROKEN: %s from %s: %s", id, node.name, wrong)
		t.mutex.Lock()
		t.broken = append(t.broken, id+": "+wrong)
		t.mutex.Unlock()
	}
	return 0, served
}
