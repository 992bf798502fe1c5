package catalog

import (
	"egretdrum.example/job"
	"egretdrum.example/origin"
)

// Accept ties a job to the queue and the account that accept it. The account is empty in a queue that is open
// to all.
func (c *Catalog) Accept(j *job.Job, q *Queue, account string) {
	terms := &job.Terms{Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Allowance: q.Allowance}
	if a := q.Advice; a != nil {
		terms.Advice = job.AdviceTerms{BaseTime: a.BaseTime, TimePerWorker: a.TimePerWorker, TicketLifetime: a.TicketLifetime}
	}
	if a := c.Accounts[account]; a != nil {
		terms.Limit = a.Limit
	}
	j.Queue, j.Account = q.Name, account
	j.Origin, j.Terms = c.Origin(q, account), terms
}

// Origin identifies a queue and an account under the names that they may get later.
func (c *Catalog) Origin(q *Queue, account string) *origin.Origin {
	var keys []string
	if a := c.Accounts[account]; a != nil {
		keys = a.Keys
	}
	return origin.New(q.Host, q.Prefix, q.Pool, keys)
}

// Covers reports whether jobs that were accepted by a queue of the given name are shown at the address of q:
// they were accepted at this address, or the queue has another address now.
func (q *Queue) Covers(name string, o *origin.Origin) bool {
	if !o.Known() {
		return q.Name == name
	}
	return o.Address == origin.Address(q.Host, q.Prefix) || q.Name == name && q.Pool == o.Pool
}

// AcceptedBy returns the present queue of a job that was accepted by a queue of the given name, nil if it is
// not configured any more. It has the same name, or the same address and pool.
func (c *Catalog) AcceptedBy(name string, o *origin.Origin) *Queue {
	named := c.Queues[name]
	if !o.Known() {
		return named
	}
	if q := c.byAddress[o.Address]; q != nil && (q.Name == name || q.Pool == o.Pool) {
		return q
	}
	if named != nil && named.Covers(name, o) {
		return named
	}
	return nil
}

// AcceptedFrom returns the present account of a job that was accepted from an account of the given name, nil
// if it is not configured any more. The keys of the account tell it from another one that has its name now.
func (c *Catalog) AcceptedFrom(name string, o *origin.Origin) *Account {
	named := c.Accounts[name]
	if o == nil {
		return named
	}
	var holder *Account
	for _, k := range o.Keys {
		switch a := c.byDigest[k]; {
		case a == nil:
		case a == named:
			return named
		case holder == nil:
			holder = a
		}
	}
	if holder != nil {
		return holder
	}
	// All keys may have been replaced since.
	return named
}
