package commander

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/internal/executor"
	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/logger"
	"github.com/lagooncleat/lagooncleat/internal/runner"
	"github.com/lagooncleat/lagooncleat/platform"
)

// serveCommand runs an entry host until SIGTERM or SIGINT.
type serveCommand struct {
	streams  Streams
	settings string
}

// Name returns the name of the subcommand.
func (*serveCommand) Name() string { return "serve" }

// Synopsis returns one line about the subcommand.
func (*serveCommand) Synopsis() string { return "run an entry host" }

// Usage returns the help text.
func (*serveCommand) Usage() string {
	return `serve --settings FILE
  Runs an entry host until SIGTERM or SIGINT, then shuts it down without cutting
  off a request. The settings are checked in full before anything starts.

  Example: lagooncleat serve --settings examples/hangar/hangar-1.yaml
`
}

// SetFlags declares the flags.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the settings file")
}

// Execute runs the subcommand.
func (c *serveCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		return usage(c.streams, c)
	}
	// Before anything else: a SIGHUP that nobody waits for would end the process.
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	settings, err := loader.LoadSettings(c.settings)
	if err != nil {
		return c.streams.fail(err)
	}
	output := c.streams.Output
	var customers loader.CustomersFile
	if settings.Fleet == nil {
		output = c.streams.Errors
		if customers, err = loader.LoadCustomers(settings.Customers); err != nil {
			return c.streams.fail(err)
		}
	}
	writer := logger.NewWriter(output)
	defer writer.Close()
	loggers, err := logger.New(writer, logger.Parameters{
		Level: settings.Logs.Level, Subsystems: settings.Logs.Subsystems, JSON: settings.Logs.JSON,
	})
	if err != nil {
		return c.streams.fail(err)
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	sockets, err := runner.Open(settings.Listen)
	if err != nil {
		return c.streams.fail(err)
	}
	r, err := start(settings, customers, sockets, loggers)
	if err != nil {
		return c.streams.fail(err)
	}
	c.reload(stop, changed, r)
	r.Shutdown()
	return subcommands.ExitSuccess
}

// start starts the host on the sockets, which are closed when it returns an error.
func start(s loader.Settings, c loader.CustomersFile, sockets runner.Sockets, loggers *logger.Set) (*runner.Runner, error) {
	if s.Fleet != nil {
		return runner.NewFleet(s, adapter(), sockets, loggers)
	}
	return runner.New(s, c, sockets, loggers)
}

// reload takes the settings in again after each signal of a change until the host is to stop.
func (c *serveCommand) reload(stop context.Context, changed <-chan os.Signal, r *runner.Runner) {
	for {
		select {
		case <-stop.Done():
			return
		case <-changed:
		}
		settings, err := loader.LoadSettings(c.settings)
		if err != nil {
			fmt.Fprintf(c.streams.Errors, "settings not reloaded: %v\n", err)
			continue
		}
		r.Reload(settings)
	}
}

// adapter returns the protocol of the platform that fleets run on.
func adapter() runner.Adapter {
	return runner.Adapter{
		Clients:     func(h *executor.Host) http.Handler { return platform.NewFront(h) },
		Control:     func(h *executor.Host, l hclog.Logger) http.Handler { return platform.NewControl(h, l) },
		Readiness:   platform.NewReadiness,
		Codec:       platform.Codec{},
		Interpreter: platform.ReadDeclaration,
	}
}
