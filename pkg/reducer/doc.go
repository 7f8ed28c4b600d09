// Package reducer is the core of an entry host: one reducer over all events,
// with effects as data.
//
// State.Reduce takes the current time and an Event and returns the resulting
// Effects. It is deterministic: time, random seeds and replies arrive as events,
// and the package imports no network, file, clock, encoder or logger code. Logs
// and metrics are effects too.
//
// Events are grouped in families, such as process, membership, configuration,
// query and slot events. Event, Effect and each family are sealed interfaces; the
// reducer dispatches by type switch.
//
// An entry host runs one State for control, on one goroutine, and several for
// traffic, on others. Control publishes an immutable View, which the traffic
// states receive as an event. States communicate only by events, within a host
// and between hosts: the Send effect delivers an event to another host.
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
