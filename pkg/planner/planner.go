// Package planner pins the snapshot that a query reads.
//
// A plan names one partitioning and one index version, and for each range the
// servers that hold it at that version. Parts of other versions are never
// merged into the answer.
//
// # Usage
//
//	plan := planner.Pin(policy.Partition, func(id identifier.ServiceID) []leaser.Announcement {
//		return byService[id]
//	})
package planner

import (
	"slices"

	"github.com/lagooncleat/lagooncleat/pkg/configurer"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
	"github.com/lagooncleat/lagooncleat/pkg/leaser"
)

// Plan is a pinned snapshot and, for each shard of the partition, the servers
// that can serve it. A shard without servers is a hole in the coverage.
type Plan struct {
	Snapshot identifier.Snapshot
	Servers  [][]identifier.ServerID
}

// Pin chooses the newest index version that covers the most of the hash space
// and returns the servers of each shard at that version, in the order given by
// the lookup. Draining servers are left out.
func Pin(p configurer.Partition, lookup func(identifier.ServiceID) []leaser.Announcement) Plan {
	widths := map[identifier.IndexVersion]identifier.HashPoint{}
	for _, s := range p.Shards {
		for _, v := range shardVersions(p.Epoch, s, lookup(s.Service)) {
			widths[v] += s.Range.Width()
		}
	}
	version := widest(widths)
	plan := Plan{
		Snapshot: identifier.Snapshot{Epoch: p.Epoch, Version: version},
		Servers:  make([][]identifier.ServerID, len(p.Shards)),
	}
	for i, s := range p.Shards {
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
