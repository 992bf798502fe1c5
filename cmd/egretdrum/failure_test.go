package main

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/change"
	"egretdrum.example/contract"
	"egretdrum.example/minionfake"
	"egretdrum.example/operator"
)

// someAnswers is enough traffic to touch every host, minion and team.
const someAnswers = 200

// TestFailures runs the system in processes with one failure in each case, and judges it
// by the callers' view and the minions' own records.
func TestFailures(t *testing.T) {
	for _, test := range []struct {
		name             string
		entries, minions int
		run              func(*cluster, *traffic) []string
	}{
		{"crash and restart", 3, 4, crashAndRestart},
		{"pause past the lease", 3, 4, pausePastLease},
		{"silent connections", 3, 4, silentConnections},
		{"store outage with a crash", 4, 4, storeOutage},
		{"replacement of all entry hosts", 3, 4, replaceAll},
		{"operators race and an answer is lost", 3, 4, operatorsRace},
		{"withdrawn key", 3, 4, withdrawnKey},
		{"lowered limit", 3, 4, loweredLimit},
		{"lost zone", 3, 6, lostZone},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, test.entries, test.minions)
			tr := cl.newTraffic()
			tr.flow(someAnswers)
			broken := test.run(cl, tr)
			j := tr.judge()
			j.check(cl.c, append(broken, j.everything()...))
		})
	}
}

// crashAndRestart guards against requests that run twice or beyond a limit because their
// entry host crashed with them, or because its successor under the same name reuses what
// the predecessor held.
func crashAndRestart(cl *cluster, tr *traffic) []string {
	cl.crash(cl.entries[0])
	tr.flow(someAnswers)
	cl.launch(cl.entries[0])
	cl.waitComplete()
	tr.flow(someAnswers)
	return nil
}

// pausePastLease guards against an entry host that goes on with credits, slots and
// queued requests that were reclaimed while it was paused.
func pausePastLease(cl *cluster, tr *traffic) []string {
	h := cl.entries[0]
	cl.crashed[h.name] = true
	cl.c.Assert(h.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	cl.eventually("removal of the paused host", func() bool {
		s, err := operator.FetchStatus(context.Background(), cl.entries[1].api())
		return err == nil && len(s.Members) == len(cl.entries)-1
	})
	cl.c.Assert(h.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	cl.c.Check(h.cmd.Wait(), qt.IsNotNil, qt.Commentf("a removed host ends with an error"))
	cl.launch(h)
	cl.waitComplete()
	tr.flow(someAnswers)
	return nil
}

// silentConnections guards against a minion that stays unused, or a request that is sent
// twice, after the paths of its open connections went silent.
func silentConnections(cl *cluster, tr *traffic) []string {
	silent := cl.minions[:2]
	cl.fault("silence", silent...)
	before := cl.records()
	tr.flow(someAnswers)
	for _, m := range silent {
		cl.eventually(m.Worker+" is used again", func() bool {
			return len(cl.records()[m.Worker].Runs) > len(before[m.Worker].Runs)+someAnswers/10
		})
	}
	return nil
}

// storeOutage guards against traffic that depends on the store, against state that is
// reclaimed without it, and against hosts that do not find together afterwards.
func storeOutage(cl *cluster, tr *traffic) []string {
	cl.storeFaults(`{"down":true}`)
	tr.flow(someAnswers)
	cl.crash(cl.entries[0])
	tr.flow(2 * someAnswers)
	cl.storeFaults(`{"paused":true}`)
	tr.flow(someAnswers)
	cl.storeFaults(`{"stale":true,"delay":50000000}`)
	tr.flow(someAnswers)
	cl.storeFaults(`{}`)
	cl.launch(cl.entries[0])
	cl.waitComplete()
	cl.run("contract", "set", "--api", cl.entries[0].api(), "--upper-limit", "8", "--share", "31%", "--yes", "--wait", "30s", "tengri/federation")
	tr.flow(someAnswers)
	return nil
}

// replaceAll guards against requests that a planned stop cuts.
func replaceAll(cl *cluster, tr *traffic) []string {
	for _, h := range cl.entries {
		cl.stop(h)
		cl.launch(h)
		cl.waitComplete()
		tr.flow(someAnswers)
	}
	return nil
}

// operatorsRace guards against a change that overwrites another one unseen, and against
// a change that is made twice or reported as failed because the store's answer was lost.
func operatorsRace(cl *cluster, tr *traffic) (broken []string) {
	cfg, err := operator.Fetch(context.Background(), cl.entries[0].api())
	cl.c.Assert(err, qt.IsNil)
	const rounds = 5
	for round := range rounds {
		accepted := cl.race(cfg.Contracts["tengri/guests"], fmt.Sprintf("race-%d", round))
		if accepted != 1 {
			broken = append(broken, fmt.Sprintf("round %d of the race: %d changes accepted", round, accepted))
		}
		cl.waitVersion(cfg.Version + 1)
		cfg, err = operator.Fetch(context.Background(), cl.entries[0].api())
		cl.c.Assert(err, qt.IsNil)
	}
	cl.storeFaults(`{"lose-writes":1,"lose-key":"config"}`)
	cl.run("contract", "set", "--api", cl.entries[1].api(), "--share", "29%", "--yes", "--wait", "30s", "--reason", "lost answer", "tengri/arbiters")
	trail, err := operator.Audit(context.Background(), cl.entries[2].api())
	cl.c.Assert(err, qt.IsNil)
	kept := slices.DeleteFunc(trail, func(c change.Change) bool { return c.Reason != "lost answer" })
	if len(kept) != 1 || kept[0].Version != cfg.Version+1 {
		broken = append(broken, fmt.Sprintf("after a lost answer the audit trail has %+v; the version before was %d", kept, cfg.Version))
	}
	tr.flow(someAnswers)
	return broken
}

// race submits two changes of one contract through two entry hosts and returns how many
// were accepted.
func (cl *cluster) race(old contract.Contract, id string) (accepted int) {
	before, err := json.Marshal(old)
	cl.c.Assert(err, qt.IsNil)
	var mu sync.Mutex
	var both sync.WaitGroup
	for n, h := range cl.entries[:2] {
		next := old
		next.Share = 100_000 + old.Share%100_000 + int64(n+1)*1_000
		after, err := json.Marshal(next)
		cl.c.Assert(err, qt.IsNil)
		both.Go(func() {
			_, _, err := operator.Submit(context.Background(), h.api(), change.Change{
				ID: fmt.Sprintf("%s-%d-%s", id, n, crand.Text()), Operator: h.name, Action: "set-contract",
				Kind: change.KindContract, Name: old.Team, Before: before, After: after,
			})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				accepted++
			}
		})
	}
	both.Wait()
	return accepted
}

// withdrawnKey guards against an entry host that goes on to accept a withdrawn key.
func withdrawnKey(cl *cluster, tr *traffic) []string {
	const team = "tengri/guests"
	cl.run("key", "withdraw", "--api", cl.entries[0].api(), "--wait", "30s", team, cl.keyIDs[team])
	var ids []string
	for n := range 3 * len(cl.entries) {
		ids = append(ids, fmt.Sprintf("withdrawn-%d", n))
		tr.try(ids[n], team, []string{http.MethodPost, http.MethodGet}[n%2], n)
	}
	tr.flow(someAnswers)
	return tr.judge().ranAfterWithdrawal(ids)
}

// loweredLimit guards against a team that keeps running above a limit that was lowered.
// The new limit counts from the first run of a request that was sent after the change
// was in force, because what was admitted before may still start.
func loweredLimit(cl *cluster, tr *traffic) []string {
	const team, limit = "tengri/federation", 3
	cl.run("contract", "set", "--api", cl.entries[0].api(), "--upper-limit", fmt.Sprint(limit), "--yes", "--wait", "30s", team)
	for n := range cl.entries {
		tr.try(fmt.Sprintf("lowered-%d", n), team, http.MethodGet, n)
	}
	tr.flow(2 * someAnswers)
	j := tr.judge()
	from, found := time.Time{}, 0
	for _, record := range j.records {
		for _, r := range record.Runs {
			if strings.HasPrefix(r.RequestID, "lowered-") && (found == 0 || r.Started.Before(from)) {
				from = r.Started
				found++
			}
		}
	}
	if found == 0 {
		return []string{"no request ran after the limit was lowered"}
	}
	return j.overLimit(team, limit, from)
}

// lostZone guards against retries that multiply the load on the remaining minions. Before
// their zone is lost, one of its minions fails and one leaves, and then both are slow.
func lostZone(cl *cluster, tr *traffic) []string {
	lost := slices.DeleteFunc(slices.Clone(cl.minions), func(m *minionHost) bool { return m.Zone != zone(0) })
	cl.behave(lost[0], minionfake.Behaviour{FailStatus: http.StatusInternalServerError})
	cl.behave(lost[1], minionfake.Behaviour{Leaving: true})
	tr.flow(someAnswers)
	for _, m := range lost {
		cl.behave(m, minionfake.Behaviour{Delay: 5 * runTime})
	}
	tr.flow(someAnswers)
	cl.fault("refuse", lost...)
	tr.flow(2 * someAnswers)
	cl.fault("accept", lost...)
	tr.flow(someAnswers)
	offered := len(tr.judge().attempts)
	// The counters are complete once they stand still over a report interval.
	sent := 0
	cl.eventually("complete counters", func() bool {
		before := sent
		sent = cl.attemptsSent()
		if sent != before {
			time.Sleep(1500 * time.Millisecond)
		}
		return sent == before
	})
	cl.c.Logf("%d attempts for %d requests", sent, offered)
	return retriedTooMuch(sent, offered)
}
