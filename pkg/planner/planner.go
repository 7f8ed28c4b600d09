// Package planner pins the snapshot that a query reads.
//
// A plan names one partitioning and one index version, and for each shard the
// servers that hold it at that version. Parts of other versions are never
// merged into the answer.
//
// During a repartitioning some servers hold ranges of the new epoch only and
// others of the old one only. A plan keeps to one epoch: the newest that can be
// served in full, else the one that covers most.
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

// Lookup returns the announcements of a service's servers, in order of id.
type Lookup func(identifier.ServiceID) []leaser.Announcement

// Plan is a pinned snapshot and, for each shard of its partition, the servers
// that can serve it. A shard without servers is a hole in the coverage. It is
// immutable once made, so that queries can share it.
type Plan struct {
	Snapshot identifier.Snapshot
	Shards   []configurer.Shard
	// Ranges are the ranges of the shards, in the same order.
	Ranges  []identifier.HashRange
	Servers [][]identifier.ServerID
	// Width is the width of the ranges that have a server.
	Width identifier.HashPoint
}

// NewerThan reports whether the plan's snapshot is newer than the other one.
func (p *Plan) NewerThan(other identifier.Snapshot) bool {
	if p.Snapshot.Epoch != other.Epoch {
		return p.Snapshot.Epoch > other.Epoch
	}
	return p.Snapshot.Version > other.Version
}

// Pin returns the plan that covers the most of the hash space; of equals, the
// one of the newest epoch, then of the newest index version. Draining servers
// are left out. The partitions are given newest first.
func Pin(partitions []configurer.Partition, lookup Lookup) *Plan {
	var best *Plan
	for i := range partitions {
		plan := pin(&partitions[i], lookup)
		if best == nil || plan.Width > best.Width {
			best = plan
		}
		if best.Width == identifier.HashSpace {
			return best
		}
	}
	return best
}

// pin returns the best plan of one partition.
func pin(p *configurer.Partition, lookup Lookup) *Plan {
	widths := map[identifier.IndexVersion]identifier.HashPoint{}
	for _, s := range p.Shards {
		for _, v := range shardVersions(p.Epoch, s, lookup(s.Service)) {
			widths[v] += s.Range.Width()
		}
	}
	version := widest(widths)
	plan := &Plan{
		Snapshot: identifier.Snapshot{Epoch: p.Epoch, Version: version},
		Shards:   p.Shards,
		Servers:  make([][]identifier.ServerID, len(p.Shards)),
		Width:    widths[version],
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

func widest(widths map[identifier.IndexVersion]identifier.HashPoint) identifier.IndexVersion {
	var version identifier.IndexVersion
	var width identifier.HashPoint
	for v, w := range widths {
		if w > width || (w == width && v > version) {
			version, width = v, w
		}
	}
	return version
}

func shardVersions(e identifier.Epoch, s configurer.Shard, list []leaser.Announcement) []identifier.IndexVersion {
	var versions []identifier.IndexVersion
	for _, a := range list {
		for _, v := range versionsOf(e, s, a) {
			if !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
	}
	return versions
}

// versionsOf returns the versions at which the server holds the whole shard.
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
