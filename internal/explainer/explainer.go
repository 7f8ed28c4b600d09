// Package explainer tells the story of one request from the logs of several processes.
//
// It reads lines as package logger writes them, as text or as JSON. A story holds the lines
// that name the request, and those that say what processes came to believe of the servers
// which the request met, from shortly before until its end. Lines that are no log lines
// are counted.
//
// # Usage
//
//	story, err := explainer.Explain("9c41d07b", []explainer.Source{{Name: "front-1.log", Reader: file}})
//	story.Print(os.Stdout)
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
	// maxLine bounds the bytes of a line; a longer one is skipped and counted as malformed.
	maxLine = 1 << 20
	// beliefSpan is how long before the request's first line a belief about its servers is told:
	// the longest time in which a host learns what others know, some times over.
	beliefSpan = 5 * time.Second
)

// Source is the log of one process.
type Source struct {
	Name   string
	Reader io.Reader
}

// Line is a line of a log.
type Line struct {
	Source  string
	At      time.Time
	Level   string
	Message string
	Fields  []Field
}

// Field is a named value of a line.
type Field struct{ Name, Value string }

// field returns the value of a field; it is empty without one.
func (l *Line) field(name string) string {
	if i := slices.IndexFunc(l.Fields, func(f Field) bool { return f.Name == name }); i >= 0 {
		return l.Fields[i].Value
	}
	return ""
}

// servers returns the backend servers that the line names.
func (l *Line) servers() []string {
	var servers []string
	for _, name := range []string{"server", "tried", "refused", "waiting-for"} {
		servers = append(servers, strings.Fields(l.field(name))...)
	}
	return servers
}

// Story is what the logs say about a request.
type Story struct {
	Request string
	// Lines are about the request, and Beliefs about the servers that it met; both in order of time.
	Lines   []Line
	Beliefs []Line
	// Malformed counts the lines that could not be read.
	Malformed int
}

// UnknownRequestError reports a request that no line names.
type UnknownRequestError struct {
	Request   string
	Malformed int
}

// Error says that the request is unknown and how many lines could not be read.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("explainer: no line names request %q; %d lines could not be read", e.Request, e.Malformed)
}

// Explain reads the logs and returns the request's story. It returns an
// *UnknownRequestError when no line names the request.
func Explain(request string, sources []Source) (Story, error) {
	story := Story{Request: request}
	var beliefs []Line
	for _, s := range sources {
		malformed, err := read(s, func(l Line) {
			switch {
			case l.field("client-request") == request:
				story.Lines = append(story.Lines, l)
			case l.field("client-request") == "" && l.field("server") != "":
				beliefs = append(beliefs, l)
			}
		})
		if err != nil {
			return Story{}, fmt.Errorf("explainer: read %s: %w", s.Name, err)
		}
		story.Malformed += malformed
	}
	if len(story.Lines) == 0 {
		return Story{}, &UnknownRequestError{Request: request, Malformed: story.Malformed}
	}
	story.choose(beliefs)
	return story, nil
}

// read gives each line of a log to the function and counts those that it can't read.
func read(s Source, take func(Line)) (malformed int, err error) {
	r := bufio.NewReaderSize(s.Reader, maxLine)
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
		l, ok := parse(text)
		if tooLong || !ok {
			malformed++
			continue
		}
		l.Source = s.Name
		take(l)
	}
}

// choose keeps the beliefs that may have decided about the request.
func (s *Story) choose(beliefs []Line) {
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(s.Lines, byTime)
	met := map[string]bool{}
	for i := range s.Lines {
		for _, id := range s.Lines[i].servers() {
			met[id] = true
		}
	}
	first, last := s.Lines[0].At.Add(-beliefSpan), s.Lines[len(s.Lines)-1].At
	for _, l := range beliefs {
		if met[l.field("server")] && !l.At.Before(first) && !l.At.After(last) {
			s.Beliefs = append(s.Beliefs, l)
		}
	}
	slices.SortStableFunc(s.Beliefs, byTime)
}

// Print writes the story as text.
func (s *Story) Print(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %d lines of %d processes\n", s.Request, len(s.Lines), s.processes())
	text.WriteString("times are of each process's own clock, in ms after the first line; clocks may differ\n")
	for i := range s.Lines {
		s.printLine(&text, &s.Lines[i])
	}
	if len(s.Beliefs) > 0 {
		fmt.Fprintf(&text, "what processes came to believe of its servers, from %s before:\n", beliefSpan)
		for i := range s.Beliefs {
			s.printLine(&text, &s.Beliefs[i])
		}
	}
	if s.Malformed > 0 {
		fmt.Fprintf(&text, "%d lines could not be read\n", s.Malformed)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (s *Story) printLine(w io.Writer, l *Line) {
	after := float64(l.At.Sub(s.Lines[0].At).Microseconds()) / 1000
	fmt.Fprintf(w, "%+10.3f  %-5s %s  %s", after, l.Level, l.Source, l.Message)
	for _, f := range l.Fields {
		if f.Name != "client-request" {
			fmt.Fprintf(w, " %s=%s", f.Name, quote(f.Value))
		}
	}
	fmt.Fprintln(w)
}

func (s *Story) processes() int {
	names := map[string]bool{}
	for i := range s.Lines {
		names[s.Lines[i].Source] = true
	}
	return len(names)
}
