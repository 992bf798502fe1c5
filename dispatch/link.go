package dispatch

import (
	"time"

	"egretdrum.example/election"
	"egretdrum.example/kv"
	"egretdrum.example/ownerlink"
)

// linkTerm is the part of a term that the links of other hosts access.
type linkTerm struct {
	term    *election.Term
	events  chan<- event
	queries chan<- func()
	done    <-chan struct{}
}

// Token returns the token that links to this host must present during the term, nil while it
// is not the owner.
func (o *Owner) Token() []byte {
	if l := o.linkTerm.Load(); l != nil && l.term.Valid() {
		return l.term.Token
	}
	return nil
}

// Notify passes on a job or a cancellation that was stored. Items that are older than the
// term are ignored: load reads them together with their progress.
func (o *Owner) Notify(item kv.Item) {
	l := o.linkTerm.Load()
	if l == nil || item.Revision <= l.term.Number {
		return
	}
	select {
	case l.events <- event{time.Now(), func(now time.Time) { o.applySubmission(item, nil, now) }}:
	case <-l.done:
	}
}

// QueryState answers a query for the state of a job by calling reply, from the scheduling loop.
// If the queue of queries is full, it replies at once that the state is not known, and the
// host reads the store.
func (o *Owner) QueryState(id string, reply func(ownerlink.Answer)) {
	l := o.linkTerm.Load()
	if l == nil {
		reply(ownerlink.Answer{})
		return
	}
	select {
	case l.queries <- func() { reply(o.visibleState(id)) }:
	default:
		reply(ownerlink.Answer{})
	}
}

func (o *Owner) visibleState(id string) ownerlink.Answer {
	j, state := o.core.VisibleState(id)
	if j == nil || !o.term.Valid() {
		return ownerlink.Answer{}
	}
	return ownerlink.Answer{Known: true, State: state, Queue: j.Queue, Account: j.Account, Origin: j.Origin}
}
