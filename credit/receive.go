package credit

import (
	"time"

	"egretdrum.example/epoch"
)

// Receive processes a message from a peer and returns the reply, if there is one.
func (l *Ledger) Receive(now time.Time, m Message) []Message {
	if m.To != l.self || !l.ep.Has(m.From) || !l.ep.Has(l.self) {
		return nil
	}
	p := l.peer(m.From)
	p.epoch, p.lastReceived, p.leaving = max(p.epoch, m.Epoch), now, p.leaving || m.Leaving
	if p.frozen {
		return nil
	}
	reply := l.message(m.From)
	l.receiveTotals(m, &reply)
	for _, f := range m.Free {
		l.account(f.Team).edge(m.From).peerFree = f.N
	}
	for _, request := range m.Requests {
		l.answerRequest(now, m.From, request, &reply)
	}
	if reply.empty() {
		return nil
	}
	return []Message{reply}
}

func (l *Ledger) receiveTotals(m Message, reply *Message) {
	for _, g := range m.Gives {
		a := l.account(g.Team)
		e := a.edge(m.From)
		if l.mutation.addTotals {
			a.usable.Add(g.N)
		} else if g.N > e.received {
			a.usable.Add(g.N - e.received)
			e.received = g.N
		}
		reply.GiveAcks = append(reply.GiveAcks, Amount{g.Team, e.received})
	}
	for _, g := range m.GiveAcks {
		e := l.account(g.Team).edge(m.From)
		e.givenAcked = max(e.givenAcked, g.N)
	}
	for _, b := range m.Burns {
		a := l.account(b.Team)
		e := a.edge(m.From)
		e.burned = max(e.burned, b.N)
		l.updateBlocked(a)
		reply.BurnAcks = append(reply.BurnAcks, Amount{b.Team, e.burned})
	}
	for _, b := range m.BurnAcks {
		e := l.account(b.Team).edge(m.From)
		e.burnAcked = max(e.burnAcked, b.N)
	}
}

// answerRequest gives half of the free credits, or all of them if there was no recent
// demand. If none is free, it reserves credits in use for a peer that holds fewer, so that
// a busy host does not keep the whole limit of a team.
func (l *Ledger) answerRequest(now time.Time, to epoch.ID, request Request, reply *Message) {
	a := l.account(request.Team)
	// A host clears the reported number of free credits when it sends a request, so the
	// number has to be sent again.
	a.edge(to).reportedAt = time.Time{}
	if a.isBlocked || request.Wanted <= 0 || !l.mayGive(to) {
		return
	}
	free := a.free()
	offer := (free + 1) / 2
	if now.Sub(a.lastDemand) >= idleAfter && a.waiting.Load() == 0 {
		offer = free
	}
	if n := l.give(a, to, min(request.Wanted, offer)); n > 0 {
		reply.Gives = append(reply.Gives, Amount{a.team, a.edge(to).given})
		return
	}
	surplus := (a.holding() - a.reserved - request.Holding) / 2
	a.reserve(a.edge(to), min(request.Wanted, surplus/int64(len(l.ep.Members))+min(1, surplus)))
}

func (l *Ledger) mayGive(to epoch.ID) bool {
	return l.ep.Has(to) && !l.peer(to).frozen && !l.peer(to).leaving
}

// give moves up to n free credits to a peer. They are subtracted here, before the total
// is sent.
func (l *Ledger) give(a *account, to epoch.ID, n int64) int64 {
	if n <= 0 || !l.mayGive(to) {
		return 0
	}
	if l.mutation.keepGiven {
		a.edge(to).given += n
		return n
	}
	n = a.take(n)
	a.edge(to).given += n
	return n
}

// reserve reserves credits in use for a peer, which gets the next ones that are released.
func (a *account) reserve(e *edge, n int64) {
	if n <= e.reserved {
		return
	}
	a.usable.Add(e.reserved - n)
	a.reserved += n - e.reserved
	e.reserved = n
}

func (a *account) cancelReservation(e *edge) {
	a.usable.Add(e.reserved)
	a.reserved -= e.reserved
	e.reserved = 0
}

// giveReserved gives the peer its reserved credits whose requests have ended.
func (a *account) giveReserved(e *edge) {
	n := min(e.reserved, a.reserved+min(0, a.free()))
	if n <= 0 {
		return
	}
	e.reserved -= n
	a.reserved -= n
	e.given += n
}
