package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"egretdrum.example/job"
	"egretdrum.example/worker"
)

// newUnsentStarts returns three starts for one worker that are not sent yet.
func newUnsentStarts(t *testing.T) (*simulation, []Start) {
	sim := newSimulation(1)
	sim.run(time.Second)
	sim.core.AddJob(&job.Job{ID: "a", Queue: "rounds", Steps: []job.Step{{Count: 3, Need: small}}}, nil, false, sim.now)
	sim.core.Tick(sim.now)
	starts := sim.core.TakeActions().Starts
	qt.Assert(t, starts, qt.HasLen, 3)
	return sim, starts
}

// answerPoll answers the next poll that the scheduler orders and returns it.
func (sim *simulation) answerPoll(t *testing.T, incarnation int64, running ...worker.Run) Poll {
	sim.now = sim.now.Add(simulationStep)
	sim.core.Tick(sim.now)
	polls := sim.core.TakeActions().Polls
	qt.Assert(t, polls, qt.HasLen, 1)
	sim.core.PollAnswered(polls[0], &worker.Listing{Incarnation: incarnation, Clock: time.Hour, Running: running}, false, sim.now)
	return polls[0]
}

func assertRun(t *testing.T, sim *simulation, index int, want int64) {
	t.Helper()
	_, run := sim.core.Task(job.Task{Job: "a", Index: index})
	qt.Assert(t, run, qt.Equals, want)
}

// Covers workers that leave orders unanswered and execute them late: one uncertain start must not
// drop the starts that wait to be sent after it. In one case, 2,602 runs were dropped after 619
// unanswered starts.
func TestUnansweredStartKeepsUnsentStarts(t *testing.T) {
	sim, starts := newUnsentStarts(t)
	qt.Assert(t, starts[0].Claim(), qt.IsTrue)
	sim.core.StartAnswered(starts[0], StartAnswer{Result: StartUnanswered}, sim.now)
	poll := sim.answerPoll(t, 1)
	assertRun(t, sim, 1, starts[1].Run)
	qt.Assert(t, starts[1].Claim(), qt.IsTrue)
	qt.Assert(t, starts[1].Fence, qt.Equals, poll.Fence)
	sim.core.StartAnswered(starts[1], StartAnswer{Result: StartAccepted}, sim.now)
	assertRun(t, sim, 1, starts[1].Run)
	assertRun(t, sim, 0, 0)
}

// Guards against a second run: a start that was sent with the lower fencing token and that a poll
// with the higher one does not list was never executed and never will be, so its task starts
// again. A withdrawn start is not sent.
func TestStartWithLowerFencingTokenIsDropped(t *testing.T) {
	sim, starts := newUnsentStarts(t)
	qt.Assert(t, starts[0].Claim(), qt.IsTrue)
	qt.Assert(t, starts[1].Claim(), qt.IsTrue)
	sim.core.StartAnswered(starts[0], StartAnswer{Result: StartUnanswered}, sim.now)
	sim.answerPoll(t, 1)
	assertRun(t, sim, 1, 0)
	sim.core.StartAnswered(starts[1], StartAnswer{Result: StartFenced, Reason: "fence"}, sim.now)
	qt.Assert(t, sim.core.usable(sim.core.workers["w0"]), qt.IsTrue)
	sim.core.Cancel("a", sim.now)
	qt.Assert(t, starts[2].Claim(), qt.IsFalse)
}

// Guards against a lease on the clock of an earlier incarnation: the clock of the new one begins
// at zero, so that the lease of the start would be far too long.
func TestStartForEarlierIncarnationIsNotSent(t *testing.T) {
	sim, starts := newUnsentStarts(t)
	registration := sim.workers["w0"].registration
	registration.Incarnation++
	sim.core.SetWorker(registration, sim.now)
	qt.Assert(t, starts[0].Claim(), qt.IsFalse)
}

// Guards against a worker that stays unused for long because one answer was lost, and against
// mistaking a network that has become slow for one that loses answers.
func TestAnswerTimeoutFollowsLatency(t *testing.T) {
	s := New(DefaultLimits(), 1, time.Now())
	qt.Assert(t, s.answerTimeout(), qt.Equals, maxAnswerTimeout)
	s.answers.latency.RecordAnswer(3 * time.Millisecond)
	qt.Assert(t, s.answerTimeout(), qt.Equals, minAnswerTimeout)
	qt.Assert(t, s.pollTimeout(2), qt.Equals, maxAnswerTimeout)
	s.answers.latency.RecordAnswer(time.Second)
	qt.Assert(t, s.answerTimeout(), qt.Equals, maxAnswerTimeout)
}

// Guards against ends that the owner learns of most of a second late while answers are lost.
func TestPollWaitIsShortWhileAnswersAreLost(t *testing.T) {
	s := New(DefaultLimits(), 1, time.Now())
	qt.Assert(t, s.pollWait(), qt.Equals, s.limits.PollWait)
	for range 20 {
		s.answers.recordPoll(false)
	}
	qt.Assert(t, s.pollWait(), qt.Equals, lossyWait)
	for range 200 {
		s.answers.recordPoll(true)
	}
	qt.Assert(t, s.pollWait(), qt.Equals, s.limits.PollWait)
}
