package capacity

import "egretdrum.example/epoch"

// grouping is one way to divide a region's entry hosts over its zones, with what a lost
// zone leaves.
type grouping struct {
	Hosts       int  `json:"hosts"`
	Lost        int  `json:"lost"`
	PeerLease   bool `json:"survivors-have-a-majority"`
	Reclaimable bool `json:"survivors-may-reclaim"`
}

// groupings asks the real epoch whether the survivors of a lost zone may remove its
// hosts.
func groupings() ([]grouping, error) {
	var out []grouping
	for _, g := range []grouping{
		{Hosts: hostsThreeZones, Lost: hostsThreeZones / 3},
		{Hosts: hostsTwoZones, Lost: hostsTwoZones / 2},
		{Hosts: hostsThreeZones, Lost: hostsThreeZones / 2},
		{Hosts: hostsThreeZones, Lost: hostsThreeZones/2 + 1},
	} {
		e, err := members(g.Hosts)
		if err != nil {
			return nil, err
		}
		g.PeerLease = g.Hosts-g.Lost >= epoch.Majority(g.Hosts)
		g.Reclaimable = mayReclaim(e, g.Lost)
		out = append(out, g)
	}
	return out, nil
}

func mayReclaim(e *epoch.Epoch, n int) bool {
	seen := make(map[epoch.ID]uint64)
	var lost []epoch.ID
	for _, m := range e.Members[:n] {
		lost = append(lost, m.ID())
		seen[m.ID()] = e.Number
	}
	var confirms []epoch.Confirm
	for _, m := range e.Members[n:] {
		confirms = append(confirms, epoch.Confirm{Member: m.ID(), Number: e.Number, Lost: lost, Seen: seen})
	}
	_, err := e.Reclaim(e.Members[n].ID(), lost, confirms, epoch.LongestWork)
	return err == nil
}
