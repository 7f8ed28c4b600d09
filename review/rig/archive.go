//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	archiveWork = 40 * time.Millisecond
	archiveRate = 20.0
)

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
