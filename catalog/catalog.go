// Package catalog holds the configuration of queues, pools and client accounts in the form
// that entry hosts use.
package catalog

import (
	"strings"
	"time"

	"egretdrum.example/origin"
	"egretdrum.example/resource"
)

// Catalog is one version of the configuration. It is immutable.
type Catalog struct {
	Version  int64
	Queues   map[string]*Queue
	Pools    map[string]*Pool
	Accounts map[string]*Account
	// MaxBodyBytes limits the body of a submission.
	MaxBodyBytes int64

	byHost map[string][]*Queue
	byKey  map[string]*Account
	// byAddress and byDigest have the queues and accounts by the digests of package origin.
	byAddress map[uint64]*Queue
	byDigest  map[uint64]*Account
}

// Queue is the configuration of the queue for one kind of job.
type Queue struct {
	Name string
	// Host and Prefix are the host and the path prefix of the requests for the queue.
	Host, Prefix string
	// Pool names the workers that run the tasks of the queue.
	Pool string
	// Open queues accept requests without a key.
	Open bool
	// Priority orders queues: 0 is the highest.
	Priority int
	// MaxAttempts is the number of failures of a task after which its job fails.
	MaxAttempts int
	// Stretch and Allowance define the latency objective: Stretch times the critical path
	// of the job, plus Allowance.
	Stretch   float64
	Allowance time.Duration
	// Advice is set if an advice service decides which workers may run a step of the queue.
	Advice *Advice
}

// Advice is the response time of the advice service and the lifetime of its tickets.
type Advice struct {
	// BaseTime is the time of a request, and TimePerWorker the additional time for each
	// worker named in it.
	BaseTime, TimePerWorker time.Duration
	// TicketLifetime is how long a ticket is valid.
	TicketLifetime time.Duration
}

// Pool is a set of workers.
type Pool struct {
	Name string
	// Standby pools keep their workers switched off.
	Standby bool
	// EnforcesCapacity is set if the workers reject tasks that exceed their free capacity.
	EnforcesCapacity bool
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// GuaranteedJobsPerSecond is the number of jobs a second that the account may
	// submit before its further jobs are placed after those of other accounts.
	GuaranteedJobsPerSecond int
	// Limit bounds the resources of the account's running tasks; zero fields are unlimited.
	Limit resource.Amount
}

// New returns the catalog of the given objects, with its indexes.
func New(version int64, queues []*Queue, pools []*Pool, accounts []*Account, maxBodyBytes int64) *Catalog {
	c := &Catalog{
		Version: version, MaxBodyBytes: maxBodyBytes,
		Queues: make(map[string]*Queue), Pools: make(map[string]*Pool), Accounts: make(map[string]*Account),
		byHost: make(map[string][]*Queue), byKey: make(map[string]*Account),
		byAddress: make(map[uint64]*Queue), byDigest: make(map[uint64]*Account),
	}
	for _, q := range queues {
		c.Queues[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
		c.byAddress[origin.Address(q.Host, q.Prefix)] = q
	}
	for _, p := range pools {
		c.Pools[p.Name] = p
	}
	for _, a := range accounts {
		c.Accounts[a.Name] = a
		for _, k := range a.Keys {
			c.byKey[k] = a
			c.byDigest[origin.Key(k)] = a
		}
	}
	return c
}

// Find returns the queue with the longest prefix that path begins with, or nil.
func (c *Catalog) Find(host, path string) *Queue {
	var found *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}
	return found
}

// ByKey returns the account that has the key, or nil.
func (c *Catalog) ByKey(key string) *Account { return c.byKey[key] }

// EnforcesCapacity reports whether the workers of a pool reject tasks that exceed their free capacity.
func (c *Catalog) EnforcesCapacity(pool string) bool {
	p := c.Pools[pool]
	return p != nil && p.EnforcesCapacity
}
