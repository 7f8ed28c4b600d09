//go:build review

// Command rig-2 plays the scripted cases of the second review: it starts the real programs with the settings of a
// small deployment, and stand-ins of backend servers, clients and the operator on loopback addresses.
//
// # Usage
//
//	rig-2 CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. TROUBLE=0 in the environment
// leaves the disruption out.
package main
