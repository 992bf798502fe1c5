package minion

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	benchRequests = 4000
	benchParallel = 5 // as many as the idle connections of a client
)

// round is one measured way to the same stand-in minion.
type round struct {
	name  string
	do    func() error
	times []time.Duration
	spent [3]float64 // processor seconds, allocations and bytes, stand-in minion included
}

// BenchmarkRelay prints ratios to a direct net/http call within one run; the ways take
// turns, so that a change of the machine's load meets all of them.
func BenchmarkRelay(b *testing.B) {
	r := newRig(b, nil)
	back := "http://" + r.address.String()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { relay(r, w, req) }))
	defer front.Close()
	direct := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchParallel}}
	call := func(url string) func() error {
		return func() error { return drain(direct.Post(url, "", strings.NewReader("body"))) }
	}
	client := func() error {
		req, _ := http.NewRequest(http.MethodPost, back, strings.NewReader("body"))
		return drain(r.client.Send(req.Context(), "s", r.address, req))
	}
	rounds := []*round{{name: "direct", do: call(back)}, {name: "client", do: client}, {name: "relay", do: call(front.URL)}}
	for b.Loop() {
		for _, way := range rounds {
			way.measure(b)
		}
	}
	base := rounds[0]
	for _, way := range rounds {
		for _, q := range []int{50, 99} {
			b.ReportMetric(float64(way.quantile(q))/float64(base.quantile(q)), fmt.Sprintf("%s-p%d-ratio", way.name, q))
		}
		b.ReportMetric(base.perRequest(0)/way.perRequest(0), way.name+"-percore-ratio")
		b.ReportMetric(way.perRequest(1)-base.perRequest(1), way.name+"-more-allocs")
		b.ReportMetric(way.perRequest(2)-base.perRequest(2), way.name+"-more-bytes")
	}
	b.ReportMetric(float64(r.minion.Accepted()), "connections")
	b.ReportMetric(float64(base.quantile(50).Microseconds()), "direct-p50-µs")
	b.ReportMetric(1/base.perRequest(0), "direct-req/cpu-s")
}

func drain(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func relay(r *rig, w http.ResponseWriter, req *http.Request) {
	resp, err := r.client.Send(req.Context(), "s", r.address, req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (x *round) measure(b *testing.B) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	before := spending(b)
	for range benchParallel {
		wg.Go(func() {
			for range benchRequests / benchParallel {
				start := time.Now()
				if err := x.do(); err != nil {
					b.Error(err)
					return
				}
				d := time.Since(start)
				mu.Lock()
				x.times = append(x.times, d)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for i, now := range spending(b) {
		x.spent[i] += now - before[i]
	}
}

func (x *round) perRequest(i int) float64 { return x.spent[i] / float64(len(x.times)) }

func (x *round) quantile(percent int) time.Duration {
	slices.Sort(x.times)
	return x.times[len(x.times)*percent/100]
}

func spending(b *testing.B) [3]float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return [3]float64{float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9, float64(m.Mallocs), float64(m.TotalAlloc)}
}
