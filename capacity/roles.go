package capacity

import "fmt"

// roleNeed is what one duty costs one entry host, or the part that it names, at the
// two-year size.
type roleNeed struct {
	Role     string  `json:"role"`
	State    string  `json:"state"`
	Messages string  `json:"messages"`
	Bytes    float64 `json:"bytes-per-second"`
	CPU      float64 `json:"cpu-ms-per-second"`
	Memory   float64 `json:"memory-mb"`
}

// roles sums the series of each duty. Intercepts that several series of a node share are
// counted once, under membership.
func (r *Report) roles() []roleNeed {
	rate := float64(requestRate)
	ids := rate * idKeptSeconds * 2
	changes := float64(changesPerDay) / secondsPerDay
	listChanges := float64(failuresPerDay+restartsPerDay+2*maintainedPerDay) / secondsPerDay / regions
	perPeer := r.slope("control-bytes-by-members")
	perID := r.slope("witness-cpu") / microsPerMilli
	return []roleNeed{
		{
			roleAdmission, fmt.Sprintf("10,000 waiting requests; %d requests/s", requestRate),
			"demand, binding, release, grants, claims of its requests",
			r.slope("control-bytes-by-requests") * rate, r.slope("control-cpu-by-requests") * rate, r.value("queue-memory") / bytesPerMB,
		},
		{
			roleSlots, fmt.Sprintf("%d of the region's %d minions", ownedMinions, regionWorkers),
			"grants, counted with the requests; free slots in heartbeats",
			0, r.slope("control-cpu-by-minions") * regionWorkers, r.slope("node-memory-by-minions") * regionWorkers / bytesPerMB,
		},
		{
			roleCredits, fmt.Sprintf("%d accounts, %d busy", teams, busyTeams),
			"gives, acknowledgements, asks and free credits of busy teams",
			r.slope("control-bytes-by-busy-teams") * busyTeams,
			r.slope("control-cpu-by-teams")*teams + r.slope("control-cpu-by-busy-teams")*busyTeams,
			(r.slope("node-memory-by-teams")*teams + r.slope("node-memory-by-busy-teams")*busyTeams) / bytesPerMB,
		},
		{
			roleWitness, fmt.Sprintf("%.0f ids of %d/s for 660 s at two witnesses", ids, requestRate),
			"claim-reply, counted with the requests; claim-sync when members change",
			0, perID * rate * 2, r.value("witness-memory") / bytesPerMB,
		},
		{
			roleMembership, fmt.Sprintf("%d members, epoch of %.0f bytes, host list", hostsThreeZones, r.value("epoch-document-bytes-by-teams")),
			"heartbeats and empty credit messages",
			r.value("control-bytes-by-members"), r.slope("control-cpu-by-members")*hostsThreeZones + r.at("host-list-cpu-by-workers", regionWorkers)*listChanges, 0,
		},
		{
			roleRollout, fmt.Sprintf("one document of %.0f bytes, a second one during a change", r.value("config-bytes-by-workers")),
			fmt.Sprintf("one delta of %.0f bytes per change and host", r.value("config-delta-bytes")),
			r.value("config-delta-bytes") * changes,
			(r.value("config-change-cpu-by-workers") + r.value("config-in-force-cpu-by-workers")) * changes,
			2 * r.value("config-memory-by-workers") / bytesPerMB,
		},
		{
			roleOperators, fmt.Sprintf("%.3f changes/s over all hosts", changes),
			"delta to each peer, store value written whole",
			r.value("config-delta-bytes") * (hostsThreeZones - 1) * changes,
			(r.value("config-encode-cpu-by-workers") + r.value("config-decode-cpu-by-workers") + r.value("config-change-cpu-by-workers")) * changes, 0,
		},
		{
			roleStore, fmt.Sprintf("%.0f writes/s and %.0f reads/s", r.value("store-writes"), r.value("store-reads")),
			"lease renewals; conditional reads; changes",
			r.value("config-bytes-by-workers") * 2 * changes, 0, 0,
		},
		{
			"links inside a zone", "2 peers in a three-zone region, 3 in a two-zone one", "as membership",
			perPeer * (hostsTwoZones/2 - 1), 0, 0,
		},
		{
			"links between zones", "6 peers in a three-zone region, 4 in a two-zone one", "as membership",
			perPeer * (hostsThreeZones - hostsThreeZones/3), 0, 0,
		},
		{
			"links between regions (planned)", fmt.Sprintf("%d gateways, each with %d peers in other regions", regions*gatewaysPerRegion, (regions-1)*gatewaysPerRegion),
			"as membership, by arithmetic: gateways are not built",
			perPeer * (regions - 1) * gatewaysPerRegion, 0, 0,
		},
	}
}
