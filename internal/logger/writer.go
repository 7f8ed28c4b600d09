package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait to be written; more are dropped and counted.
	queuedLines = 1024
	// linesPerSecond bounds the lines that are written: at about 300 bytes a line, 60 KB a
	// second from a host that logs what it decides about every request.
	linesPerSecond = 200
)

// Writer writes lines to an output on a goroutine of its own, so that a slow output
// holds nobody up. Lines beyond a bound are dropped, and their number is written instead.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// mutex guards the second that is under way and the lines accepted in it.
	mutex  sync.Mutex
	second int64
	count  int
	done   chan struct{}
	closed sync.Once
}

// NewWriter returns a Writer; Close ends its goroutine.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes in one line, or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.accept(time.Now().Unix()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// accept counts a line of the second, unless the bound is reached.
func (w *Writer) accept(second int64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if second != w.second {
		w.second, w.count = second, 0
	}
	w.count++
	return w.count <= linesPerSecond
}

// Close writes what waits and ends the goroutine. Nothing may be written after it.
func (w *Writer) Close() {
	w.closed.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			// There is nowhere to report a log that can't be written.
			_, _ = fmt.Fprintf(w.output, "log lines dropped: %d\n", n)
		}
		_, _ = w.output.Write(line)
	}
}
