//go:build review

// Command 13 shows that an order which a link holds back undoes a later acknowledged one if the end of its connection
// arrives over 100 ms behind it.
//
// # Usage
//
//	13 -binary target/lagooncleat -templates deploy -record record.txt
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/lagooncleat/lagooncleat/review/rig-3"
)

const (
	evacuated = "zone-b"
	// callTimeout is how long the operator waits for an answer before it calls another node.
	callTimeout = time.Second
	// hold is how long the link holds the bytes of an order back, and end how long the end of the connection after them: a
	// packet that is lost again is sent again after 200 ms at the earliest.
	hold = 3500 * time.Millisecond
	end  = 250 * time.Millisecond
	// evacuate is evacuateMs, and margin keeps the requests away from the bound.
	evacuate = 5 * time.Second
	margin   = time.Second
	requests = 150
	pause    = 20 * time.Millisecond
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

func main() {
	binary := flag.String("binary", "target/lagooncleat", "program")
	templates := flag.String("templates", "deploy", "folder of the settings templates")
	record := flag.String("record", "record.txt", "what was seen")
	trouble := flag.Bool("trouble", true, "hold an order back")
	flag.Parse()
	file, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	defer file.Close()
	c := &checker{out: io.MultiWriter(os.Stdout, file), start: time.Now()}
	if err := c.run(*binary, *templates, *trouble); err != nil {
		c.note("case could not run: %v", err)
		os.Exit(2)
	}
	if c.ran.Load() > 0 {
		os.Exit(1)
	}
}

type checker struct {
	out   io.Writer
	start time.Time
	// ran counts the requests that have reached a server of the evacuated zone while counting is set.
	ran      atomic.Int64
	counting atomic.Bool
}

func (c *checker) note(format string, values ...any) {
	fmt.Fprintf(c.out, "%8.3f  ", time.Since(c.start).Seconds())
	fmt.Fprintf(c.out, format+"\n", values...)
}

func (c *checker) run(binary, templates string, trouble bool) error {
	d, err := rig.New(rig.Parameters{Binary: binary, Templates: templates, Zones: zones, HeartbeatMillis: 1200, Demands: true})
	if err != nil {
		return err
	}
	defer d.Close()
	var fronts []*rig.Machine
	for _, zone := range zones {
		d.AddControl(zone)
	}
	for _, zone := range zones {
		fronts = append(fronts, d.AddEntry(zone))
	}
	if err := d.StartAll(); err != nil {
		return err
	}
	for _, zone := range zones {
		work := func(*http.Request) time.Duration {
			if zone == evacuated && c.counting.Load() {
				c.ran.Add(1)
			}
			return 5 * time.Millisecond
		}
		if _, err := d.NewServer("i-"+zone, "archive", zone, 6, work); err != nil {
			return err
		}
	}
	if err := d.Declare(configuration(), 20*time.Second); err != nil {
		return err
	}
	for _, m := range fronts {
		if err := m.AwaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	if err := c.order(d); err != nil {
		return err
	}
	if !trouble {
		if err := c.sendOrders(d, 0); err != nil {
			return err
		}
	} else {
		held := make(chan error, 1)
		go func() {
			held <- rig.SendLate(d.ControlAddresses()[0], "DELETE /evacuation/"+evacuated+" HTTP/1.1\r\nHost: control\r\n\r\n", hold, end)
		}()
		c.note("DELETE is sent to the first control host; a link holds it back")
		time.Sleep(callTimeout)
		c.note("no answer within a second: the operator closes the connection and goes on")
		if err := c.sendOrders(d, 1); err != nil {
			return err
		}
		if err := <-held; err != nil {
			return err
		}
		c.note("the bytes of the first DELETE have arrived, and the end of its connection %v later", end)
	}
	time.Sleep(evacuate + margin)
	c.counting.Store(true)
	answers := map[string]int{}
	for i := range requests {
		answers[c.request(fronts[i%len(fronts)], fmt.Sprintf("q%d", i))]++
		time.Sleep(pause)
	}
	verdict := "sound"
	if c.ran.Load() > 0 {
		verdict = "EVAC: requests reach servers of an evacuated zone"
	}
	c.note("%s: %d of %d requests at %s; answers %v", verdict, c.ran.Load(), requests, evacuated, answers)
	return nil
}

// order evacuates the zone.
func (c *checker) order(d *rig.Deployment) error {
	return c.call(d, http.MethodPost, 1)
}

// sendOrders takes the evacuation back and orders it again. The first node to call is given.
func (c *checker) sendOrders(d *rig.Deployment, first int) error {
	if err := c.call(d, http.MethodDelete, first); err != nil {
		return err
	}
	return c.call(d, http.MethodPost, first)
}

// call sends an order to one node after the other until it is acknowledged.
func (c *checker) call(d *rig.Deployment, method string, first int) error {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	controls := d.ControlAddresses()
	for i := range 10 {
		request, err := http.NewRequest(method, "http://"+controls[(first+i)%len(controls)]+"/evacuation/"+evacuated, nil)
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				c.note("%s /evacuation/%s is acknowledged", method, evacuated)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not acknowledged", method)
}

// request returns the status of a request's answer.
func (c *checker) request(m *rig.Machine, id string) string {
	request, err := http.NewRequest(http.MethodGet, "http://"+m.Front()+"/pull/"+id, nil)
	if err != nil {
		return err.Error()
	}
	request.Host = "archive.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1000")
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Status
}

func configuration() any {
	type object = map[string]any
	return object{
		"version":  1,
		"services": []object{{"name": "archive", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}},
		"routes": []object{{
			"name": "pull", "hostname": "archive.example", "pathPrefix": "/pull/", "routeKind": "idempotent", "timeoutMs": 1000,
			"targetLatencyMs": 400, "priority": 2, "backend": "archive", "attempts": 2,
		}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
