package permitter

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// Reading is when a holder asked, by its own clock. Process is when its process started, so that an answer to an
// earlier process is recognized.
type Reading struct {
	Process identifier.Instant `msgpack:"p"`
	At      identifier.Instant `msgpack:"t"`
}

// Permission ends at an instant of its holder's clock. The zero value has ended.
type Permission struct {
	until identifier.Instant
}

// Renew extends the permission to a term after the holder asked. It reports whether that is later than before.
func (p *Permission) Renew(asked identifier.Instant, term identifier.Micros) bool {
	if until := asked.Add(term); until > p.until {
		p.until = until
		return true
	}
	return false
}

// Holds reports whether the permission has not ended.
func (p *Permission) Holds(now identifier.Instant) bool { return now < p.until }

// Until returns when the permission ends.
func (p *Permission) Until() identifier.Instant { return p.until }
