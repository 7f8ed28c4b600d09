//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
	start  time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), start: time.Now()}, nil
}

// write adds a line with the time since the start, in seconds.
func (r *record) write(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.writer, format+"\n", arguments...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.writer.Flush()
	r.file.Close()
}
