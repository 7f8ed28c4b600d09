// Package logger creates an hclog logger for each subsystem.
//
// All loggers write to the same output. They share one level, which can be
// overridden for individual subsystems.
//
// # Usage
//
//	s, err := logger.New(os.Stderr, logger.Parameters{Level: "info"})
//	s.Logger("membership").Info("entry host is live", "host", "h-1")
package logger

import (
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/pkg/reducer"
)

// Parameters holds the levels and the format of the loggers.
type Parameters struct {
	// Level is trace, debug, info, warn, error or off; empty means info.
	Level string
	// Subsystems maps names of subsystems to the levels that override Level.
	Subsystems map[string]string
	// JSON selects lines in JSON format in place of text.
	JSON bool
}

// InvalidLevelError reports an unknown log level.
type InvalidLevelError struct {
	Level string
}

// Error returns a message with the level and the valid levels.
func (e *InvalidLevelError) Error() string {
	return fmt.Sprintf("log level %q is none of trace, debug, info, warn, error, off", e.Level)
}

// Set holds the loggers of all subsystems and creates them on first use. It is safe for
// concurrent use.
type Set struct {
	root    hclog.Logger
	levels  map[string]hclog.Level
	mutex   sync.Mutex
	loggers map[reducer.Subsystem]hclog.Logger
}

// New returns a Set that writes to the output. It returns an *InvalidLevelError for an
// unknown level.
func New(output io.Writer, p Parameters) (*Set, error) {
	level, err := parseLevel(p.Level)
	if err != nil {
		return nil, err
	}
	s := &Set{levels: map[string]hclog.Level{}, loggers: map[reducer.Subsystem]hclog.Logger{}}
	for name, text := range p.Subsystems {
		if s.levels[name], err = parseLevel(text); err != nil {
			return nil, err
		}
	}
	s.root = hclog.New(&hclog.LoggerOptions{
		Name:              "lagooncleat",
		Output:            output,
		Level:             level,
		JSONFormat:        p.JSON,
		IndependentLevels: true,
	})
	return s, nil
}

func parseLevel(text string) (hclog.Level, error) {
	if text == "" {
		return hclog.Info, nil
	}
	level := hclog.LevelFromString(text)
	if level == hclog.NoLevel {
		return level, &InvalidLevelError{Level: text}
	}
	return level, nil
}

// Logger returns the logger of the subsystem.
func (s *Set) Logger(name reducer.Subsystem) hclog.Logger {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if l, ok := s.loggers[name]; ok {
		return l
	}
	l := s.root.Named(string(name))
	if level, ok := s.levels[string(name)]; ok {
		l.SetLevel(level)
	}
	s.loggers[name] = l
	return l
}
