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

// serveCommand runs a host, which is an entry host, a control host or both, until SIGTERM or
// SIGINT.
type serveCommand struct {
	streams      Streams
	settingsFile string
}

func (*serveCommand) Name() string { return "serve" }

func (*serveCommand) Synopsis() string { return "run a host" }

func (*serveCommand) Usage() string {
	return `serve --settings FILE
  Runs an entry or control host. On SIGTERM or SIGINT it shuts down gracefully, and
  requests in flight complete first, up to the shutdown timeout. The settings are
  validated completely before anything starts.

  Example: lagooncleat serve --settings examples/hangar/hangar-1.yaml
`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file")
}

func (c *serveCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsFile == "" || f.NArg() > 0 {
		return printUsage(c.streams, c)
	}
	// Register first: without a handler, a SIGHUP during startup ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, err := loader.LoadSettings(c.settingsFile)
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
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	listeners, err := runner.OpenListeners(settings.Listen)
	if err != nil {
		return c.streams.fail(err)
	}
	r, err := start(settings, customers, listeners, loggers)
	if err != nil {
		return c.streams.fail(err)
	}
	c.reloadOnSignal(ctx, hangups, r)
	r.Shutdown()
	return subcommands.ExitSuccess
}

// start starts the host on the listeners. It closes the listeners if it returns an error.
func start(s loader.Settings, c loader.CustomersFile, listeners runner.Listeners, loggers *logger.Set) (*runner.Runner, error) {
	if s.Fleet != nil {
		return runner.NewFleet(s, platformAdapter(), listeners, loggers)
	}
	return runner.New(s, c, listeners, loggers)
}

// reloadOnSignal reloads the settings file after each SIGHUP until the context is done.
// If the file is invalid, the host keeps its current settings.
func (c *serveCommand) reloadOnSignal(ctx context.Context, hangups <-chan os.Signal, r *runner.Runner) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := loader.LoadSettings(c.settingsFile)
		if err != nil {
			fmt.Fprintf(c.streams.Errors, "settings not reloaded: %v\n", err)
			continue
		}
		r.Reload(settings)
	}
}

// platformAdapter returns the handlers and codecs for the protocol of the platform that
// fleets run on.
func platformAdapter() runner.Adapter {
	return runner.Adapter{
		Control: func(h *executor.Host, f *loader.Fleet, l hclog.Logger) http.Handler {
			return platform.NewControlHandler(platform.ControlParameters{
				Regions: f.KnownRegions(), Evacuation: f.EvacuationMillis > 0,
			}, h, l)
		},
		Clients:     func(h *executor.Host) http.Handler { return platform.NewClientHandler(h) },
		Readiness:   platform.NewReadinessHandler,
		Codec:       platform.Codec{},
		Interpreter: platform.ParseDeclaration,
	}
}
