//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	rosterService = "roster"
	// settleTime is how long nothing is disturbed before requests count, and calmTime how long they count.
	settleTime = 6 * time.Second
	calmTime   = 15 * time.Second
	// leastRequests and leastShare are the figures of the rule.
	leastRequests = 20
	leastShare    = 0.25
)

// addressTaken lets another writer send one heartbeat for each server of a route that was added later. They
// name a service that no configuration names, at the address of the server. The route must be served a
// quarter as often as the first one at least.
func addressTaken(f *fleet, trouble bool) ([]string, error) {
	servers, first, err := archive(f)
	all := first
	defer func() {
		for _, t := range all {
			t.close()
		}
		for _, s := range servers {
			s.close()
		}
	}()
	if err != nil {
		return nil, err
	}
	later := route{
		name: "r-roster", host: "roster.example", prefix: "/roster/", single: true, services: []string{rosterService},
		attempts: 2, deadline: 5 * time.Second, target: time.Second,
	}
	var added []*server
	for i := range 3 {
		s, err := newServer(f.record, fmt.Sprintf("r-%d", i), rosterService, servers[i].zone, f.prefix+fmt.Sprint(120+i), archiveWork)
		if err != nil {
			return nil, err
		}
		servers, added = append(servers, s), append(added, s)
		s.announce(f.controls())
	}
	if status, err := f.put(routesConfig(2, first[0].route, later)); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("%w: configuration: status %d, %v", errNotRun, status, err)
	}
	time.Sleep(2 * heartbeatInterval)
	if trouble {
		for i, s := range added {
			status := watcherHeartbeat(s, i, f.controls()[i])
			f.record.write("another writer's heartbeat at the address of %s: status %d", s.id, status)
		}
	}
	time.Sleep(settleTime)
	var counted []*traffic
	for _, to := range []route{first[0].route, later} {
		t := newTraffic(f, "savo-b", to, archiveRate, 20)
		counted, all = append(counted, t), append(all, t)
		t.start()
	}
	time.Sleep(calmTime)
	shares := make([]float64, len(counted))
	for i, t := range counted {
		t.mutex.Lock()
		f.record.write("route %s: %d requests, %d served", t.route.name, t.sent, t.served)
		shares[i] = float64(t.served) / float64(max(1, t.sent))
		if t.sent < leastRequests {
			err = fmt.Errorf("%w: too few requests", errNotRun)
		}
		t.mutex.Unlock()
	}
	if err != nil || shares[0] == 0 {
		return nil, fmt.Errorf("%w: the first route isn't served, or %w", errNotRun, err)
	}
	if shares[1] < leastShare*shares[0] {
		return []string{fmt.Sprintf("the later route is served %.3f as often as the first one", shares[1]/shares[0])}, nil
	}
	return nil, nil
}

// watcherHeartbeat announces a service of another writer at the address of a server.
func watcherHeartbeat(s *server, number int, control string) int {
	id := fmt.Sprintf("watch-%d", number)
	body, err := json.Marshal(map[string]any{
		"backend": "watch", "address": s.address, "zone": s.zone, "version": "v1", "slots": 1,
		"state": "ready", "warmupLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return 0
	}
	status, _ := call(http.MethodPut, control, id, body)
	return status
}
