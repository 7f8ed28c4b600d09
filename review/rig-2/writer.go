//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["writer"] = writer }

// writer: another program announces the servers of a service with a line break at the end of each ID. Servers must
// run requests as clients sent them.
func writer(r *recorder, trouble bool) (bool, error) {
	f, err := newFleet(r, 3, 3, map[string]any{"retryBudgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10})
	if err != nil {
		return false, err
	}
	defer f.close()
	s := newBackends(r, f.controlAddresses(), 5*time.Millisecond)
	defer s.close()
	var mutex sync.Mutex
	sent := map[string][]byte{}
	ran, changed := 0, 0
	s.onRun = func(b *backend, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		id := q.Header.Get("X-Request-Id")
		mutex.Lock()
		defer mutex.Unlock()
		want, known := sent[id]
		if !known {
			return
		}
		ran++
		path := "/post/" + id
		if q.Method == http.MethodPost && q.URL.Path == path && bytes.Equal(body, want) {
			return
		}
		changed++
		r.printf("server %s runs %s %s with %d bytes that begin with %.12q (error %v); the client sent POST %s with %d bytes that begin with %.12q",
			b.currentID(), q.Method, q.URL.Path, len(body), body, err, path, len(want), want)
	}
	for i := range 3 {
		if err := s.add("ledger", zones[i], fmt.Sprintf("%s%d", f.prefix, 101+i), 6); err != nil {
			return false, err
		}
	}
	config := configuration(1, []route{
		{name: "post", prefix: "/post/", kind: "non_idempotent", timeout: "1000", target: "200", services: []string{"ledger"}},
	}, "")
	if _, err := f.order("PUT", "/config", config, f.controlAddresses()); err != nil {
		return false, err
	}
	if err := f.ready("/post/first"); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	stop := time.Now().Add(20 * time.Second)
	if trouble {
		for i, b := range s.servers {
			group.Go(func() {
				for seq := 1; time.Now().Before(stop); seq++ {
					_, ok := b.announce(f.controlAddresses()[i], b.currentID()+"%0D%0A", seq)
					r.printf("the other program announces %s with a line break: acknowledged %t", b.currentID(), ok)
					time.Sleep(heartbeatTime)
				}
			})
		}
	}
	for _, m := range f.entries {
		group.Go(func() {
			for time.Now().Before(stop) {
				group.Go(func() {
					id := newID()
					body := []byte("transfer of 100 shares, " + id + strings.Repeat(" .", 138))
					mutex.Lock()
					sent[id] = body
					mutex.Unlock()
					status, header, _, err := call(1200*time.Millisecond, "POST", fmt.Sprintf("http://%s:%d/post/%s", m.ip, frontPort, id), string(body), map[string]string{
						"Host": hostname, "X-Request-Id": id, "X-Deadline-Ms": "900",
					})
					r.printf("request %s to %s: %d, error %t, run by %s", id, m.name, status, err != nil, header.Get("X-Server-Stamp"))
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	r.printf("%d requests sent, %d run, %d of them changed", len(sent), ran, changed)
	return changed == 0, nil
}
