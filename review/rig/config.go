//go:build review

package main

import (
	"encoding/json"
	"time"
)

// routesConfig returns a configuration with some routes.
func routesConfig(version int, routes ...route) string {
	var declared, services []map[string]any
	for _, r := range routes {
		declared = append(declared, r.declaration())
		for _, name := range r.services {
			services = append(services, service(name, 30))
		}
	}
	return configuration(version, declared, services)
}

func (t *route) declaration() map[string]any {
	kind := "idempotent"
	if t.unsafe {
		kind = "non_idempotent"
	}
	declared := map[string]any{
		"name": t.name, "hostname": t.host, "pathPrefix": t.prefix, "routeKind": kind,
		"timeoutMs": t.deadline.Milliseconds(), "targetLatencyMs": t.target.Milliseconds(), "priority": 1, "attempts": t.attempts,
	}
	if t.single {
		declared["backend"] = t.services[0]
	} else {
		declared["gather"], declared["topK"], declared["minCoverage"] = t.services, t.topK, t.minCoverage
	}
	return declared
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
