// Package storekeys defines the keys under which entry hosts keep their state in the store.
package storekeys

import (
	"strconv"
	"strings"
)

const (
	// Owner is the key that the owner holds under a lease.
	Owner = "egretdrum/owner"
	// Waiting is the key of the number of jobs in each queue that have not begun. It is under the lease of
	// the owner that has counted them.
	Waiting = "egretdrum/waiting"
	// Counts has the same numbers without a lease, for builds that do not know Waiting.
	Counts = "egretdrum/count"
	// WaitingCounted is an entry of the value of Counts that is no queue. It tells hosts that the owner which
	// wrote them stores Waiting too, so that they may be those of an earlier owner.
	WaitingCounted = ""
	// Submissions is the prefix of the keys of accepted jobs and of their cancellations.
	Submissions = "egretdrum/in/"
	// Results is the prefix of the keys of the results of jobs. The result of a job is its
	// stored progress, a progress.Record; it is no output of its tasks.
	Results = "egretdrum/out/"
	// Waves is the prefix of the keys of the progress of maintenance waves.
	Waves = "egretdrum/wave/"
	// PoolUse is the key of the pools that each queue has used.
	PoolUse = "egretdrum/pools"
	// UnresponsiveWorkers is the prefix of the keys of the records of workers that do not answer.
	UnresponsiveWorkers = "egretdrum/silent/"

	cancelSuffix = "/cancel"
)

// Job returns the key of an accepted job.
func Job(id string) string { return Submissions + id }

// Cancel returns the key that marks a job as cancelled.
func Cancel(id string) string { return Submissions + id + cancelSuffix }

// Result returns the key of a job's result, which is its stored progress.
func Result(id string) string { return Results + id }

// Wave returns the key of a maintenance wave's progress.
func Wave(number int64) string { return Waves + strconv.FormatInt(number, 10) }

// UnresponsiveWorker returns the key of the record of a worker that does not answer.
func UnresponsiveWorker(worker string) string { return UnresponsiveWorkers + worker }

// ParseSubmission returns the job of a key under Submissions, and whether the key is that of
// its cancellation.
func ParseSubmission(key string) (id string, cancel bool) {
	rest := strings.TrimPrefix(key, Submissions)
	if id, ok := strings.CutSuffix(rest, cancelSuffix); ok {
		return id, true
	}
	return rest, false
}
