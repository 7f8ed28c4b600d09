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
	// readyTimeout limits the wait for the first complete answer.
	readyTimeout = 20 * time.Second
	// readyRetryInterval is the pause between two queries.
	readyRetryInterval = 50 * time.Millisecond
)

// demoCommand runs entry hosts and fake backend servers in one process.
type demoCommand struct {
	streams  Streams
	once     bool
	logLevel string
}

func (*demoCommand) Name() string { return "demo" }

func (*demoCommand) Synopsis() string { return "run a demo with fake backend servers" }

func (*demoCommand) Usage() string {
	return `demo [--once] [--log-level LEVEL]
  Starts three entry hosts and fake backend servers in this process, sends one query
  and prints the answer. Without --once it then keeps running until SIGTERM or SIGINT.

  Example: lagooncleat demo --once
`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.once, "once", false, "exit after one answer")
	f.StringVar(&c.logLevel, "log-level", "warn", "log level: trace, debug, info, warn, error or off")
}

func (c *demoCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return printUsage(c.streams, c)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	loggers, err := logger.New(c.streams.Errors, logger.Parameters{Level: c.logLevel})
	if err != nil {
		return c.streams.fail(err)
	}
	d, err := demonstrator.New(demonstrator.Demo(), loggers)
	if err != nil {
		return c.streams.fail(err)
	}
	defer d.Close()
	answer, err := c.awaitAnswer(ctx, d)
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
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// awaitAnswer repeats a query until the answer is complete. Queries fail until backend
// servers of all services have announced themselves.
func (c *demoCommand) awaitAnswer(parent context.Context, d *demonstrator.Deployment) (string, error) {
	ctx, cancel := context.WithTimeout(parent, readyTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/customers/demo/queries", d.Hosts[0].Address(demonstrator.Callers))
	for {
		answer, status, err := post(ctx, url, `{"work":"lookup","timeout-ms":1000,"min-coverage":1}`)
		if err == nil && status == http.StatusOK {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no complete answer within %s; last response: %s", readyTimeout, answer)
		case <-time.After(readyRetryInterval):
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
