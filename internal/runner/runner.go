// Package runner assembles a host from its settings and runs it.
//
// # Usage
//
//	listeners, err := runner.OpenListeners(settings.Listen)
//	if err != nil {
//		return err
//	}
//	r, err := runner.New(settings, customers, listeners, loggers)
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
	"math/rand/v2"
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
	"github.com/lagooncleat/lagooncleat/internal/ranger"
	"github.com/lagooncleat/lagooncleat/internal/screener"
	"github.com/lagooncleat/lagooncleat/internal/stopper"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reducer"
	"github.com/lagooncleat/lagooncleat/pkg/router"
)

const (
	runnerSubsystem    reducer.Subsystem = "runner"
	messengerSubsystem reducer.Subsystem = "messenger"
)

// Runner runs one host, which is an entry host, a control host or both.
type Runner struct {
	settings  loader.Settings
	logger    hclog.Logger
	host      *executor.Host
	messenger *messenger.Messenger
	caller    *caller.Caller
	exchanger *exchanger.Exchanger
	servers   map[ListenerIndex]*stopper.Server
	screeners [listenerCount]*screener.Screener
	listeners Listeners
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
	Metrics
	listenerCount
)

// Listeners holds the open listeners of a host, by ListenerIndex. An entry is nil when the
// listener has no address.
type Listeners [listenerCount]net.Listener

// OpenListeners opens the listeners that have an address. When it returns an error, none stays
// open.
func OpenListeners(l loader.Listen) (Listeners, error) {
	var listeners Listeners
	for i, address := range []identifier.Address{l.Callers, l.BackendServers, l.Operators, l.Peers, l.Readiness, l.Metrics} {
		if address == "" {
			continue
		}
		opened, err := dialer.Listen(address)
		if err != nil {
			listeners.Close()
			return Listeners{}, fmt.Errorf("listen: %w", err)
		}
		listeners[i] = opened
	}
	return listeners, nil
}

// Close closes the listeners that are open.
func (l Listeners) Close() {
	for _, opened := range l {
		if opened != nil {
			opened.Close()
		}
	}
}

// Address returns the address that the listener is bound to.
func (l Listeners) Address(i ListenerIndex) identifier.Address {
	return identifier.Address(l[i].Addr().String())
}

// New starts an entry host on the open listeners. The Runner closes the listeners when it
// stops. When the data folder of a control host can't be used, New closes the listeners and
// returns the error.
func New(s loader.Settings, c loader.CustomersFile, listeners Listeners, loggers *logger.Set) (*Runner, error) {
	r := newRunner(s, listeners, loggers)
	r.caller = caller.New()
	metrics := meter.New()
	dependencies := executor.Dependencies{Caller: r.caller, Metrics: metrics, Loggers: loggers}
	if err := r.openJournal(&dependencies); err != nil {
		listeners.Close()
		return nil, err
	}
	process := newProcessID()
	r.host = executor.New(executor.Parameters{
		Reducer: reducer.Parameters{
			Host: s.Host, Domain: s.Domain, Process: process, Peers: peerHosts(s), ControlHosts: s.Control.Hosts,
		},
		TrafficStates: s.TrafficStates,
		Seed:          uint64(time.Now().UnixNano()),
	}, dependencies)
	r.messenger = messenger.New(messenger.Parameters{Host: s.Host, Process: process, Peers: peerAddresses(s)},
		r.host.Deliver, loggers.Logger(messengerSubsystem))
	r.host.Start(r.messenger)
	r.host.Deliver(reducer.ConfigurationLoaded{Version: c.Version, Templates: c.Templates, Customers: c.Customers})
	r.serve(listener.NewCallers(r.host, metrics), Callers)
	r.serve(listener.NewBackends(r.host), BackendServers)
	r.serveOperators(metrics)
	r.servePeers()
	r.logger.Info("entry host started", "host", s.Host, "failure-domain", s.Domain)
	return r, nil
}

// newProcessID returns the ID of this process.
func newProcessID() identifier.ProcessID {
	return identifier.NewProcessID(identifier.Instant(time.Now().UnixMicro()), rand.Uint64())
}

func newRunner(s loader.Settings, listeners Listeners, loggers *logger.Set) *Runner {
	limitMemory(s)
	r := &Runner{
		settings: s, listeners: listeners, logger: loggers.Logger(runnerSubsystem),
		servers: map[ListenerIndex]*stopper.Server{},
	}
	for l := range listenerCount {
		r.screeners[l] = r.newScreener(l)
	}
	return r
}

// serveOperators serves the interface for operators, and the metrics on an address of their own if
// the settings name one.
func (r *Runner) serveOperators(m *meter.Meter) {
	r.registerGauges(m)
	r.serve(listener.NewOperators(r.settings.Host, r.host, r.host, m, r.Ready), Operators)
	if r.listeners[Metrics] != nil {
		r.serve(listener.NewMetrics(m), Metrics)
	}
}

func (r *Runner) servePeers() {
	r.group.Go(func() {
		if err := r.messenger.Serve(r.listeners[Peers]); err != nil {
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
	server := newServer(h)
	server.Limit, server.RefuseUnread = r.screeners[l].Limit, r.screeners[l].RefuseUnread
	r.servers[l] = server
	r.group.Go(func() {
		if err := server.Serve(r.listeners[l]); !errors.Is(err, http.ErrServerClosed) {
			r.logger.Error("listener failed", "error", err)
		}
	})
}

// newServer returns an HTTP server that knows the distance to its clients.
func newServer(h http.Handler) *stopper.Server {
	return stopper.New(&http.Server{Handler: ranger.Handler(h), ReadHeaderTimeout: screener.HeaderTimeout, ConnContext: ranger.ConnContext})
}

// Ready reports whether the host accepts new clients: a configuration is in force, the server
// list is synchronized and no shutdown has begun.
func (r *Runner) Ready() bool {
	return !r.stopping.Load() && r.host.View().Ready()
}

// Address returns the address that the host's listener is bound to.
func (r *Runner) Address(l ListenerIndex) identifier.Address {
	return r.listeners.Address(l)
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
	r.listeners[Peers].Close()
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
