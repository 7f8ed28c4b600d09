//go:build review

// Command rig runs the cases of the review that are scripts: it starts a small deployment of the programs
// under review on loopback addresses, with stand-ins for clients, backend servers, the operator and the
// platform, and checks one rule.
//
// # Usage
//
//	rig CASE ROOT FOLDER TROUBLE
//
// It writes FOLDER/record.txt and exits with 0 if the rule held, 1 if it was broken and 2 if the case could
// not run. With 0 for TROUBLE it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){
	"too-many-attempts": tooManyAttempts,
	"address-taken":     addressTaken,
	"late-bytes":        lateBytes,
	"spoiled-answers":   spoiledAnswers,
	"leave-forgotten":   leaveForgotten,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT FOLDER TROUBLE")
		return 2
	}
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	f, err := newFleet(os.Args[2], r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	broken, err := cases[os.Args[1]](f, os.Args[4] != "0")
	if err != nil {
		r.write("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range broken {
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		r.write("RESULT: the rule was broken %d times", len(broken))
		return 1
	}
	r.write("RESULT: the rule held")
	return 0
}
