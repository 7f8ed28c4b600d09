//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const hostname = "search.example"

// route is a route of the configuration. It names one service, or several shards.
type route struct {
	name, prefix, kind       string
	timeout, target, minimum string
	services                 []string
}

func (x route) json() string {
	where := fmt.Sprintf(`"backend":%q`, x.services[0])
	if x.minimum != "" {
		where = fmt.Sprintf(`"gather":["%s"],"topK":5,"minCoverage":%s`, strings.Join(x.services, `","`), x.minimum)
	}
	return fmt.Sprintf(`{"name":%q,"hostname":%q,"pathPrefix":%q,"routeKind":%q,"timeoutMs":%s,"targetLatencyMs":%s,"priority":0,"attempts":2,%s}`,
		x.name, hostname, x.prefix, x.kind, x.timeout, x.target, where)
}

// configuration returns a complete configuration with further fields at its end.
func configuration(version int, routes []route, more string) string {
	var list, services []string
	seen := map[string]bool{}
	for _, x := range routes {
		list = append(list, x.json())
		for _, s := range x.services {
			if !seen[s] {
				seen[s] = true
				services = append(services, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}`, s))
			}
		}
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}%s}`, version, strings.Join(list, ","), strings.Join(services, ","), more)
}

// ready waits until every entry host is ready and answers a request for the path.
func (f *fleet) ready(path string) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range f.entries {
		for {
			if time.Now().After(deadline) {
				return errors.New("the deployment doesn't become ready")
			}
			if f.answers(m, path) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.record.printf("every entry host is ready")
	return nil
}

func (f *fleet) answers(m *machine, path string) bool {
	status, _, _, err := call(time.Second, "GET", fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort), "", nil)
	if err != nil || status != http.StatusOK {
		return false
	}
	status, _, _, err = f.request(m, "GET", path, newID(), 1000)
	return err == nil && status == http.StatusOK
}
