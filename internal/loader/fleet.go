package loader

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// checkFleet validates the settings of a host in a fleet.
func (d *document) checkFleet(s Settings) {
	f := s.Fleet
	switch f.Duty {
	case FleetEntry:
		d.checkAddress("listen.callers", s.Listen.Callers)
		d.checkAddress("listen.readiness", s.Listen.Readiness)
	case FleetControl:
		d.checkAddress("listen.backend-servers", s.Listen.BackendServers)
		d.requireValue("control.data-folder", s.Control.DataFolder)
		if f.AnnouncementIntervalMillis <= 0 {
			d.addFault("fleet.announcement-interval-ms", "must be above 0")
		}
	default:
		d.addFault("fleet.duty", "must be entry or control")
	}
	if f.ExtraAttempts.Share < 0 || f.ExtraAttempts.Slack < 0 || f.ExtraAttempts.WindowMillis < 0 || f.DetourMillis < 0 {
		d.addFault("fleet", "bounds must not be negative")
	}
	if f.RevocationMillis < 0 {
		d.addFault("fleet.revocation-ms", "must not be negative")
	}
	if f.Quota.WindowMillis < 0 || f.Quota.Overage < 0 || f.Quota.Slack < 0 {
		d.addFault("fleet.quota", "bounds must not be negative")
	}
	if f.PeerPort == 0 {
		d.addFault("fleet.peer-port", "must be above 0")
	}
	if len(f.Seeds) == 0 {
		d.addFault("fleet.seeds", "must name a control host")
	}
	for i, a := range f.Seeds {
		d.checkAddress(fmt.Sprintf("fleet.seeds[%d]", i), a)
	}
	for _, domain := range slices.Sorted(maps.Keys(f.Regions)) {
		field := fmt.Sprintf("fleet.regions.%s", domain)
		d.requireValue(field, string(f.Regions[domain]))
		if domain == "" {
			d.addFault("fleet.regions", "must name each failure domain")
		}
	}
	if f.EvacuationMillis < 0 {
		d.addFault("fleet.evacuation-ms", "must not be negative")
	}
	d.checkWarmUp(f)
}

// From these bounds on, one request can be allotted at any rate: a fifth of the rate beyond it is kept for attempts that
// are on their way.
const (
	minWarmUpOverage = 1.2
	minWarmUpSlack   = 1
)

// checkWarmUp validates the limits of cold servers, if there are any.
func (d *document) checkWarmUp(f *Fleet) {
	if f.WarmUp.Overage == 0 && f.WarmUp.Slack == 0 {
		return
	}
	if f.WarmUp.Overage < minWarmUpOverage {
		d.addFault("fleet.warm-up.overage", fmt.Sprintf("must be at least %g", minWarmUpOverage))
	}
	if f.WarmUp.Slack < minWarmUpSlack {
		d.addFault("fleet.warm-up.slack", fmt.Sprintf("must be at least %d", minWarmUpSlack))
	}
}

// KnownRegions returns the regions of the settings, sorted and without duplicates; none if the settings don't
// name any.
func (f *Fleet) KnownRegions() []identifier.RegionID {
	return slices.Compact(slices.Sorted(maps.Values(f.Regions)))
}

// SeedHosts returns the hosts that the seeds name, sorted and without duplicates. It
// expects valid addresses and skips others.
func (f *Fleet) SeedHosts() []identifier.HostID {
	var hosts []identifier.HostID
	for _, a := range f.Seeds {
		if at, err := netip.ParseAddrPort(string(a)); err == nil {
			hosts = append(hosts, identifier.HostID(netip.AddrPortFrom(at.Addr(), f.PeerPort).String()))
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
