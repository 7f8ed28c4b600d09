// Package permitter grants permissions that end on their holder's own clock.
//
// A holder asks, and notes when by its clock. The answer echoes that reading, and the permission ends a fixed
// term after it. The grantor can't answer before it was asked, so once the term has passed since its answer, the
// permission has ended at the holder too, whether the holder is cut off, frozen or gone. The clocks are never
// compared; they only have to run at the same speed, also while the machine is suspended.
//
// There are two kinds of permissions:
//
//   - A Permission is held or not. A Prover collects the readings of many holders and confirms them all with one
//     read of a shared version. It answers the load of hundreds of hosts that each ask several times a second.
//   - An allotment is a number of requests that the holder may send. An Allotter owns limits, such as quotas, and
//     divides them among hosts by demand. It answers the load of many small senders, each of which reaches a given
//     host rarely, beside a few that send far more than their limit.
//
// # Why two owners can't both grant in full
//
// An Allotter keeps a level for each account, which refills at the rate of the limit up to a maximum. Allotments are
// reserved from it. In any window, what holders spend is at most the level at its start plus the refill. A new
// owner doesn't know what its predecessor has granted. That is at most the maximum level, and it ends within
// Term. So the new owner starts at 0, refills only after Overlap, when the previous owner has stopped, and keeps
// to a lower maximum level for Term. Both maximums together stay within the burst and the tolerance of the
// limit, also if the owner changes twice within Term. An election takes at least a fifth of it.
//
// That leaves a quarter of the tolerance as the level, which is too little where a window is a second: allotments
// that last for Term would allow several windows' worth. By BriefTerms, allotments last for BriefTerm, and a new owner
// refills only after Overlap and BriefTerm, when nothing that its predecessors allotted can be spent. Then at any
// instant, what can be spent is at most one maximum level, however often the owner changes. The level may take the
// whole tolerance, less what accrues while requests that were spent are on their way (Terms.Transit). A holder may lend
// requests to other hosts (Lend); they count as held until they are settled or the allotment ends.
//
// # Usage
//
//	owner := permitter.NewAllotter[identifier.CustomerID](now, "control-1", tolerance, permitter.QuotaTerms)
//	owner.SetLimits(now, limits)
//	holder := permitter.NewHolder[identifier.CustomerID](permitter.QuotaTerms)
//	holder.Use(now, "clinic")
//	if !holder.Take(now, "clinic") {
//		answer := owner.Handle(now, "host-1", holder.Report(now, reading))
//		holder.Receive(now, answer)
//	}
package permitter
