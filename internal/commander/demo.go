package commander

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/lagooncleat/lagooncleat/internal/demonstrator"
	"github.com/lagooncleat/lagooncleat/internal/logger"
)

const (
	// readyTimeout bounds the wait until a demo query is answered in full.
	readyTimeout = 20 * time.Second
	// readyInterval separates the tries.
	readyInterval = 50 * time.Millisecond
)

// demoCommand runs entry hosts and fake backend servers in one process.
type demoCommand struct {
	streams Streams
	once    bool
	level   string
}

// Name returns the name of the subcommand.
func (*demoCommand) Name() string { return "demo" }

// Synopsis returns one line about the subcommand.
func (*demoCommand) Synopsis() string { return "try lagooncleat with fake backend servers" }

// Usage returns the help text.
func (*demoCommand) Usage() string {
	return `demo [--once] [--log-level LEVEL]
  Starts three entry hosts and fake backend servers in this process, answers one
  query and prints the answer. Without --once it then stays up until SIGTERM or
  SIGINT.

  Example: lagooncleat demo --once
`
}

// SetFlags declares the flags.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.once, "once", false, "exit after one answer")
	f.StringVar(&c.level, "log-level", "warn", "what to log: trace, debug, info, warn, error or off")
}

// Execute runs the subcommand.
func (c *demoCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return usage(c.streams, c)
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	loggers, err := logger.New(c.streams.Errors, logger.Parameters{Level: c.level})
	if err != nil {
		return c.streams.fail(err)
	}
	d, err := demonstrator.New(demonstrator.Demo(), loggers)
	if err != nil {
		return c.streams.fail(err)
	}
	defer d.Close()
	answer, err := c.ask(stop, d)
	if err != nil {
		return c.streams.fail(err)
	}
	fmt.Fprint(c.streams.Output, answer)
	if c.once {
		return subcommands.ExitSuccess
	}
	for i, h := range d.Hosts {
		fmt.Fprintf(c.streams.Output, "entry host %d: callers http://%s, operators http://%s\n",
			i+1, h.Address(demonstrator.Callers), h.Address(demonstrator.Operators))
	}
	<-stop.Done()
	return subcommands.ExitSuccess
}

// ask repeats a query until all backend servers have announced themselves and
// the answer is full.
func (c *demoCommand) ask(stop context.Context, d *demonstrator.Deployment) (string, error) {
	ctx, cancel := context.WithTimeout(stop, readyTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/customers/demo/queries", d.Hosts[0].Address(demonstrator.Callers))
	for {
		answer, status, err := post(ctx, url, `{"work":"lookup","timeout-ms":1000,"min-coverage":1}`)
		if err == nil && status == http.StatusOK {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no full answer within %s; the last was: %s", readyTimeout, answer)
		case <-time.After(readyInterval):
		}
	}
}

func post(ctx context.Context, url, body string) (string, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), response.StatusCode, err
}
