package credit

import "egretdrum.example/epoch"

// Amount is a number of credits of one team.
type Amount struct {
	Team string `cbor:"team"`
	N    int64  `cbor:"n"`
}

// Message is sent from one ledger to another. Gives, GiveAcks, Burns and BurnAcks are
// totals since both hosts became members, so lost, repeated and reordered messages do no
// harm. Free and Request.Holding are hints.
type Message struct {
	From     epoch.ID  `cbor:"from"`
	To       epoch.ID  `cbor:"to"`
	Epoch    uint64    `cbor:"epoch"`
	Leaving  bool      `cbor:"leaving,omitempty"`
	Gives    []Amount  `cbor:"gives,omitempty"`
	GiveAcks []Amount  `cbor:"give-acks,omitempty"`
	Burns    []Amount  `cbor:"burns,omitempty"`
	BurnAcks []Amount  `cbor:"burn-acks,omitempty"`
	Free     []Amount  `cbor:"free,omitempty"`
	Requests []Request `cbor:"asks,omitempty"`
}

// Request asks for credits of one team. Holding is what the requesting host has; a busy
// peer decides by it whether to pass on credits when their requests have ended.
type Request struct {
	Team    string `cbor:"team"`
	Wanted  int64  `cbor:"wanted"`
	Holding int64  `cbor:"holding"`
}

// Actions is what the control loop has to do after a tick: send the messages, and mint the
// amounts by a compare-and-swap that follows the epoch which the ledger has adopted.
type Actions struct {
	Messages []Message
	Mint     map[string]int64
}

func (m *Message) empty() bool {
	return len(m.Gives)+len(m.GiveAcks)+len(m.Burns)+len(m.BurnAcks)+len(m.Free)+len(m.Requests) == 0
}
