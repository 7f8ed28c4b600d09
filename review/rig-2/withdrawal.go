//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["withdrawal"] = withdrawal }

const drainTime = 3 * time.Second

// restart ends the server as planned, withdrawing it first, and starts it again under its ID. The control hosts are
// called in the given order until one acknowledges.
func (b *backend) restart(controls []string) error {
	b.mutex.Lock()
	id, ended, program := b.id, b.ended, b.program
	b.mutex.Unlock()
	b.silent.Store(true)
	acknowledged := false
	for i := 0; !acknowledged; i++ {
		if i == 3*len(controls) {
			return fmt.Errorf("no control host acknowledges that %s leaves", id)
		}
		address := controls[i%len(controls)]
		status, _, _, err := call(time.Second, "DELETE", "http://"+address+"/instances/"+id, "", nil)
		acknowledged = err == nil && status == http.StatusOK
		b.parent.record.printf("server %s sends DELETE to %s: acknowledged %t", id, address, acknowledged)
	}
	time.Sleep(drainTime + 200*time.Millisecond)
	close(ended)
	_ = program.Close()
	b.parent.record.printf("server %s ends", id)
	time.Sleep(200 * time.Millisecond)
	b.silent.Store(false)
	if err := b.start(id); err != nil {
		return err
	}
	b.parent.record.printf("server %s starts again under its ID", id)
	return nil
}

// withdrawal: the servers of a service restart as planned while the control host that they call first is frozen.
// Afterwards a route to them that was added later must be served as the first one is.
func withdrawal(r *recorder, trouble bool) (bool, error) {
	f, err := newFleet(r, 3, 3, map[string]any{"retryBudgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10})
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
	first := route{name: "first", prefix: "/first/", kind: "idempotent", timeout: "1000", target: "200", services: []string{"portal"}}
	if _, err := f.order("PUT", "/config", configuration(1, []route{first}, ""), f.controlAddresses()); err != nil {
		return false, err
	}
	if err := f.ready("/first/x"); err != nil {
		return false, err
	}
	frozen, err := f.follower()
	if err != nil {
		return false, err
	}
	index := slices.Index(f.controls, frozen)
	var moving []*backend
	for i := range 3 {
		if err := s.add("desk", zones[i], fmt.Sprintf("%s%d", f.prefix, 111+i), 6); err != nil {
			return false, err
		}
		moving = append(moving, s.servers[len(s.servers)-1])
	}
	later := route{name: "later", prefix: "/later/", kind: "idempotent", timeout: "1000", target: "200", services: []string{"desk"}}
	if _, err := f.order("PUT", "/config", configuration(2, []route{first, later}, ""), f.controlAddresses()); err != nil {
		return false, err
	}
	if err := f.ready("/later/x"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	addresses := f.controlAddresses()
	order := append([]string{addresses[index]}, slices.Delete(slices.Clone(addresses), index, index+1)...)
	s.controls = order[1:]
	if trouble {
		f.signal(frozen, syscall.SIGSTOP)
	}
	began := time.Now()
	var group sync.WaitGroup
	var failed atomic.Pointer[error]
	for _, b := range moving {
		group.Go(func() {
			if err := b.restart(order); err != nil {
				failed.Store(&err)
			}
		})
	}
	group.Wait()
	if err := failed.Load(); err != nil {
		return false, *err
	}
	time.Sleep(time.Until(began.Add(6300 * time.Millisecond)))
	if trouble {
		f.signal(frozen, syscall.SIGCONT)
	}
	time.Sleep(2 * contactTime)
	served, sent := [2]int{}, [2]int{}
	var mutex sync.Mutex
	for n := range 240 {
		group.Go(func() {
			path := []string{"/first/", "/later/"}[n%2]
			id := newID()
			status, header, _, err := f.request(f.entries[n%len(f.entries)], "GET", path+id, id, 900)
			r.printf("request %s%s: %d, error %t, run by %s", path, id, status, err != nil, header.Get("X-Server-Stamp"))
			mutex.Lock()
			defer mutex.Unlock()
			sent[n%2]++
			if err == nil && status == http.StatusOK {
				served[n%2]++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	r.printf("first route: %d of %d requests served; later route: %d of %d", served[0], sent[0], served[1], sent[1])
	return 4*served[1]*sent[0] >= served[0]*sent[1], nil
}
