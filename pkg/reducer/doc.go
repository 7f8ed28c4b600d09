// Package reducer is the core of an entry host: one reducer over all events,
// with effects as data.
//
// State.Reduce takes an instant and an Event and returns the Effects that follow
// from it. It is deterministic: time, random seeds and every reply come in as
// events, and it imports neither network, files, clocks, encoders nor loggers.
// Logs and metrics are effects too.
//
// Events come in families, one file each: process, membership, configuration,
// queries and slots. Event, Effect and each family are sealed interfaces; the
// reducer chooses by type switch.
//
// An entry host runs one State for control, on one goroutine, and several for
// traffic, on others. Control publishes an immutable View, which the traffic
// states receive as an event. States talk to each other only by events, within a
// host and between hosts: the Send effect carries events to another host.
//
// # Usage
//
//	s := reducer.New(reducer.Parameters{Host: "h-1", Domain: "fd-1"})
//	effects := s.Reduce(at, reducer.QueryArrived{Request: "r-1"})
//	for _, e := range effects {
//		switch e := e.(type) {
//		case reducer.Reply:
//			...
//		}
//	}
package reducer
