package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// olderCommit is the build from which and to which hosts are replaced.
	olderCommit = "7e6a023"
	// handOverAfter is how long the jobs of a hand-over run under the first build: some have
	// begun then, some of their tasks have failed, and some jobs are cancelled.
	handOverAfter = 900 * time.Millisecond
	// replaceInterval is the time between the replacements of two hosts.
	replaceInterval = 500 * time.Millisecond
	upgradeHosts    = 4
	// mixedShare is the part of the time for faults, 1/mixedShare, in which builds are mixed.
	mixedShare = 2
	// ownerKillInterval is the time between two kills of the owner while builds are mixed.
	ownerKillInterval = 2500 * time.Millisecond
)

// buildOlder builds the program of olderCommit and returns its path.
func buildOlder(t *testing.T) string {
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Fatalf("this test builds commit %s and needs a clone with its history: git rev-parse: %v", olderCommit, err)
	}
	dir := t.TempDir()
	git := func(args ...string) *exec.Cmd {
		return exec.Command("git", append([]string{"-C", strings.TrimSpace(string(root))}, args...)...)
	}
	if out, err := git("cat-file", "-e", olderCommit+"^{commit}").CombinedOutput(); err != nil {
		t.Fatalf("this test builds commit %s, which this clone does not have; a shallow clone has to be deepened (git fetch --unshallow): %v %s", olderCommit, err, out)
	}
	archive := filepath.Join(dir, "older.tar")
	source := filepath.Join(dir, "source")
	qt.Assert(t, os.Mkdir(source, 0o700), qt.IsNil)
	for _, cmd := range []*exec.Cmd{
		git("archive", "--format=tar", "-o", archive, olderCommit, ".", ":(exclude)journal"),
		exec.Command("tar", "-xf", archive, "-C", source),
		exec.Command("go", "build", "-C", source, "-buildvcs=false", "-o", filepath.Join(dir, "egretdrum"), "./cmd/egretdrum"),
	} {
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", cmd, err, out)
		}
	}
	return filepath.Join(dir, "egretdrum")
}

// TestUpgrade guards against builds that do not understand each other's records, orders or
// links: hosts are replaced one by one under load, in both directions, and owners of both
// builds take over from each other.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	older := buildOlder(t)
	seed := max(*seedFlag, ciSeed)
	c := newCluster(t, deployment(upgradeHosts), seed, upgradeHosts)
	for _, h := range c.hosts {
		h.binary = older
	}
	r := newRun(c, seed)
	c.startAll()
	qt.Assert(t, c.waitReady(startWithin), qt.IsTrue)
	r.begin()
	sleep(t.Context(), warmUp)
	r.measure()
	u := &upgrade{c: c, r: r, older: older, rng: rand.New(rand.NewPCG(seed, 2))}
	u.replaceAll(binary)
	u.replaceAll(older)
	u.handOver(older, binary)
	u.handOver(binary, older)
	u.mix(*durationFlag / mixedShare)
	r.settle()
	r.finish(&inflictor{c: c, callers: r.callers})
	u.report()
	r.report(fmt.Sprintf("go test ./soak -run TestUpgrade -count=1 -args -seed %d -for %v", seed, *durationFlag))
}

// upgrade replaces builds.
type upgrade struct {
	c     *cluster
	r     *run
	older string
	rng   *rand.Rand
	// handed are the jobs of the hand-overs by their direction.
	handed map[string][]*submitted
}

func (u *upgrade) name(build string) string {
	if build == u.older {
		return "older"
	}
	return "newer"
}

func (h *host) use(build string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.binary = build
}

// replaceAll replaces the hosts one by one, each with a planned stop.
func (u *upgrade) replaceAll(build string) {
	for _, h := range u.c.hosts {
		u.c.note("%s gets the %s build", h.name, u.name(build))
		h.stop()
		h.use(build)
		h.start()
		sleep(context.Background(), replaceInterval)
	}
	u.c.waitReady(startWithin)
}

// handOver lets an owner of one build accept, begin, fail and cancel jobs, and then kills all
// hosts of that build, so that one of the other build takes over.
func (u *upgrade) handOver(from, to string) {
	half := len(u.c.hosts) / 2
	first, second := u.c.hosts[:half], u.c.hosts[half:]
	u.c.note("hand-over from the %s build to the %s one", u.name(from), u.name(to))
	together(second, func(h *host) { h.hold(); h.use(to) })
	together(first, func(h *host) { h.stop(); h.use(from); h.start() })
	sleep(context.Background(), warmUp)
	owner := u.c.ownerHost()
	if owner == nil || owner.buildInUse() != from {
		u.c.fail("hand-over", "the owner is not of the %s build", u.name(from))
	}
	jobs := u.submitJobs()
	sleep(context.Background(), handOverAfter)
	together(second, func(h *host) { h.release(); h.start() })
	sleep(context.Background(), warmUp/3)
	together(first, func(h *host) { h.hold() })
	sleep(context.Background(), warmUp)
	owner = u.c.ownerHost()
	if owner == nil || owner.buildInUse() != to {
		u.c.fail("hand-over", "the owner is not of the %s build", u.name(to))
	}
	together(first, func(h *host) { h.release(); h.start() })
	if u.handed == nil {
		u.handed = make(map[string][]*submitted)
	}
	u.handed[u.name(from)+" to "+u.name(to)] = jobs
	u.c.waitReady(startWithin)
}

// together calls steps for all hosts, the hosts of a step at the same time.
func together(hosts []*host, steps ...func(*host)) {
	for _, step := range steps {
		var all sync.WaitGroup
		for _, h := range hosts {
			all.Go(func() { step(h) })
		}
		all.Wait()
	}
}

// hold kills a host and keeps it down until release.
func (h *host) hold() {
	h.mu.Lock()
	h.down++
	h.disturbed = append(h.disturbed, span{from: time.Now()})
	p := h.process
	h.mu.Unlock()
	if p != nil {
		p.kill()
	}
}

func (h *host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down--
	for n := range h.disturbed {
		if h.disturbed[n].to.IsZero() {
			h.disturbed[n].to = time.Now()
		}
	}
}

func (h *host) buildInUse() string {
	p := h.current()
	if p == nil || !p.running() {
		return ""
	}
	return p.cmd.Path
}

// submitJobs submits a job of each kind that is not over when the other build takes over.
func (u *upgrade) submitJobs() []*submitted {
	one := step{Count: 2, CPU: 500, Memory: 64, EstimateMs: 1500}
	second, third := one, one
	second.After, third.After = []int{0}, []int{0, 1}
	many, saved, together, long, copied := one, one, one, one, one
	many.Count, many.CPU = 30, 1000
	saved.Checkpoints, saved.EstimateMs = true, 4000
	together.Gang, long.Long, copied.Speculative = true, true, true
	plans := []*plan{
		{kind: "not begun or partly run", steps: []step{many}, want: "succeeded"},
		{kind: "steps", steps: []step{one, second, third}, want: "succeeded"},
		{kind: "partly failed", spec: "failures=2", steps: []step{one}, want: "succeeded"},
		{kind: "failing for good", spec: "failures=9", steps: []step{one}, want: "failed"},
		{kind: "checkpointing", steps: []step{saved}, want: "succeeded"},
		{kind: "gang", steps: []step{together}, want: "succeeded"},
		{kind: "copied", steps: []step{copied}, want: "succeeded"},
		{kind: "cancelled before", steps: []step{long}, cancelAfter: handOverAfter / 3},
		{kind: "cancelled near", steps: []step{saved, second}, cancelAfter: handOverAfter + warmUp/3},
		{kind: "cancelled after", steps: []step{long}, cancelAfter: 3 * warmUp},
	}
	var jobs []*submitted
	for _, p := range plans {
		drawn := newPlan(u.rng)
		p.id, p.choices, p.queue, p.account = drawn.id, drawn.choices, "ratings", otherAccount
		jobs = append(jobs, u.r.callers.follow(u.r.follow, p, time.Now()))
	}
	return jobs
}

// mix runs both builds beside each other and kills the owner again and again, in turn with planned
// stops.
func (u *upgrade) mix(d time.Duration) {
	for n, h := range u.c.hosts {
		h.use([]string{u.older, binary}[n%2])
		h.stop()
		h.start()
	}
	u.c.waitReady(startWithin)
	kills := make(map[string]int)
	for end := time.Now().Add(d); time.Now().Before(end); sleep(context.Background(), ownerKillInterval) {
		h := u.c.ownerHost()
		if h == nil {
			continue
		}
		build := u.name(h.buildInUse())
		kills[build]++
		u.c.note("the owner %s, of the %s build, is killed", h.name, build)
		h.crash(time.Duration(200+u.rng.IntN(1800)) * time.Millisecond)
	}
	u.c.t.Logf("owners killed while builds were mixed: %v", kills)
}

// report prints what became of the jobs of the hand-overs.
func (u *upgrade) report() {
	for way, jobs := range u.handed {
		for _, j := range jobs {
			u.c.t.Logf("%s: %s: %s", way, j.kind, j.outcome())
			if want := j.want; want != "" && j.outcome() != want || strings.HasPrefix(j.kind, "cancelled") && j.outcome() != "cancelled" {
				u.c.fail("hand-over", "%s: a job %s has ended as %s", way, j.kind, j.outcome())
			}
		}
	}
}
