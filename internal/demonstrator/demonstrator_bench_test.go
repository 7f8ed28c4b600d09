package demonstrator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lagooncleat/lagooncleat/internal/caller"
	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/internal/logger"
	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkPlan returns the demo's plan with other numbers of hosts, services and
// servers, and a service time of 0.
func benchmarkPlan(hosts, services, servers int) demonstrator.Plan {
	p := demonstrator.Demo()
	p.Domains = p.Domains[:hosts]
	var names []identifier.ServiceID
	for i := range services {
		names = append(names, identifier.ServiceID(fmt.Sprintf("service-%d", i)))
	}
	partition := configurer.EvenPartition(p.Epoch, names)
	p.Customers.Customers[0].Partition = partition
	p.Services = nil
	for _, s := range partition.Shards {
		p.Services = append(p.Services, demonstrator.Service{
			Service: s.Service, Range: s.Range, Servers: servers, Slots: 6, Connections: 30, Queue: 30,
		})
	}
	return p
}

func startDeployment(b *testing.B, hosts, services, servers int) *demonstrator.Deployment {
	loggers, err := logger.New(io.Discard, logger.Parameters{Level: "off"})
	if err != nil {
		b.Fatal(err)
	}
	d, err := demonstrator.New(benchmarkPlan(hosts, services, servers), loggers)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	return d
}

// sendQuery sends one query and reports whether the answer was complete.
func sendQuery(client *http.Client, d *demonstrator.Deployment) bool {
	url := fmt.Sprintf("http://%s/v1/customers/demo/queries", d.Hosts[0].Address(demonstrator.Callers))
	response, err := client.Post(url, "application/json", strings.NewReader(`{"work":"lookup","timeout-ms":2000,"min-coverage":1}`))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false
	}
	return response.StatusCode == http.StatusOK
}

// BenchmarkSubRequest measures the CPU time and allocations per sub-request of a
// query in the whole process: client, entry hosts and backend servers. With three
// hosts, two of three sub-requests go through another host. BenchmarkCall measures
// the share of the backend servers and of the connections to them.
func BenchmarkSubRequest(b *testing.B) {
	cases := []struct{ hosts, services, servers int }{{1, 5, 3}, {1, 10, 3}, {1, 40, 3}, {1, 10, 9}, {3, 10, 3}, {3, 40, 3}}
	for _, c := range cases {
		b.Run(fmt.Sprintf("hosts=%d/services=%d/servers=%d", c.hosts, c.services, c.servers), func(b *testing.B) {
			d := startDeployment(b, c.hosts, c.services, c.servers)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
			defer client.CloseIdleConnections()
			for !sendQuery(client, d) {
				time.Sleep(10 * time.Millisecond)
			}
			b.ReportAllocs()
			b.ResetTimer()
			before := cpuTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if !sendQuery(client, d) {
						b.Error("a query failed")
					}
				}
			})
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N*c.services), "cpu-us/sub-request")
		})
	}
}

// BenchmarkCall measures the CPU time of a call to a backend server, including both
// the client and the server.
func BenchmarkCall(b *testing.B) {
	d := startDeployment(b, 1, 1, 1)
	c := caller.New()
	defer c.Close()
	call := reducer.Call{
		Server: "s", Address: d.Servers[0].Address(), Connections: 6, Attempt: identifier.AttemptID{Request: "q", Sequence: 1},
		Snapshot: identifier.Snapshot{Epoch: 1, Version: 1}, Range: identifier.HashRange{To: 8},
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, ok := c.Do(context.Background(), call, identifier.Minute).(reducer.CallServed); !ok {
				b.Error("a call failed")
			}
		}
	})
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/call")
}
