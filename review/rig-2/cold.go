//go:build review

package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

func init() { scenarios["cold"] = cold }

// cold: a server becomes cold again while the control host that it announces itself to is frozen. In no second may it
// get more requests than its limit.
func cold(r *recorder, trouble bool) (bool, error) {
	const (
		rate     = 10
		bound    = rate*1.5 + 5
		coldTime = 8 * time.Second
	)
	f, err := newFleet(r, 3, 3, map[string]any{
		"retryBudgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10, "warmupOverage": 1.5, "warmupSlack": 5,
	})
	if err != nil {
		return false, err
	}
	defer f.close()
	s := newBackends(r, f.controlAddresses(), 5*time.Millisecond)
	defer s.close()
	for i := range 3 {
		if err := s.add("portal", zones[i], fmt.Sprintf("%s%d", f.prefix, 101+i), 6); err != nil {
			return false, err
		}
	}
	config := configuration(1, []route{{
		name: "pull", prefix: "/pull/", kind: "idempotent", timeout: "1000", target: "200", services: []string{"portal"}, cold: rate,
	}}, "")
	if _, err := f.order("PUT", "/config", config, f.controlAddresses()); err != nil {
		return false, err
	}
	if err := f.ready("/pull/first"); err != nil {
		return false, err
	}
	t := f.startTraffic("/pull/", 7*time.Millisecond, 800)
	time.Sleep(6 * time.Second)
	frozen, err := f.follower()
	if err != nil {
		return false, err
	}
	b := s.servers[slices.Index(f.controls, frozen)]
	if trouble {
		f.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	b.becomeCold(coldTime)
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		f.signal(frozen, syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	t.end()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var arrived []arrival
	for _, a := range s.arrivals {
		if a.server == b.currentID() && a.at.After(began) && a.at.Before(began.Add(coldTime)) {
			arrived = append(arrived, a)
		}
	}
	most := 0
	for i, first := range arrived {
		n := 0
		for _, a := range arrived[i:] {
			if a.at.Sub(first.at) <= time.Second && t.sent[a.id].After(first.at.Add(-10*time.Millisecond)) {
				n++
			}
		}
		most = max(most, n)
	}
	r.printf("server %s got %d requests while it was cold, at most %d in one second; the bound is %v", b.currentID(), len(arrived), most, bound)
	return most <= bound, nil
}
