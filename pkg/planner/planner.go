// Package planner pins the snapshot that a query reads.
//
// A plan selects one partition and one index version, and lists for each shard the
// servers that hold it at that version. Parts of other versions are never merged
// into the answer.
//
// During a repartition some servers hold only ranges of the new epoch, and others
// only ranges of the old one. A plan uses a single epoch: the newest one that can be
// served in full, or else the one with the highest coverage.
//
// # Usage
//
//	plan := planner.Pin(policy.Partitions(), func(id identifier.ServiceID) []leaser.Announcement {
//		return byService[id]
//	})
package planner

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// Lookup returns the announcements of a service's servers, ordered by id.
type Lookup func(identifier.ServiceID) []leaser.Announcement

// Plan is a pinned snapshot and, for each shard of its partition, the servers that
// can serve it. A shard without servers isn't covered. A Plan is immutable, so
// queries can share it.
type Plan struct {
	Snapshot identifier.Snapshot
	Shards   []configurer.Shard
	// Ranges are the ranges of the shards, in the same order.
	Ranges  []identifier.HashRange
	Servers [][]identifier.ServerID
	// CoveredWidth is the total width of the ranges that have a server.
	CoveredWidth identifier.HashPoint
}

// NewerThan reports whether the plan's snapshot is newer than the other snapshot.
func (p *Plan) NewerThan(other identifier.Snapshot) bool {
	if p.Snapshot.Epoch != other.Epoch {
		return p.Snapshot.Epoch > other.Epoch
	}
	return p.Snapshot.Version > other.Version
}

// Pin returns the plan that covers the largest share of the hash space. Ties are resolved by
// the newest epoch and then by the newest index version. Draining servers are excluded. The
// partitions must be ordered newest first.
func Pin(partitions []configurer.Partition, lookup Lookup) *Plan {
	var best *Plan
	for i := range partitions {
		plan := pin(&partitions[i], lookup)
		if best == nil || plan.CoveredWidth > best.CoveredWidth {
			best = plan
		}
		if best.CoveredWidth == identifier.HashSpace {
			return best
		}
	}
	return best
}

// pin returns the plan of one partition that covers the largest share of the hash space.
func pin(p *configurer.Partition, lookup Lookup) *Plan {
	widths := map[identifier.IndexVersion]identifier.HashPoint{}
	for _, s := range p.Shards {
		for _, v := range shardVersions(p.Epoch, s, lookup(s.Service)) {
			widths[v] += s.Range.Width()
		}
	}
	version := widestVersion(widths)
	plan := &Plan{
		Snapshot:     identifier.Snapshot{Epoch: p.Epoch, Version: version},
		Shards:       p.Shards,
		Servers:      make([][]identifier.ServerID, len(p.Shards)),
		CoveredWidth: widths[version],
	}
	for i, s := range p.Shards {
		plan.Ranges = append(plan.Ranges, s.Range)
		for _, a := range lookup(s.Service) {
			if slices.Contains(versionsOf(p.Epoch, s, a), version) {
				plan.Servers[i] = append(plan.Servers[i], a.Server)
			}
		}
	}
	return plan
}

// widestVersion returns the version with the largest width, and the newest one of equals.
func widestVersion(widths map[identifier.IndexVersion]identifier.HashPoint) identifier.IndexVersion {
	var version identifier.IndexVersion
	var width identifier.HashPoint
	for v, w := range widths {
		if w > width || (w == width && v > version) {
			version, width = v, w
		}
	}
	return version
}

// shardVersions returns the versions at which at least one server holds the whole shard.
func shardVersions(e identifier.Epoch, s configurer.Shard, announcements []leaser.Announcement) []identifier.IndexVersion {
	var versions []identifier.IndexVersion
	for _, a := range announcements {
		for _, v := range versionsOf(e, s, a) {
			if !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
	}
	return versions
}

// versionsOf returns the versions at which the server holds the whole shard. It returns
// none for a draining server.
func versionsOf(e identifier.Epoch, s configurer.Shard, a leaser.Announcement) []identifier.IndexVersion {
	if a.State == leaser.Draining {
		return nil
	}
	for _, h := range a.Holdings {
		if h.Epoch == e && h.Range.Contains(s.Range) {
			return h.Versions
		}
	}
	return nil
}
