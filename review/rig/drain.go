//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	archiveWork = 40 * time.Millisecond
	archiveRate = 20.0
	// leaveAfter is how long traffic runs before a server leaves, and serveOn how long that server goes on
	// serving after its leave was acknowledged.
	leaveAfter = 5 * time.Second
	serveOn    = 9 * time.Second
)

// arrivals holds when requests reached the server that leaves.
type arrivals struct {
	mutex sync.Mutex
	list  []arrival
}

type arrival struct {
	id string
	at time.Time
}

func (a *arrivals) add(id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.list = append(a.list, arrival{id, time.Now()})
}

// archive starts a route to one service with a server in each zone, and the clients of all zones.
func archive(f *fleet) ([]*server, []*traffic, error) {
	zones := []string{"savo-a", "savo-b", "savo-c"}
	if err := f.start(zones, []int{2, 3, 1}); err != nil {
		return nil, nil, err
	}
	to := route{
		name: "r-archive", host: "archive.example", prefix: "/archive/", single: true, services: []string{"audit"},
		attempts: 2, deadline: 5 * time.Second, target: time.Second,
	}
	var servers []*server
	for i, zone := range zones {
		s, err := newServer(f.record, fmt.Sprintf("i-%d", i), "audit", zone, f.prefix+fmt.Sprint(100+i), archiveWork)
		if err != nil {
			return servers, nil, err
		}
		servers = append(servers, s)
		s.announce(f.controls())
	}
	if status, err := f.put(routesConfig(1, to)); err != nil || status != http.StatusOK {
		return servers, nil, fmt.Errorf("%w: configuration: status %d, %v", errNotRun, status, err)
	}
	if err := f.waitReady(); err != nil {
		return servers, nil, err
	}
	time.Sleep(trafficDelay)
	var all []*traffic
	for _, zone := range zones {
		t := newTraffic(f, zone, to, archiveRate, 20)
		all = append(all, t)
		t.start()
	}
	return servers, all, nil
}

// drainOverridden lets another writer send a heartbeat with a field of another type about a server, which
// then leaves. No request may reach the server later than drainMs after its leave was acknowledged.
func drainOverridden(f *fleet, trouble bool) ([]string, error) {
	servers, all, err := archive(f)
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
	time.Sleep(leaveAfter)
	leaving := servers[0]
	if trouble {
		status := foreignHeartbeat(leaving, f.controls()[0])
		f.record.write("another writer's heartbeat about %s: status %d", leaving.id, status)
	}
	reached := &arrivals{}
	leaving.mutex.Lock()
	leaving.arrived = func(_ *server, id string) { reached.add(id) }
	leaving.mutex.Unlock()
	leaving.state.Store("draining")
	var acknowledged time.Time
	for acknowledged.IsZero() {
		control := leaving.target.Load().(string)
		status, ok := leaving.beat(control, "draining")
		f.record.write("heartbeat of %s, draining, to %s: status %d", leaving.id, control, status)
		if ok {
			acknowledged = time.Now()
			break
		}
		time.Sleep(heartbeatInterval)
	}
	time.Sleep(serveOn)
	var broken []string
	reached.mutex.Lock()
	defer reached.mutex.Unlock()
	for _, a := range reached.list {
		late := a.at.Sub(acknowledged) - drainBound
		if late > 0 {
			f.record.write("BROKEN: %s reached %s %v after the bound", a.id, leaving.id, late)
			broken = append(broken, fmt.Sprintf("%s reached %s %v after the bound", a.id, leaving.id, late))
		}
	}
	return broken, nil
}

// foreignHeartbeat sends the heartbeat of another writer: its version is a number, and it counts its
// heartbeats by the time of day.
func foreignHeartbeat(s *server, control string) int {
	body, err := json.Marshal(map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": 1, "slots": slotCount,
		"state": "ready", "warmupLeftMs": 0, "seq": time.Now().UnixMilli(), "born": s.born,
	})
	if err != nil {
		return 0
	}
	status, _ := call(http.MethodPut, control, s.id, body)
	return status
}
