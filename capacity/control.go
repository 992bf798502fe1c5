package capacity

import "time"

// Roles of an entry host, and the parts around it.
const (
	roleAdmission  = "admission and queue"
	roleSlots      = "slot owner"
	roleCredits    = "credit holder and coordinator"
	roleWitness    = "witness of request ids"
	roleMembership = "membership and heartbeats"
	roleRollout    = "configuration roll-out"
	roleOperators  = "operator commands"
	roleStore      = "platform's store"
)

// reference is the region of which one size at a time is varied.
func reference() size {
	return size{members: hostsThreeZones, teams: teams, minions: regionWorkers}
}

// cpuOf measures the processor time per second of the first node.
func cpuOf(vary func(s *size, n int)) func(n int) (float64, error) {
	return func(n int) (float64, error) {
		m, err := observeAt(vary, n, cpuTime)
		return m.cpu(), err
	}
}

// bytesOf measures the control bytes per second of the first node; they are the same in
// each run.
func bytesOf(vary func(s *size, n int)) func(n int) (float64, error) {
	return func(n int) (float64, error) {
		m, err := observeAt(vary, n, bytesTime)
		return m.bytesPerSecond(), err
	}
}

func observeAt(vary func(s *size, n int), n int, d time.Duration) (meter, error) {
	s := reference()
	vary(&s, n)
	return s.observe(d)
}

// heapOf measures the heap of one node, without the documents that the nodes share.
func heapOf(vary func(s *size, n int)) func(n int) (float64, error) {
	return func(n int) (float64, error) {
		s := reference()
		vary(&s, n)
		bytes, err := held(func() (*mesh, error) {
			m, err := newMesh(s)
			if err == nil {
				err = m.occupy()
			}
			return m, err
		})
		return bytes / float64(s.members), err
	}
}

func setMembers(s *size, n int)  { s.members = n }
func setTeams(s *size, n int)    { s.teams = n }
func setMinions(s *size, n int)  { s.minions = n }
func setBusy(s *size, n int)     { s.busy = n }
func setRequests(s *size, n int) { s.requests, s.remote = n, true }

// controlSeries are the costs of the control loop and its messages.
func controlSeries() []*series {
	memberSizes, teamSizes := []int{3, 5, 7, 9}, []int{225, 450, 675, 900}
	minionSizes, busySizes, rates := []int{700, 1400, 2100, 2800}, []int{20, 40, 60, 90}, []int{20, 40, 60, 100}
	return []*series{
		{
			Name: "control-cpu-by-members", Role: roleMembership, Unit: "ms/s", By: "entry hosts of the region",
			Mechanism: "four heartbeats a second to each peer and as many from it; the ledger makes a message per peer and tick",
			Size:      hostsThreeZones, sizes: memberSizes, runs: cpuRuns, measure: cpuOf(setMembers),
		},
		{
			Name: "control-cpu-by-teams", Role: roleCredits, Unit: "ms/s", By: "quiet teams",
			Mechanism: "20 ticks a second visit each account; quiet ones only read a few fields",
			Size:      teams, sizes: teamSizes, runs: cpuRuns, measure: cpuOf(setTeams),
		},
		{
			Name: "control-cpu-by-minions", Role: roleSlots, Unit: "ms/s", By: "workers of the region",
			Mechanism: "a heartbeat round looks for pools in which this host owns a minion and counts their free slots",
			Size:      regionWorkers, sizes: minionSizes, runs: cpuRuns, measure: cpuOf(setMinions),
		},
		{
			Name: "control-cpu-by-busy-teams", Role: roleCredits, Unit: "ms/s", By: "busy teams",
			Mechanism: "each busy account visits its edge with each peer in each tick and tells its free credits",
			Size:      busyTeams, sizes: busySizes, runs: cpuRuns, measure: cpuOf(setBusy),
		},
		{
			Name: "control-cpu-by-requests", Role: roleAdmission, Unit: "ms/s", By: "non-idempotent requests/s",
			Mechanism: "queue, demand, grant of another host, binding, release, and the claim at two witnesses",
			Size:      requestRate, sizes: rates, runs: cpuRuns, measure: cpuOf(setRequests),
		},
		{
			Name: "control-bytes-by-members", Role: roleMembership, Unit: "B/s", By: "entry hosts of the region",
			Mechanism: "heartbeats and empty credit messages to each peer",
			Size:      hostsThreeZones, sizes: memberSizes, measure: bytesOf(setMembers),
		},
		{
			Name: "control-bytes-by-teams", Role: roleCredits, Unit: "B/s", By: "quiet teams",
			Mechanism: "none: quiet teams are in no message",
			Size:      teams, sizes: teamSizes, measure: bytesOf(setTeams),
		},
		{
			Name: "control-bytes-by-busy-teams", Role: roleCredits, Unit: "B/s", By: "busy teams",
			Mechanism: "the free credits of a busy team go to each peer",
			Size:      busyTeams, sizes: busySizes, measure: bytesOf(setBusy),
		},
		{
			Name: "control-bytes-by-requests", Role: roleAdmission, Unit: "B/s", By: "non-idempotent requests/s",
			Mechanism: "demand, binding and release to the owner; claim and its end to two witnesses",
			Size:      requestRate, sizes: rates, measure: bytesOf(setRequests),
		},
		{
			Name: "node-memory-by-teams", Role: roleCredits, Unit: "bytes", By: "quiet teams",
			Mechanism: "one account per team with its rendezvous order of members",
			Size:      teams, sizes: teamSizes, measure: heapOf(setTeams),
		},
		{
			Name: "node-memory-by-busy-teams", Role: roleCredits, Unit: "bytes", By: "busy teams",
			Mechanism: "one edge per team and peer at every host that passed credits, and one running call",
			Size:      busyTeams, sizes: busySizes, measure: heapOf(setBusy),
		},
		{
			Name: "node-memory-by-minions", Role: roleSlots, Unit: "bytes", By: "workers of the region",
			Mechanism: "the record of each worker at every host, and the slots of owned minions",
			Size:      regionWorkers, sizes: minionSizes, measure: heapOf(setMinions),
		},
	}
}
