//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// leaveGap is the time between the leaves of two servers, and killDelay the time from the acknowledgement
	// of the last one until processes are killed.
	leaveGap  = 10 * time.Millisecond
	killDelay = 8 * time.Millisecond
	// backAfter is when killed processes are started again.
	backAfter = 900 * time.Millisecond
	// contactBound is contactMs.
	contactBound = 4 * time.Second
	// leaveAfter is how long traffic runs before servers leave, and serveOn how long they go on serving after
	// their leave was acknowledged. The last heartbeat before a leave arrives heartbeatDelay late.
	leaveAfter     = 5 * time.Second
	serveOn        = 11 * time.Second
	heartbeatDelay = 5 * time.Second
)

// arrivals holds when requests reached a server that leaves.
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

// leaveForgotten kills all control hosts and the entry hosts of a zone right after the leave of a server was
// acknowledged. No request may reach the server later than drainMs after that from hosts in touch.
func leaveForgotten(f *fleet, trouble bool) ([]string, error) {
	zones := []string{"savo-a", "savo-b", "savo-c"}
	if err := f.start(zones, []int{2, 3, 1}); err != nil {
		return nil, err
	}
	to := route{
		name: "r-defects", target: 120 * time.Millisecond, host: "search.example", prefix: "/defects/", topK: 50, attempts: 2,
		minCoverage: 0.89, deadline: 1200 * time.Millisecond,
	}
	var servers, leaving []*server
	defer func() {
		for _, s := range servers {
			s.close()
		}
	}()
	for i := range shardCount {
		service := fmt.Sprintf("shard-%d", i)
		to.services = append(to.services, service)
		for n, zone := range zones {
			s, err := newServer(f.record, fmt.Sprintf("i-%d-%d", i, n), service, zone, f.prefix+fmt.Sprint(100+3*i+n), partWork)
			if err != nil {
				return nil, err
			}
			servers = append(servers, s)
			s.announce(f.controls())
			s.pause()
			if n == 0 && i < 2 {
				leaving = append(leaving, s)
			}
		}
	}
	if status, err := f.put(routesConfig(1, to)); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("%w: configuration: status %d, %v", errNotRun, status, err)
	}
	if err := f.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(trafficDelay)
	var all []*traffic
	defer func() {
		for _, t := range all {
			t.close()
		}
	}()
	var sent sync.Map
	for i, perS := range []float64{82.7, 65.1, 77.3} {
		t := newTraffic(f, zones[i], to, perS, []int{49, 38, 46}[i])
		t.sending = func(id string) { sent.Store(id, time.Now()) }
		all = append(all, t)
		t.start()
	}
	time.Sleep(leaveAfter)
	reached := make([]*arrivals, len(leaving))
	acknowledged := make([]time.Time, len(leaving))
	for i, s := range leaving {
		reached[i] = &arrivals{}
		s.mutex.Lock()
		s.arrived = func(_ *server, id string) { reached[i].add(id) }
		s.mutex.Unlock()
		if i > 0 {
			time.Sleep(leaveGap)
		}
		s.left.Store(true)
		control := s.target.Load().(string)
		last, err := s.heartbeat("ready")
		if err != nil {
			return nil, err
		}
		late := time.AfterFunc(heartbeatDelay, func() {
			status, _ := call(http.MethodPut, control, s.id, last)
			f.record.write("last heartbeat of %s before its leave arrives: status %d", s.id, status)
		})
		defer late.Stop()
		status, _ := call(http.MethodDelete, control, s.id, nil)
		acknowledged[i] = time.Now()
		f.record.write("%s leaves at %s: status %d", s.id, control, status)
		if status != http.StatusOK {
			return nil, fmt.Errorf("%w: the leave was not acknowledged", errNotRun)
		}
	}
	inTouch := time.Now()
	afterTwice := 0
	if trouble {
		time.Sleep(killDelay)
		var hosts []*process
		for _, p := range f.hosts {
			if p.control || p.zone == zones[0] {
				hosts = append(hosts, p)
			}
		}
		if err := f.restart(backAfter, hosts...); err != nil {
			return nil, err
		}
		inTouch = time.Now().Add(contactBound)
	}
	time.Sleep(time.Until(acknowledged[0].Add(serveOn)))
	for _, t := range all {
		t.close()
	}
	for _, t := range all {
		f.record.write("zone %s: %d requests, %d served, %d unserved", t.zone, t.sent, t.served, t.unserved)
	}
	var broken []string
	for i, s := range leaving {
		reached[i].mutex.Lock()
		for _, a := range reached[i].list {
			at, ok := sent.Load(a.id)
			late := a.at.Sub(acknowledged[i]) - drainBound
			if ok && late > 0 && at.(time.Time).After(inTouch) {
				f.record.write("BROKEN: %s reached %s %v after the bound", a.id, s.id, late)
				if at.(time.Time).After(inTouch.Add(contactBound)) {
					afterTwice++
				}
				broken = append(broken, fmt.Sprintf("%s reached %s %v after the bound", a.id, s.id, late))
			}
		}
		reached[i].mutex.Unlock()
	}
	f.record.write("%d of these were sent later than twice contactMs after the last start", afterTwice)
	return broken, nil
}
