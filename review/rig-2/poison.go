//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["poison"] = poison }

// poison: a client repeats a request that makes each server that begins to run it go dark; the server is back after
// some seconds. Later than contactMs after the third crash, at most three retries may reach servers.
func poison(r *recorder, trouble bool) (bool, error) {
	const (
		shards   = 10
		down     = 3 * time.Second
		interval = 1500 * time.Millisecond
		retries  = 14
		allowed  = 3
		contact  = 4 * time.Second
	)
	f, err := newFleet(r, 3, 6, map[string]any{"retryBudgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10})
	if err != nil {
		return false, err
	}
	defer f.close()
	s := newBackends(r, f.controlAddresses(), 5*time.Millisecond)
	defer s.close()
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("desk%d", i))
		for z := range zones {
			if err := s.add(names[i], zones[z], fmt.Sprintf("%s%d", f.prefix, 101+i*len(zones)+z), 3); err != nil {
				return false, err
			}
		}
	}
	const bad = "/check/bad"
	var mutex sync.Mutex
	var crashes []time.Time
	s.onRun = func(b *backend, q *http.Request) {
		if !trouble || q.URL.Path != bad {
			return
		}
		if b.goDark(down) {
			mutex.Lock()
			crashes = append(crashes, time.Now())
			mutex.Unlock()
		}
	}
	config := configuration(1, []route{{
		name: "check", prefix: "/check/", kind: "idempotent", timeout: "600", target: "50", minimum: "0.75", services: names,
	}}, "")
	if _, err := f.order("PUT", "/config", config, f.controlAddresses()); err != nil {
		return false, err
	}
	if err := f.ready("/check/first"); err != nil {
		return false, err
	}
	t := f.startTraffic("/check/", 50*time.Millisecond, 600)
	time.Sleep(5 * time.Second)
	sent := map[string]time.Time{}
	for n := range retries {
		m, id := f.entries[n%len(f.entries)], newID()
		sent[id] = time.Now()
		status, _, _, err := f.request(m, "GET", bad, id, 600)
		if err != nil {
			r.printf("attempt %d at %s, %s: no answer", n+1, m.name, id)
		} else {
			r.printf("attempt %d at %s, %s: %d", n+1, m.name, id, status)
		}
		time.Sleep(time.Until(sent[id].Add(interval)))
	}
	t.end()
	r.printf("other requests: %d, served %d", t.total, t.ok)
	return judgePoison(r, s, sent, crashes, contact, allowed), nil
}

// judgePoison counts the retries that were sent later than contactMs after the third crash and reached servers.
func judgePoison(r *recorder, s *backends, sent map[string]time.Time, crashes []time.Time, contact time.Duration, allowed int) bool {
	if len(crashes) < 3 {
		r.printf("%d crashes", len(crashes))
		return true
	}
	late := crashes[2].Add(contact)
	reached := map[string][]string{}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, a := range s.arrivals {
		if at, ok := sent[a.id]; ok && at.After(late) {
			reached[a.id] = append(reached[a.id], a.server)
		}
	}
	for id, servers := range reached {
		r.printf("retry %s, sent %.1f s after the third crash, reaches %s", id, sent[id].Sub(crashes[2]).Seconds(), strings.Join(servers, " "))
	}
	r.printf("%d crashes; retries sent later than contactMs after the third crash that reached servers: %d, allowed %d", len(crashes), len(reached), allowed)
	return len(reached) <= allowed
}
