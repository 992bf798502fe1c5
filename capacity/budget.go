package capacity

import "fmt"

// budget is one line of the comparison. Remedy says what has to change when the budget
// is not met.
type budget struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`
	Limit  float64 `json:"limit"`
	Sum    string  `json:"arithmetic"`
	Met    bool    `json:"met"`
	Remedy string  `json:"remedy,omitempty"`
}

func line(name, unit string, value, limit float64, sum, remedy string) budget {
	b := budget{Name: name, Unit: unit, Value: value, Limit: limit, Sum: sum, Met: value <= limit}
	if !b.Met {
		b.Remedy = remedy
	}
	return b
}

func (b budget) verdict() string {
	if b.Met {
		return "met"
	}
	return "not met: " + b.Remedy
}

// budgets compares the values at the two-year size with the budgets.
func (r *Report) budgets() []budget {
	idle := r.value("control-cpu-by-members")
	perBusy, perRequest := r.slope("control-cpu-by-busy-teams"), r.slope("control-cpu-by-requests")
	busy := idle + perBusy*busyTeams
	idleBytes := r.value("control-bytes-by-members")
	busyBytes := idleBytes + r.slope("control-bytes-by-busy-teams")*busyTeams
	loadBytes := busyBytes + r.slope("control-bytes-by-requests")*requestRate
	// Four heartbeats and one credit message a second go to each peer.
	packets := 5.0 * (hostsThreeZones - 1)
	list := r.value("host-list-cpu-by-workers")
	regionList := r.at("host-list-cpu-by-workers", regionWorkers)
	ids := float64(requestRate * idKeptSeconds * 2)
	documents := r.value("config-memory-by-workers")
	node := r.value("node-memory-by-teams") + r.slope("node-memory-by-busy-teams")*busyTeams
	claims, queued := r.value("witness-memory"), r.value("queue-memory")
	perDay := r.value("store-calls-by-changes") / secondsPerDay
	rollout := r.value("roll-out-time-by-hosts") +
		2*(r.value("config-change-cpu-by-workers")-r.at("config-change-cpu-by-workers", regionWorkers)) +
		2*(r.value("config-encode-cpu-by-workers")-r.at("config-encode-cpu-by-workers", regionWorkers))
	return []budget{
		line("control CPU without requests", "ms/s", idle, cpuBudget, "control-cpu-by-members", "fewer ticks"),
		line("control CPU with busy teams", "ms/s", busy, cpuBudget,
			fmt.Sprintf("the line above + %.3f x %d busy teams", perBusy, busyTeams), "fewer ticks"),
		line("control CPU with requests", "ms/s", busy+perRequest*requestRate, cpuBudget,
			fmt.Sprintf("the line above + %.3f x %d requests/s", perRequest, requestRate), "one message for demand and claim to a peer"),
		line("whole idle host with 2,800 workers", "ms/s", r.perHost("process-cpu-by-hosts"), cpuBudget,
			"process-cpu-by-hosts: its slope or its least value per host, the greater one; the stand-in's work for the host is in it",
			"a tick that visits only the teams and peers with something to do, and fewer heartbeats"),
		line("host list of the region, changed each second", "ms/s", regionList, cpuBudget, "host-list-cpu-by-workers at 2,800",
			"smaller entries in the list"),
		line("host list of the fleet, changed each second", "ms/s", list, cpuBudget, "host-list-cpu-by-workers at 28,000",
			"a host list per region from the platform"),
		line("memory of a node", "MB", (node+claims+queued+documents)/bytesPerMB, memoryBudget,
			fmt.Sprintf("node %.1f + ids %.1f + queue %.1f + one configuration %.1f", node/bytesPerMB, claims/bytesPerMB, queued/bytesPerMB, documents/bytesPerMB),
			"keep only the region's workers in an entry host"),
		line("memory while the configuration changes", "MB", (node+claims+queued+2*documents)/bytesPerMB, memoryBudget,
			"the line above + the next configuration", "keep only the region's workers in an entry host"),
		line("control bytes without requests", "B/s", idleBytes, bytesBudget, "control-bytes-by-members, with WebSocket frames",
			"smaller or fewer heartbeats"),
		line("the same with packet headers", "B/s", idleBytes+packets*packetBytes, bytesBudget,
			fmt.Sprintf("the line above + %.0f packets/s x %d bytes", packets, packetBytes), "heartbeats every 500 ms, with lease periods to match"),
		line("control bytes with busy teams", "B/s", busyBytes, bytesBudget,
			fmt.Sprintf("the line above + %.1f x %d busy teams", r.slope("control-bytes-by-busy-teams"), busyTeams),
			"send free credits only to hosts that asked lately, and team numbers in place of names"),
		line("control bytes with requests", "B/s", loadBytes, bytesBudget,
			fmt.Sprintf("the line above + %.0f x %d requests/s", r.slope("control-bytes-by-requests"), requestRate),
			"the budget holds for control without requests only; team, pool and worker numbers in place of names, integer CBOR keys and one message per peer for demand and claim would reduce it"),
		line("request ids at a witness", "ids", ids, idsBudget,
			fmt.Sprintf("%d/s x %.0f s x 2 witnesses", requestRate, idKeptSeconds), "more entry hosts"),
		line("request ids after a zone of two is lost", "ids", 2*ids, idsBudget, "twice the line above, for half of the hosts take all requests",
			fmt.Sprintf("at most %.0f requests/s per host in a two-zone region, or more hosts there", idsBudget/idKeptSeconds/4)),
		line("store writes", "calls/s", r.value("store-writes")+perDay, writesBudget,
			fmt.Sprintf("store-writes at %d hosts + %.2f for changes", entryHosts, perDay), "renew every 1.3 s"),
		line("store reads", "calls/s", r.value("store-reads")+perDay, readsBudget,
			fmt.Sprintf("store-reads at %d hosts + %.2f for changes", entryHosts, perDay), "two polling hosts per zone"),
		line("configuration value", "bytes", r.value("config-bytes-by-workers"), valueBudget, "config-bytes-by-workers",
			"one key per zone for the worker-to-pool map, as section 5 of the design plans; not built"),
		line("host list of the fleet in one response", "bytes", r.value("host-list-bytes-by-workers"), valueBudget, "host-list-bytes-by-workers",
			"a host list per region from the platform; the store client refuses a longer response"),
		line("host list of a region in one response", "bytes", r.at("host-list-bytes-by-workers", regionWorkers), valueBudget,
			"host-list-bytes-by-workers at 2,800", "a list per zone"),
		line("epoch value of a region", "bytes", r.value("epoch-document-bytes-by-teams"), 1_000_000, "epoch-document-bytes-by-teams", "fewer members"),
		line("members of one epoch", "hosts", entryHosts, 64, fmt.Sprintf("3 x %d + 7 x %d", hostsThreeZones, hostsTwoZones),
			"one epoch key per region, and gateways between regions (section 7 of the design); not built"),
		line("roll-out inside a region", "ms", rollout, rolloutBudget,
			"roll-out-time-by-hosts + two changes and encodings at 28,000 workers over those at 2,800", "smaller documents"),
	}
}
