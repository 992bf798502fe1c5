package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// largeJobsSettings are those of a small deployment.
const largeJobsSettings = `[pool.rounds]
workers = 4
cores = 16
memory = 32768
zones = zone-a
[queue.rounds]
host = rounds.example
prefix = /rounds/
pool = rounds
[account.arbiters]
keys = key-1
[account.crowd]
keys = key-2
`

const (
	// largeJobsMemoryMb is the memory of an entry host in the small deployments.
	largeJobsMemoryMb = 284
	// The crowd hands in crowdJobs jobs of crowdSteps steps, crowdPerSecond at most. With large jobs, each
	// step has an image of imageBytes: 253,000 bytes of the 262,144 that a body may have.
	crowdJobs      = 1200
	crowdPerSecond = 45
	crowdClients   = 24
	crowdSteps     = 11
	imageBytes     = 22_900
	crowdTime      = 40 * time.Second
	// ordinaryInterval is the time between two jobs of the ordinary caller, ordinaryTime how long it
	// hands jobs in, and quietTime the time without a crowd until its jobs are asked for.
	ordinaryInterval = time.Second
	ordinaryTime     = 45 * time.Second
	quietTime        = 20 * time.Second
	// processRestart is the time until the platform starts a process again, memoryCheck the time between
	// two looks at the memory of the processes.
	processRestart = time.Second
	memoryCheck    = 20 * time.Millisecond
	// endsPerHost and hostsWithEnds are from when on the day counts as faulty.
	endsPerHost   = 3
	hostsWithEnds = 2
)

// playLargeJobs has a crowd hand in many large jobs while an ordinary caller hands in small ones; without
// trouble, the jobs of the crowd are small, too.
func playLargeJobs(ctx context.Context, s *system, trouble bool) (verdict, error) {
	image := ""
	if trouble {
		image = strings.Repeat("x", imageBytes)
	}
	var steps []step
	for i := range crowdSteps {
		steps = append(steps, step{Count: 1, CPU: 100, EstRuntimeMs: 50, Image: image + strconv.Itoa(i)})
	}
	return s.playCrowd(ctx, &crowd{jobs: crowdJobs, perSecond: crowdPerSecond, spec: "run-time=50ms", steps: steps}, "rounds")
}

// crowd is a number of equal jobs that are handed in to the queue rounds.
type crowd struct {
	jobs, perSecond int
	spec            string
	steps           []step
}

// playCrowd has a crowd hand jobs in while an ordinary caller hands small ones in to a queue. The platform
// kills each process that exceeds the memory of its machine, and starts it again.
func (s *system) playCrowd(ctx context.Context, c *crowd, queue string) (verdict, error) {
	ctx, cancel := context.WithCancel(ctx)
	var watches sync.WaitGroup
	killed := make([]int, len(s.hosts))
	for i, h := range s.hosts {
		watches.Go(func() { killed[i] = s.guardMemory(ctx, h) })
	}
	defer watches.Wait()
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() { s.sendCrowd(ctx, c) })
	accepted := s.callOrdinary(ctx, queue)
	clients.Wait()
	time.Sleep(quietTime)
	unfinished := 0
	for _, id := range accepted {
		status, state := s.state(queue, id, "key-1")
		if state != "succeeded" {
			unfinished++
			s.record.note("client: GET /%s/%s -> %d %s", queue, id, status, state)
		}
	}
	cancel()
	watches.Wait()
	if len(accepted) == 0 {
		return verdict{}, errors.New("no job of the ordinary caller was accepted")
	}
	faulty := 0
	for _, n := range killed {
		if n >= endsPerHost {
			faulty++
		}
	}
	text := fmt.Sprintf("processes over their memory: %v times on the hosts; %d of %d accepted jobs of the ordinary caller are not shown as done %v after it handed in the last one", killed, unfinished, len(accepted), quietTime)
	return verdict{unfinished > 0 || faulty >= hostsWithEnds, text}, nil
}

// guardMemory kills the process of a host when it exceeds the memory of its machine, starts it again, and
// returns how often that happened until ctx ends.
func (s *system) guardMemory(ctx context.Context, h *entryHost) int {
	highest := 0
	for killed := 0; ; {
		select {
		case <-ctx.Done():
			s.record.note("platform: highest memory of %s was %d MB", h.name, highest)
			return killed
		case <-time.After(memoryCheck):
		}
		mb := h.residentMb()
		highest = max(highest, mb)
		if mb <= largeJobsMemoryMb {
			continue
		}
		killed++
		s.record.note("platform: killed %s, which uses %d MB", h.name, mb)
		h.signal(syscall.SIGKILL)
		<-h.ended
		select {
		case <-ctx.Done():
			return killed
		case <-time.After(processRestart):
		}
		if err := h.start(h.process.Path); err != nil {
			s.record.note("%s did not start again: %v", h.name, err)
			return killed
		}
	}
}

// residentMb returns the resident memory of the process without its program file, zero if it has ended.
func (h *entryHost) residentMb() int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(h.process.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}

// sendCrowd hands in the jobs of a crowd, each until it is accepted.
func (s *system) sendCrowd(ctx context.Context, c *crowd) {
	ctx, cancel := context.WithTimeout(ctx, crowdTime)
	defer cancel()
	body := struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
	}{c.spec, c.steps}
	var next, accepted, refused atomic.Int64
	var clients sync.WaitGroup
	pace := time.NewTicker(time.Second / time.Duration(c.perSecond))
	defer pace.Stop()
	for range crowdClients {
		clients.Go(func() {
			for i := next.Add(1); i <= int64(c.jobs) && ctx.Err() == nil; i = next.Add(1) {
				<-pace.C
				for ctx.Err() == nil {
					status, _ := s.call(http.MethodPost, "rounds", fmt.Sprintf("%016x", 0xc000+i), "key-2", body)
					if status == http.StatusOK {
						accepted.Add(1)
						break
					}
					refused.Add(1)
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	s.record.note("crowd: %d jobs accepted, %d attempts refused or without an answer", accepted.Load(), refused.Load())
}

// callOrdinary hands small jobs in to a queue and returns the IDs of the accepted ones.
func (s *system) callOrdinary(ctx context.Context, queue string) []string {
	body := struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
	}{"run-time=300ms", []step{{Count: 2, CPU: 500, EstRuntimeMs: 300}}}
	var accepted []string
	for end := time.Now().Add(ordinaryTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(ordinaryInterval) {
		id := fmt.Sprintf("%016x", 0xd000+len(accepted))
		status, answer := s.call(http.MethodPost, queue, id, "key-1", body)
		s.record.note("client: POST /%s/%s -> %d %s", queue, id, status, answer)
		if status == http.StatusOK {
			accepted = append(accepted, id)
		}
	}
	return accepted
}
