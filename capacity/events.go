package capacity

import (
	"fmt"

	"egretdrum.example/epoch"
	"egretdrum.example/fleet"
	"egretdrum.example/lease"
)

// event is one figure of the ordinary day or of a large failure.
type event struct {
	Event string  `json:"event"`
	What  string  `json:"what"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	Sum   string  `json:"arithmetic"`
}

const (
	failuresPerDay   = 540
	restartsPerDay   = 6800
	maintainedPerDay = 1000
	zones            = 23
	hoursPerDay      = 24
)

func (r *Report) events() []event {
	const day, zone, partition = "ordinary day", "zone lost", "regions apart for an hour"
	steps := float64(failuresPerDay+restartsPerDay) * entryHosts / workers
	reclaim := (lease.StoreTTL + lease.Hold).Seconds()
	ids := float64(requestRate * idKeptSeconds * 2)
	apart := float64(changesPerDay) / hoursPerDay
	return []event{
		{day, "changes for maintenance", "changes/day", 2 * maintainedPerDay, fmt.Sprintf("a drain and a return for each of %d hosts, of %d changes", maintainedPerDay, changesPerDay)},
		{day, "updates of the host list", "workers/hour", float64(failuresPerDay+restartsPerDay+2*maintainedPerDay) / hoursPerDay, "failures, restarts and maintenance; the list is read each second in any case"},
		{day, "entry hosts lost or replaced", "hosts/day", steps, fmt.Sprintf("(%d + %d) x %d / %d", failuresPerDay, restartsPerDay, entryHosts, workers)},
		{day, "time that the recorded member lists cover", "days", epoch.HistoryLength * regions / (2 * steps), fmt.Sprintf("%d lists; a step for the loss and one for the return, in one of %d regions", epoch.HistoryLength, regions)},
		{day, "epoch bytes for a member step", "bytes", r.value("epoch-document-bytes-by-teams") * (hostsThreeZones - 1), "the document to each peer"},
		{zone, "workers lost", "workers", float64(workers / zones), fmt.Sprintf("%d / %d", workers, zones)},
		{zone, "time until the members are removed, at most", "s", reclaim, "store lease of 4 s, then peer leases of 3.3 s if these were granted last"},
		{zone, "time without new grants for the lost owners' minions", "s", reclaim + epoch.LongestWork.Seconds(), "the time above + longest deadline of 60 s with margin; a third of the region's minions, half with two zones"},
		{zone, "ids passed on to new witnesses by one host", "bytes", r.slope("claim-sync-bytes") * ids / hostsTwoZones * 4, "the ids of which one of four lost hosts of eight was a witness"},
		{partition, "changes in the hour", "changes", apart, fmt.Sprintf("%d / %d", changesPerDay, hoursPerDay)},
		{partition, "changes that a delta covers", "changes", fleet.RecentChanges, "more need the whole document"},
		{partition, "bytes per region afterwards", "bytes", r.value("config-bytes-by-workers"), "the whole document once per region, if it fits into a message"},
	}
}
