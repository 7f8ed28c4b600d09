package runner

import (
	"runtime/debug"

	"github.com/lagooncleat/lagooncleat/internal/loader"
	"github.com/lagooncleat/lagooncleat/internal/screener"
	"github.com/lagooncleat/lagooncleat/pkg/declarer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/reserver"
)

const (
	megabyte identifier.Bytes = 1 << 20
	// minorDivisor is the part of the limits on clients that listeners for operators and probes get.
	minorDivisor = 8
)

// limitMemory makes the garbage collector run more often from the size that the settings name.
func limitMemory(s loader.Settings) {
	if s.MemoryLimitMegabytes > 0 {
		debug.SetMemoryLimit(s.MemoryLimitMegabytes * int64(megabyte))
	}
}

// newScreener returns the Screener of a listener. The declaration's limits apply to callers only.
func (r *Runner) newScreener(l ListenerIndex) *screener.Screener {
	c := r.settings.Clients
	limits := reserver.Limits{
		Memory: identifier.Bytes(c.MemoryMegabytes) * megabyte, ClientMemory: identifier.Bytes(c.ClientMemoryMegabytes) * megabyte,
		Connections: c.Connections, ClientConnections: c.ClientConnections,
	}
	switch l {
	case Callers:
		// The host is created later than its listeners' limits.
		return screener.New(limits, func() declarer.Limits { return r.host.ClientLimits() })
	case BackendServers:
	default:
		limits.Memory, limits.ClientMemory = limits.Memory/minorDivisor, limits.ClientMemory/minorDivisor
		limits.Connections = max(1, limits.Connections/minorDivisor)
		limits.ClientConnections = max(1, limits.ClientConnections/minorDivisor)
	}
	return screener.New(limits, func() declarer.Limits { return declarer.Limits{} })
}
