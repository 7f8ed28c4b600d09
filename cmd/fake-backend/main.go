// Command fake-backend runs fake backend servers for tests and experiments.
//
// # Usage
//
//	fake-backend --settings FILE
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/internal/faker"
	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

func main() {
	settings := flag.String("settings", "", "the settings file")
	flag.Parse()
	if err := run(*settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts the servers of a settings file and stops them on SIGTERM or SIGINT.
func run(file string) error {
	if file == "" {
		return errors.New("usage: fake-backend --settings FILE")
	}
	settings, err := loader.LoadFakeServers(file)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	logger := hclog.New(&hclog.LoggerOptions{Name: "fake-backend", Output: os.Stderr, Level: hclog.Info})
	for _, s := range settings.Servers {
		server, err := faker.New(parameters(settings, s), logger)
		if err != nil {
			return err
		}
		defer server.Close()
	}
	<-ctx.Done()
	return nil
}

func parameters(f loader.FakeServers, s loader.FakeServer) faker.Parameters {
	return faker.Parameters{
		Server: s.Server, Incarnation: s.Incarnation, Service: s.Service, Domain: s.Domain,
		Listen: s.Listen, Announce: f.Announce, Slots: s.Slots, Connections: s.Connections, Queue: s.Queue,
		ServiceTime:     time.Duration(s.ServiceMillis * float64(time.Millisecond)),
		ConnectionSetup: time.Duration(s.ConnectionSetupMillis * float64(time.Millisecond)),
		Holdings:        []leaser.Holding{{Epoch: s.Epoch, Range: s.Range, Versions: s.Versions}},
		Seed:            s.Seed,
	}
}
