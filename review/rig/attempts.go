//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	shardCount = 10
	partWork   = 15 * time.Millisecond
	// maxAttempts is the attempts of the route, and allowedRequests how many requests may exceed it.
	maxAttempts     = 1
	allowedRequests = 3
	// killCount is how often the entry host of a zone is killed, one killInterval apart, and downTime how
	// long the platform takes to start it again.
	killCount    = 6
	killInterval = 4 * time.Second
	downTime     = time.Second
)

// runs counts the servers that ran each part of each client attempt.
type runs struct {
	mutex   sync.Mutex
	servers map[string]map[string]bool
}

func (r *runs) add(s *server, id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := id + " at " + s.service
	if r.servers[key] == nil {
		r.servers[key] = map[string]bool{}
	}
	r.servers[key][s.id] = true
}

// tooManyAttempts kills the only entry host of a zone while the hosts of another zone gather parts through
// it. A client attempt may run on no more servers of a shard than its route's attempts.
func tooManyAttempts(f *fleet, trouble bool) ([]string, error) {
	zones := []string{"savo-a", "savo-b", "savo-c"}
	if err := f.start(zones, []int{2, 3, 1}); err != nil {
		return nil, err
	}
	to := route{
		name: "r-defects", target: 120 * time.Millisecond, host: "search.example", prefix: "/defects/", topK: 50, attempts: maxAttempts, minCoverage: 0.89, deadline: 1200 * time.Millisecond,
	}
	counted := &runs{servers: map[string]map[string]bool{}}
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.close()
		}
	}()
	for i := range shardCount {
		service := fmt.Sprintf("shard-%d", i)
		to.services = append(to.services, service)
		zone := "savo-b"
		if i >= 6 {
			zone = "savo-c"
		}
		for n := range 3 {
			s, err := newServer(f.record, fmt.Sprintf("i-%d-%d", i, n), service, zone, f.prefix+fmt.Sprint(100+3*i+n), partWork)
			if err != nil {
				return nil, err
			}
			s.ran = counted.add
			servers = append(servers, s)
			s.announce(f.controls())
			s.pause()
		}
	}
	if status, err := f.put(routesConfig(1, to)); err != nil || status != 200 {
		return nil, fmt.Errorf("%w: configuration: status %d, %v", errNotRun, status, err)
	}
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(trafficDelay)
	var all []*traffic
	for i, perS := range []float64{82.7, 65.1, 77.3} {
		t := newTraffic(f, zones[i], to, perS, []int{49, 38, 46}[i])
		all = append(all, t)
		t.start()
	}
	time.Sleep(killInterval)
	for range killCount {
		if trouble {
			if err := f.restart(downTime, f.entries("savo-c")[0]); err != nil {
				return nil, err
			}
		}
		time.Sleep(killInterval)
	}
	for _, t := range all {
		t.close()
	}
	for _, t := range all {
		f.record.write("zone %s: %d requests, %d served, %d unserved", t.zone, t.sent, t.served, t.unserved)
		if t.served == 0 {
			return nil, fmt.Errorf("%w: no request was served", errNotRun)
		}
	}
	surplus := map[string]bool{}
	counted.mutex.Lock()
	defer counted.mutex.Unlock()
	for key, set := range counted.servers {
		if len(set) > maxAttempts {
			f.record.write("BROKEN: %s ran on %d servers", key, len(set))
			id, _, _ := strings.Cut(key, " ")
			surplus[id] = true
		}
	}
	if len(surplus) <= allowedRequests {
		return nil, nil
	}
	var broken []string
	for id := range surplus {
		broken = append(broken, id+" ran on more servers of a shard than its attempts")
	}
	return broken, nil
}
