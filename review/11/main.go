//go:build review

// Command 11 shows that an entry host which is killed and starts again at once can get, for a new request, the parts of
// a request of its previous process.
//
// # Usage
//
//	11 -binary target/lagooncleat -templates deploy -record record.txt
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagooncleat/lagooncleat/review/rig-3"
)

const (
	shards = 10
	topK   = 50
	slots  = 3
	// affected is how many shards lose their server in zone-a and have a slow one in zone-b.
	affected = 4
	// smallShards is how many shards a second route has.
	smallShards = 2
	// usualWork is how long a server takes for a request, and slowWork how long a slow one takes, 8.5 times as long.
	// slowTailWork is 8.5 times 72 ms, which is in the tail of the site's work_ms (5 times the mean of 15 ms, for one
	// request of a hundred). Those at tailShard are all in the tail: 3 of 12 pieces at slow servers in each round.
	usualWork    = 15 * time.Millisecond
	slowWork     = 128 * time.Millisecond
	slowTailWork = 615 * time.Millisecond
	tailShard    = 3
	// settleTime is how long a machine runs before its first requests.
	settleTime = 1500 * time.Millisecond
	// lossDelay is how long after its first requests a machine loses power, offTime how long it has none, and nextRequest
	// how long after them the next ones come, each a pause after the other.
	lossDelay   = 10 * time.Millisecond
	offTime     = 50 * time.Millisecond
	nextRequest = 595 * time.Millisecond
	pause       = 15 * time.Millisecond
	rounds      = 6
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

func main() {
	binary := flag.String("binary", "target/lagooncleat", "program")
	templates := flag.String("templates", "deploy", "folder of the settings templates")
	record := flag.String("record", "record.txt", "what was seen")
	trouble := flag.Bool("trouble", true, "kill the entry host")
	flag.Parse()
	file, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	defer file.Close()
	c := &checker{out: io.MultiWriter(os.Stdout, file), start: time.Now()}
	broken := false
	for _, next := range []string{"/search/", "/small/"} {
		c.answers, c.wrong, c.ended = 0, 0, false
		if err := c.run(*binary, *templates, next, *trouble); err != nil {
			c.note("case could not run: %v", err)
			os.Exit(2)
		}
		c.note("%s: %d answers checked, %d wrong", next, c.answers, c.wrong)
		broken = broken || c.wrong > 0 || c.ended
	}
	if broken {
		os.Exit(1)
	}
}

type checker struct {
	start time.Time

	outMutex sync.Mutex
	out      io.Writer

	mutex          sync.Mutex
	answers, wrong int
	// ended is set once the process of an undisturbed machine has ended.
	ended bool

	// slow is set while some servers are slow.
	slow atomic.Bool
}

func (c *checker) note(format string, values ...any) {
	c.outMutex.Lock()
	defer c.outMutex.Unlock()
	fmt.Fprintf(c.out, "%8.3f  ", time.Since(c.start).Seconds())
	fmt.Fprintf(c.out, format+"\n", values...)
}

// run plays rounds in a new deployment until one fails. The requests after the loss of power go to a path.
func (c *checker) run(binary, templates, next string, trouble bool) error {
	d, err := rig.New(rig.Parameters{Binary: binary, Templates: templates, Zones: zones, HeartbeatMillis: 1200})
	if err != nil {
		return err
	}
	defer d.Close()
	for _, zone := range zones {
		d.AddControl(zone)
	}
	far, other := d.AddEntry("zone-b"), d.AddEntry("zone-c")
	if err := far.AddLink(); err != nil {
		return err
	}
	if err := d.StartAll(); err != nil {
		return err
	}
	names, err := c.startServers(d, trouble)
	if err != nil {
		return err
	}
	if err := d.Declare(configuration(names), 20*time.Second); err != nil {
		return err
	}
	for _, m := range []*rig.Machine{far, other} {
		if err := m.AwaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	for round := range rounds {
		if err := c.round(d.AddEntry("zone-a"), far, names, round, next, trouble); err != nil {
			return err
		}
		if hasEnded(far) {
			c.note("the process of %s, which nothing has disturbed, has ended by itself: %s", far.Name(), far.LastWords("panic:"))
			c.ended = true
		}
		if c.wrong > 0 || c.ended {
			break
		}
	}
	return nil
}

func hasEnded(m *rig.Machine) bool {
	select {
	case <-m.Ended():
		return true
	default:
		return false
	}
}

// startServers starts the servers of the index: one of each shard in each zone. With trouble, those of affected shards are
// lost in zone-a and turn slow at times in zone-b.
func (c *checker) startServers(d *rig.Deployment, trouble bool) ([]string, error) {
	var names []string
	for i := range shards {
		name := fmt.Sprintf("shard%d", i)
		names = append(names, name)
		for _, zone := range zones {
			work := func(*http.Request) time.Duration { return usualWork }
			switch {
			case !trouble || i >= affected:
			case zone == "zone-a":
				continue
			case zone == "zone-b":
				work = c.slowWork(i)
			}
			if _, err := d.NewServer(fmt.Sprintf("i-%d-%s", i, zone), name, zone, slots, work); err != nil {
				return nil, err
			}
		}
	}
	return names, nil
}

// slowWork returns a function that tells how long the server of a shard, which turns slow at times, takes for a request
// that begins now.
func (c *checker) slowWork(shard int) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration {
		switch {
		case !c.slow.Load():
			return usualWork
		case shard == tailShard:
			return slowTailWork
		}
		return slowWork
	}
}

// round adds a front machine to zone-a, which loses power during its first requests, and sends it the next ones, on
// a path.
func (c *checker) round(near, far *rig.Machine, names []string, round int, next string, trouble bool) error {
	defer near.Kill()
	if err := near.Start(); err != nil {
		return err
	}
	if err := near.AwaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(settleTime)
	c.slow.Store(true)
	began := time.Now()
	var group sync.WaitGroup
	for i := range slots {
		group.Go(func() { c.request(near, names, "/search/", fmt.Sprintf("r%dold%d", round, i)) })
	}
	if trouble {
		time.Sleep(lossDelay)
		near.LosePower(far)
		time.Sleep(offTime)
		if err := near.Start(); err != nil {
			return err
		}
		if err := near.AwaitReady(10 * time.Second); err != nil {
			return err
		}
		c.note("round %d: %s lost power, started again and is ready after %v", round, near.Name(), time.Since(began).Round(time.Millisecond))
	}
	c.slow.Store(false)
	time.Sleep(time.Until(began.Add(nextRequest)))
	for i := range slots {
		group.Go(func() { c.request(near, names, next, fmt.Sprintf("r%dnew%d", round, i)) })
		time.Sleep(pause)
	}
	group.Wait()
	return nil
}

func (c *checker) request(m *rig.Machine, names []string, path, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+m.Front()+path+id, nil)
	if err != nil {
		c.note("%v", err)
		return
	}
	request.Host = "search.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1200")
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.note("request %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 {
		c.note("request %s: %s %v", id, response.Status, err)
		return
	}
	if path == "/small/" {
		names = names[:smallShards]
	}
	c.check(id, names, response.Header, body)
}

// check compares a success with what the servers named in it must have answered.
func (c *checker) check(id string, names []string, header http.Header, body []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers++
	var records [][]byte
	signatures := strings.Split(header.Get("X-Part-Stamps"), ", ")
	fault := ""
	for _, s := range signatures {
		service, request, _ := strings.Cut(s, ".")
		if !slices.Contains(names, service) || request != id {
			fault = fmt.Sprintf("the signature %q is no answer to this request", s)
		}
		part := rig.Part(service, request)
		for len(part) > 0 {
			records, part = append(records, part[:16]), part[16:]
		}
	}
	missing, _ := strconv.Atoi(header.Get("X-Missing-Parts"))
	if len(signatures)+missing != len(names) {
		fault = "the parts and the missing ones are not the set"
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	want := bytes.Join(records[:min(topK, len(records))], nil)
	if fault == "" && !bytes.Equal(want, body) {
		fault = "the body isn't the greatest records of the parts named"
	}
	if fault != "" {
		c.wrong++
		c.note("request %s: MIXED: %s; X-Part-Stamps: %s; X-Missing-Parts: %d", id, fault, header.Get("X-Part-Stamps"), missing)
		return
	}
	c.note("request %s: sound, X-Part-Stamps: %s", id, header.Get("X-Part-Stamps"))
}

func configuration(names []string) any {
	type object = map[string]any
	var services []object
	for _, name := range names {
		services = append(services, object{"name": name, "healthPath": "/health", "maxConns": 30, "protocol": "h1", "tls": false})
	}
	return object{
		"version": 1, "services": services,
		"routes": []object{{
			"name": "search", "hostname": "search.example", "pathPrefix": "/search/", "routeKind": "idempotent", "timeoutMs": 1200,
			"targetLatencyMs": 120, "priority": 1, "gather": names, "attempts": 2, "topK": topK, "minCoverage": 0.89,
		}, {
			"name": "small", "hostname": "search.example", "pathPrefix": "/small/", "routeKind": "idempotent", "timeoutMs": 1200,
			"targetLatencyMs": 120, "priority": 1, "gather": names[:smallShards], "attempts": 2, "topK": topK, "minCoverage": 0.89,
		}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
