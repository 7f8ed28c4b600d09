// Package explainer reconstructs the timeline of one request from the logs of several
// processes.
//
// It reads the format that package logger writes, text or JSON. A timeline holds the log
// lines that name the request, and the lines about the backend servers involved in it, such
// as changes of their state, from shortly before the request until its end. Lines that can't
// be parsed are counted.
//
// # Usage
//
//	timeline, err := explainer.Explain("9c41d07b", []explainer.Source{{Name: "front-1.log", Reader: file}})
//	timeline.Print(os.Stdout)
package explainer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes is the maximum length of a line. A longer line is skipped and counted as
	// malformed.
	maxLineBytes = 1 << 20
	// serverEventLookback is how far back from the request's first line a timeline includes
	// events of its servers. It is several times the longest delay until a host receives
	// updates from other hosts.
	serverEventLookback = 5 * time.Second
)

// Source is the log of one process.
type Source struct {
	Name   string
	Reader io.Reader
}

// Line is one parsed line of a log.
type Line struct {
	Source  string
	At      time.Time
	Level   string
	Message string
	Fields  []Field
}

// Field is a key and a value in a log line.
type Field struct{ Name, Value string }

// field returns the value of the named field, or an empty string if there is none.
func (l *Line) field(name string) string {
	if i := slices.IndexFunc(l.Fields, func(f Field) bool { return f.Name == name }); i >= 0 {
		return l.Fields[i].Value
	}
	return ""
}

// servers returns the IDs of the backend servers that the line names.
func (l *Line) servers() []string {
	var servers []string
	for _, name := range []string{"server", "tried", "refused", "waiting-for"} {
		servers = append(servers, strings.Fields(l.field(name))...)
	}
	return servers
}

// Timeline holds the log lines that explain the outcome of a request.
type Timeline struct {
	Request string
	// Lines are the lines that name the request, and ServerEvents the lines about the backend
	// servers involved in it, both in chronological order.
	Lines        []Line
	ServerEvents []Line
	// Malformed is the number of lines that could not be parsed.
	Malformed int
}

// UnknownRequestError reports that no log line names the request.
type UnknownRequestError struct {
	Request   string
	Malformed int
}

// Error returns a message with the request and the number of malformed lines.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("explainer: no line names request %q; %d lines could not be read", e.Request, e.Malformed)
}

// Explain reads the logs and returns the timeline of the request. It returns an
// *UnknownRequestError if no line names the request.
func Explain(request string, sources []Source) (Timeline, error) {
	timeline := Timeline{Request: request}
	var serverEvents []Line
	for _, s := range sources {
		malformed, err := read(s, func(l Line) {
			switch {
			case l.field("client-request") == request:
				timeline.Lines = append(timeline.Lines, l)
			case l.field("client-request") == "" && l.field("server") != "":
				serverEvents = append(serverEvents, l)
			}
		})
		if err != nil {
			return Timeline{}, fmt.Errorf("explainer: read %s: %w", s.Name, err)
		}
		timeline.Malformed += malformed
	}
	if len(timeline.Lines) == 0 {
		return Timeline{}, &UnknownRequestError{Request: request, Malformed: timeline.Malformed}
	}
	timeline.selectServerEvents(serverEvents)
	return timeline, nil
}

// read calls handle for each line of a log and returns the number of malformed lines.
func read(s Source, handle func(Line)) (malformed int, err error) {
	r := bufio.NewReaderSize(s.Reader, maxLineBytes)
	for {
		text, tooLong, err := r.ReadLine()
		for rest := tooLong; rest && err == nil; {
			_, rest, err = r.ReadLine()
		}
		if errors.Is(err, io.EOF) {
			return malformed, nil
		}
		if err != nil {
			return malformed, err
		}
		l, ok := parseLine(text)
		if tooLong || !ok {
			malformed++
			continue
		}
		l.Source = s.Name
		handle(l)
	}
}

// selectServerEvents sorts the request's lines and adds the events that may have affected the
// request: those of its servers, from serverEventLookback before its first line to its last
// line.
func (t *Timeline) selectServerEvents(events []Line) {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(t.Lines, byTime)
	involved := map[string]bool{}
	for i := range t.Lines {
		for _, id := range t.Lines[i].servers() {
			involved[id] = true
		}
	}
	first, last := t.Lines[0].At.Add(-serverEventLookback), t.Lines[len(t.Lines)-1].At
	for _, l := range events {
		if involved[l.field("server")] && !l.At.Before(first) && !l.At.After(last) {
			t.ServerEvents = append(t.ServerEvents, l)
		}
	}
	slices.SortStableFunc(t.ServerEvents, byTime)
}

// Print writes the timeline as text.
func (t *Timeline) Print(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %d lines of %d processes\n", t.Request, len(t.Lines), t.processCount())
	text.WriteString("times are of each process's own clock, in ms after the first line; clocks may differ\n")
	for i := range t.Lines {
		t.printLine(&text, &t.Lines[i])
	}
	if len(t.ServerEvents) > 0 {
		fmt.Fprintf(&text, "what processes came to believe of its servers, from %s before:\n", serverEventLookback)
		for i := range t.ServerEvents {
			t.printLine(&text, &t.ServerEvents[i])
		}
	}
	if t.Malformed > 0 {
		fmt.Fprintf(&text, "%d lines could not be read\n", t.Malformed)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (t *Timeline) printLine(w io.Writer, l *Line) {
	offsetMillis := float64(l.At.Sub(t.Lines[0].At).Microseconds()) / 1000
	fmt.Fprintf(w, "%+10.3f  %-5s %s  %s", offsetMillis, l.Level, l.Source, l.Message)
	for _, f := range l.Fields {
		if f.Name != "client-request" {
			fmt.Fprintf(w, " %s=%s", f.Name, quote(f.Value))
		}
	}
	fmt.Fprintln(w)
}

func (t *Timeline) processCount() int {
	names := map[string]bool{}
	for i := range t.Lines {
		names[t.Lines[i].Source] = true
	}
	return len(names)
}
