// Package runner assembles a host from its settings and runs it.
//
// # Usage
//
//	sockets, err := runner.Open(settings.Listen)
//	if err != nil {
//		return err
//	}
//	r, err := runner.New(settings, customers, sockets, loggers)
//	if err != nil {
//		return err
//	}
//	<-stop
//	r.Shutdown()
package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagooncleat/lagooncleat/internal/caller"
	"github.com/lagooncleat/lagooncleat/internal/dialer"
	"github.com/lagooncleat/lagooncleat/internal/exchanger"
	"github.com/lagooncleat/lagooncleat/internal/executor"
	"github.com/lagooncleat/lagooncleat/internal/journaler"
	"github.com/lagooncleat/lagooncleat/internal/listener"
	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/logger"
	"github.com/lagooncleat/lagooncleat/internal/messenger"
	"github.com/lagooncleat/lagooncleat/internal/meter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

const (
	runnerSubsystem    reducer.Subsystem = "runner"
	messengerSubsystem reducer.Subsystem = "messenger"
	// headerTimeout limits reading the header of an HTTP request.
	headerTimeout = 5 * time.Second
)

// Runner runs one host, which is an entry host, a control host or both.
type Runner struct {
	settings  loader.Settings
	logger    hclog.Logger
	host      *executor.Host
	messenger *messenger.Messenger
	caller    *caller.Caller
	exchanger *exchanger.Exchanger
	servers   map[ListenerIndex]*http.Server
	sockets   Sockets
	journal   *journaler.Journaler
	group     sync.WaitGroup
	stopping  atomic.Bool
}

// ListenerIndex identifies a listener of a Runner.
type ListenerIndex int

// The listeners of a Runner.
const (
	Callers ListenerIndex = iota
	BackendServers
	Operators
	Peers
	Readiness
	listenerCount
)

// Sockets are the open listeners of a host, by ListenerIndex. An entry is nil when the
// listener has no address.
type Sockets [listenerCount]net.Listener

// Open opens the listeners that have an address. When it returns an error, none stays open.
func Open(l loader.Listen) (Sockets, error) {
	var sockets Sockets
	for i, address := range []identifier.Address{l.Callers, l.BackendServers, l.Operators, l.Peers, l.Readiness} {
		if address == "" {
			continue
		}
		socket, err := dialer.Listen(address)
		if err != nil {
			sockets.Close()
			return Sockets{}, fmt.Errorf("listen: %w", err)
		}
		sockets[i] = socket
	}
	return sockets, nil
}

// Close closes the listeners that are open.
func (s Sockets) Close() {
	for _, socket := range s {
		if socket != nil {
			socket.Close()
		}
	}
}

// Address returns the address that the listener is bound to.
func (s Sockets) Address(l ListenerIndex) identifier.Address {
	return identifier.Address(s[l].Addr().String())
}

// New starts an entry host on the open sockets. The Runner closes the sockets when it stops.
// When the data folder of a control host can't be used, New closes the sockets and returns
// the error.
func New(s loader.Settings, c loader.CustomersFile, sockets Sockets, loggers *logger.Set) (*Runner, error) {
	r := newRunner(s, sockets, loggers)
	r.caller = caller.New()
	counters := meter.New()
	dependencies := executor.Dependencies{Caller: r.caller, Counters: counters, Loggers: loggers}
	if err := r.openJournal(&dependencies); err != nil {
		sockets.Close()
		return nil, err
	}
	r.host = executor.New(executor.Parameters{
		Reducer: reducer.Parameters{
			Host: s.Host, Domain: s.Domain, Peers: peerHosts(s), ControlHosts: s.Control.Hosts,
		},
		TrafficStates: s.TrafficStates,
		Seed:          uint64(time.Now().UnixNano()),
	}, dependencies)
	r.messenger = messenger.New(messenger.Parameters{Host: s.Host, Peers: peerAddresses(s)},
		r.host.Deliver, loggers.Logger(messengerSubsystem))
	r.host.Start(r.messenger)
	r.host.Deliver(reducer.ConfigurationLoaded{Version: c.Version, Templates: c.Templates, Customers: c.Customers})
	counters.RegisterGauge("lagooncleat_configuration_version", func() float64 {
		return float64(r.host.View().Configuration)
	})
	counters.RegisterGauge("lagooncleat_control_in_touch", func() float64 {
		if r.host.View().Control.InTouch {
			return 1
		}
		return 0
	})
	r.serve(listener.NewCallers(r.host, counters), Callers)
	r.serve(listener.NewBackends(r.host), BackendServers)
	r.serve(listener.NewOperators(s.Host, r.host, r.host, counters, r.Ready), Operators)
	r.servePeers()
	r.logger.Info("entry host started", "host", s.Host, "failure-domain", s.Domain)
	return r, nil
}

func newRunner(s loader.Settings, sockets Sockets, loggers *logger.Set) *Runner {
	return &Runner{
		settings: s, sockets: sockets, logger: loggers.Logger(runnerSubsystem),
		servers: map[ListenerIndex]*http.Server{},
	}
}

func (r *Runner) servePeers() {
	r.group.Go(func() {
		if err := r.messenger.Serve(r.sockets[Peers]); err != nil {
			r.logger.Error("peer listener failed", "error", err)
		}
	})
}

// Deliver delivers an event to the host, as its listeners do.
func (r *Runner) Deliver(e reducer.Event) {
	r.host.Deliver(e)
}

func peerHosts(s loader.Settings) []router.Host {
	hosts := make([]router.Host, 0, len(s.Peers))
	for _, p := range s.Peers {
		hosts = append(hosts, router.Host{ID: p.Host, Domain: p.Domain})
	}
	return hosts
}

func peerAddresses(s loader.Settings) map[identifier.HostID]identifier.Address {
	addresses := map[identifier.HostID]identifier.Address{}
	for _, p := range s.Peers {
		addresses[p.Host] = p.Address
	}
	return addresses
}

func (r *Runner) serve(h http.Handler, l ListenerIndex) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	r.servers[l] = server
	r.group.Go(func() {
		if err := server.Serve(r.sockets[l]); !errors.Is(err, http.ErrServerClosed) {
			r.logger.Error("listener failed", "error", err)
		}
	})
}

// Ready reports whether the host accepts new callers: a configuration is in force, the server
// list is synchronized and no shutdown has begun.
func (r *Runner) Ready() bool {
	return !r.stopping.Load() && r.host.View().Ready()
}

// Address returns the address that the host's listener is bound to.
func (r *Runner) Address(l ListenerIndex) identifier.Address {
	return r.sockets.Address(l)
}

// Shutdown stops the host gracefully. The readiness check fails first, while the listeners
// stay open for the load balancer's delay. Then requests in flight complete, up to the
// shutdown timeout, and the servers that the host owns are handed over to other hosts.
// Shutdown returns when the host has stopped.
func (r *Runner) Shutdown() {
	r.stopping.Store(true)
	r.host.BeginStop()
	r.logger.Info("shutdown began", "host", r.settings.Host)
	time.Sleep(time.Duration(r.settings.Shutdown.BalancerDelayMillis) * time.Millisecond)
	timeout := time.Duration(r.settings.Shutdown.TimeoutMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if callers, ok := r.servers[Callers]; ok {
		if err := callers.Shutdown(ctx); err != nil {
			r.logger.Warn("queries were still in flight at the shutdown timeout", "error", err)
		}
	}
	r.host.Leave(ctx)
	r.Kill()
	r.logger.Info("shutdown done", "host", r.settings.Host)
}

// Kill stops the host immediately, without completing requests or handing over servers, as in
// a crash.
func (r *Runner) Kill() {
	r.stopping.Store(true)
	for _, s := range r.servers {
		s.Close()
	}
	r.sockets[Peers].Close()
	r.messenger.Close()
	r.host.Stop()
	r.closeJournal()
	if r.caller != nil {
		r.caller.Close()
	}
	if r.exchanger != nil {
		r.exchanger.Close()
	}
	r.group.Wait()
}
