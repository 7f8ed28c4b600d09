// Package identifier defines the named types for ids and units that the other
// packages of lagooncleat share.
//
// Ids and units are strings and numbers underneath, so they add no run-time cost and
// are encoded like their underlying type. Being distinct types, they let the compiler
// reject a server id where a service id is expected, or a count of milliseconds where
// a count of microseconds is expected.
//
// # Usage
//
//	at := identifier.Instant(0)
//	deadline := at.Add(50 * identifier.Millisecond)
//	attempt := identifier.AttemptID{Request: "r-1", Sequence: 3}
//	fmt.Println(deadline, attempt)
package identifier
