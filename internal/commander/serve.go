package commander

import (
	"context"
	"flag"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/logger"
	"github.com/lagooncleat/lagooncleat/internal/runner"
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

  Example: lagooncleat serve --settings _fixtures/hangar/h-1.yaml
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
	settings, err := loader.LoadSettings(c.settings)
	if err != nil {
		return c.streams.fail(err)
	}
	customers, err := loader.LoadCustomers(settings.Customers)
	if err != nil {
		return c.streams.fail(err)
	}
	loggers, err := logger.New(c.streams.Errors, logger.Parameters{
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
	r, err := runner.New(settings, customers, sockets, loggers)
	if err != nil {
		return c.streams.fail(err)
	}
	<-stop.Done()
	r.Shutdown()
	return subcommands.ExitSuccess
}
