//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { scenarios["evacuation"] = evacuation }

const (
	evacuateTime = 5 * time.Second
	contactTime  = 5 * time.Second
	// skewTime is by how much an unstable core stretches the bound.
	skewTime = 15 * time.Second
)

// evacuation: the operator takes an evacuation back and orders it again while a control host is frozen that was the
// first to get the withdrawal. No request may reach the zone evacuateMs after the last acknowledgement.
func evacuation(r *recorder, trouble bool) (bool, error) {
	f, err := newFleet(r, 3, 3, map[string]any{
		"retryBudgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10, "evacuateMs": evacuateTime.Milliseconds(),
	})
	if err != nil {
		return false, err
	}
	defer f.close()
	s := newBackends(r, f.controlAddresses(), 5*time.Millisecond)
	defer s.close()
	for i := range 6 {
		if err := s.add("portal", zones[i%3], fmt.Sprintf("%s%d", f.prefix, 101+i), 6); err != nil {
			return false, err
		}
	}
	config := configuration(1, []route{{
		name: "pull", prefix: "/pull/", kind: "idempotent", timeout: "1000", target: "200", services: []string{"portal"},
	}}, "")
	addresses := f.controlAddresses()
	if _, err := f.order("PUT", "/config", config, addresses); err != nil {
		return false, err
	}
	if err := f.ready("/pull/first"); err != nil {
		return false, err
	}
	t := f.startTraffic("/pull/", 20*time.Millisecond, 800)
	const zone = "zone-b"
	path := "/evacuation/" + zone
	frozen, err := f.follower()
	if err != nil {
		return false, err
	}
	others := []string{}
	for i, m := range f.controls {
		if m != frozen {
			others = append(others, addresses[i])
		}
	}
	first := append([]string{fmt.Sprintf("%s:%d", frozen.ip, controlPort)}, others...)
	if _, err := f.order("POST", path, "", others); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		f.signal(frozen, syscall.SIGSTOP)
	}
	if _, err := f.order("DELETE", path, "", first); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	acknowledged, err := f.order("POST", path, "", others)
	if err != nil {
		return false, err
	}
	r.printf("the evacuation of %s is acknowledged and isn't taken back any more", zone)
	time.Sleep(time.Second)
	if trouble {
		f.signal(frozen, syscall.SIGCONT)
	}
	// Also with the time by which an unstable core stretches the bound, the evacuation is due by then. All machines
	// have been in touch for long.
	from := acknowledged.Add(evacuateTime + skewTime)
	time.Sleep(time.Until(from.Add(5 * time.Second)))
	t.end()
	late := 0
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, a := range s.arrivals {
		sent, known := t.sent[a.id]
		if known && sent.After(from) && a.zone == zone {
			late++
			if late <= 5 {
				r.printf("request %s, sent %.1f s after the acknowledgement, runs on %s in %s", a.id, sent.Sub(acknowledged).Seconds(), a.server, a.zone)
			}
		}
	}
	r.printf("%d requests, %d served; sent later than %.1f s after the acknowledgement and run in %s: %d", t.total, t.ok, from.Sub(acknowledged).Seconds(), zone, late)
	return late == 0, nil
}
