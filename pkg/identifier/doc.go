// Package identifier holds the named types for ids and units that every other
// package of lagooncleat shares.
//
// The types are plain strings and integers, so they cost nothing at run time
// and encode as their base type. They exist so that the compiler rejects a
// server id where a service id belongs, and a count of milliseconds where a
// count of microseconds belongs.
//
// # Usage
//
//	at := identifier.Instant(0)
//	deadline := at.Add(50 * identifier.Millisecond)
//	attempt := identifier.AttemptID{Request: "r-1", Sequence: 3}
//	fmt.Println(deadline, attempt)
package identifier
