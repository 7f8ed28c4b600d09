//go:build review

package main

import (
	"encoding/json"
	"time"
)

// routeConfig returns a configuration with one route.
func routeConfig(version int, r route) string {
	kind := "idempotent"
	if r.unsafe {
		kind = "non_idempotent"
	}
	declared := map[string]any{
		"name": r.name, "hostname": r.host, "pathPrefix": r.prefix, "routeKind": kind,
		"timeoutMs": r.deadline.Milliseconds(), "targetLatencyMs": r.target.Milliseconds(), "priority": 1, "attempts": r.attempts,
	}
	if r.single {
		declared["backend"] = r.services[0]
	} else {
		declared["gather"], declared["topK"], declared["minCoverage"] = r.services, r.topK, r.minCoverage
	}
	var services []map[string]any
	for _, name := range r.services {
		services = append(services, service(name, 30))
	}
	return configuration(version, []map[string]any{declared}, services)
}

func service(name string, connections int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": connections, "protocol": "h1", "tls": false}
}

// configuration returns the JSON text of a configuration with the limits of the site.
func configuration(version int, routes, services []map[string]any) string {
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
			"idleTimeoutMs": (15 * time.Second).Milliseconds(),
		},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}
