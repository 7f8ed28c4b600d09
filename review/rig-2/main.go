//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// limit is the longest time that a case may take.
	limit = 110 * time.Second
)

// recorder writes lines with the time since the start of the case.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) printf(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// scenario is a case. It returns whether the rule held.
type scenario func(r *recorder, trouble bool) (bool, error)

var scenarios = map[string]scenario{}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		return exitFailed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	r := &recorder{file: file, start: time.Now()}
	go func() {
		time.Sleep(limit)
		r.printf("the case takes too long")
		endProcesses()
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, with the disruption: %t", os.Args[1], trouble)
	held, err := scenarios[os.Args[1]](r, trouble)
	endProcesses()
	switch {
	case err != nil:
		r.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case !held:
		r.printf("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	r.printf("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
