//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request sends one client attempt to an entry host on a new connection.
func (f *fleet) request(m *machine, method, path, id string, deadlineMillis int) (int, http.Header, []byte, error) {
	timeout := time.Duration(deadlineMillis)*time.Millisecond + 200*time.Millisecond
	return call(timeout, method, fmt.Sprintf("http://%s:%d%s", m.ip, frontPort, path), "", map[string]string{
		"Host": hostname, "X-Request-Id": id, "X-Deadline-Ms": strconv.Itoa(deadlineMillis),
	})
}

// traffic sends requests to all entry hosts in turn until stopped.
type traffic struct {
	mutex sync.Mutex
	sent  map[string]time.Time
	ok    int
	total int
	stop  chan struct{}
	group sync.WaitGroup
}

func (f *fleet) startTraffic(prefix string, interval time.Duration, deadlineMillis int) *traffic {
	t := &traffic{sent: map[string]time.Time{}, stop: make(chan struct{})}
	t.group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-time.After(interval):
			}
			m, id := f.entries[n%len(f.entries)], newID()
			t.mutex.Lock()
			t.sent[id] = time.Now()
			t.total++
			t.mutex.Unlock()
			t.group.Go(func() {
				status, header, _, err := f.request(m, "GET", prefix+id, id, deadlineMillis)
				answer := strconv.Itoa(status)
				if err != nil {
					answer = "no answer"
				}
				f.record.printf("request %s sent to %s: %s, run by %s%s", id, m.name, answer, header.Get("X-Server-Stamp"), header.Get("X-Part-Stamps"))
				t.mutex.Lock()
				defer t.mutex.Unlock()
				if err == nil && status == http.StatusOK {
					t.ok++
				}
			})
		}
	})
	return t
}

func (t *traffic) end() {
	close(t.stop)
	t.group.Wait()
}
