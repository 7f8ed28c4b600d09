package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the capacity of the queue of lines to write. When it is full, lines are
	// dropped and counted.
	maxQueuedLines = 1024
	// maxLinesPerSecond limits the lines that are written. A host that logs its decisions about
	// every request writes at most 60 KB/s, at about 300 bytes a line.
	maxLinesPerSecond = 200
)

// Writer writes lines to an output asynchronously, so that a slow output does not block
// callers. When a limit is exceeded it drops lines and writes the number of dropped lines
// to the output.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// mutex guards currentSecond and linesInSecond.
	mutex         sync.Mutex
	currentSecond int64
	linesInSecond int
	done          chan struct{}
	closeOnce     sync.Once
}

// NewWriter returns a Writer and starts its goroutine, which Close stops.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if a limit is exceeded. It never blocks and never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow(time.Now().Unix()) {
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

// allow counts a line of the given second, in Unix time, and reports whether it is within
// the limit.
func (w *Writer) allow(second int64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if second != w.currentSecond {
		w.currentSecond, w.linesInSecond = second, 0
	}
	w.linesInSecond++
	return w.linesInSecond <= maxLinesPerSecond
}

// Close writes the queued lines and stops the goroutine. Write must not be called after
// Close.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			// Write errors are ignored: there is nowhere else to report them.
			_, _ = fmt.Fprintf(w.output, "log lines dropped: %d\n", n)
		}
		_, _ = w.output.Write(line)
	}
}
