package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/callerbody"
	"egretdrum.example/callerlimit"
	"egretdrum.example/callermemory"
	"egretdrum.example/jobapi"
	"egretdrum.example/platform"
)

const (
	// maxHeaderBytes is limits.maxHeaderBytes of the configurations in use; net/http allows
	// 4 KB more. The servers start before a configuration is read.
	maxHeaderBytes = 16 << 10
	// headerTimeout is limits.headerTimeoutMs of the configurations in use.
	headerTimeout = 3 * time.Second
	// callerIdleTimeout exceeds the interval between the requests of callers that poll.
	callerIdleTimeout = 60 * time.Second
	// requestTimeout bounds the time in which a request without a body of use arrives.
	requestTimeout = 5 * time.Second
	// writeTimeout bounds the time in which a caller takes an answer that is larger than a buffer.
	writeTimeout = time.Minute
	// callerConnectionMemory is the memory that a caller's idle connection needs, with its buffers
	// and its goroutine; a small body takes up to 8 KB more. callerMemoryShare is the share that these
	// connections may use.
	callerConnectionMemory = 24 << 10
	callerMemoryShare      = 0.2
	// headMemory is what the largest head takes while it arrives: 17 times its text, as 400
	// unfinished heads of 15 KB in fields of five bytes raised a host from 25 to 126 MiB.
	// headMemoryShare is the share of the memory for such heads of callers.
	headMemory      = 340 << 10
	headMemoryShare = 0.05
	minHeads        = 4
	// answerMemory is what an answer of the store with the largest job takes until its call is
	// answered: its text twice while it is read, the value and the decoded job. answerMemoryShare is
	// the share of the memory for such answers to callers' calls.
	answerMemory      = 2 << 20
	answerMemoryShare = 0.1
	// Shares of the descriptors. The rest is for workers, the store and established owner links.
	callerDescriptorShare = 0.5
	jobsDescriptorShare   = 0.05
	linkDescriptorShare   = 0.08
	adminDescriptorShare  = 0.02
	// minConnections is enough for the readiness checks and the readers of metrics of a host,
	// maxHandshakes for the owner links of all hosts that connect at the same time.
	minConnections = 8
	maxHandshakes  = 64
	maxAdmin       = 32
)

// boundedServer is an HTTP server whose connections are limited.
type boundedServer struct {
	http    *http.Server
	limit   *callerlimit.Limit
	address netip.AddrPort
}

// servers returns the servers of the host; the first is that of the callers.
func (h *platformHost) servers() []*boundedServer {
	s := h.startSettings
	bodies := callerbody.Receiver{Memory: h.memory, Meter: h.meter}
	api := jobapi.New(h.jobs.JobService, h.log)
	api.Bodies = bodies
	ready := func() bool { return !h.draining.Load() && h.jobs.JobService.Ready() }
	share := func(share float64, most int64) int64 {
		return max(minConnections, min(most, int64(share*float64(s.Descriptors))))
	}
	callerHandler := &platform.CallerHandler{JobService: h.jobs.JobService, Bodies: bodies, Log: h.log, Draining: &h.draining}
	callers := h.newServer("callers", callerHandler, s.Callers, maxCallers(s))
	callers.limit.MaxHeads = max(minHeads, int(headMemoryShare*float64(s.MemoryBytes)/headMemory))
	jobs := h.newServer("jobs", api, s.Jobs, share(jobsDescriptorShare, maxCallers(s)))
	readiness := h.newServer("readiness", platform.Readiness(ready), s.Readiness, share(adminDescriptorShare, maxAdmin))
	metrics := h.newServer("metrics", h.meter.Handler(), s.Metrics, share(adminDescriptorShare, maxAdmin))
	// An established link is not a connection of the server any more.
	links := h.newServer("links", h.jobs.Links, s.Link, share(linkDescriptorShare, maxHandshakes))
	for _, server := range []*boundedServer{readiness, metrics, links} {
		server.http.ReadTimeout = requestTimeout
	}
	return []*boundedServer{callers, jobs, readiness, metrics, links}
}

func (h *platformHost) newServer(name string, handler http.Handler, address netip.AddrPort, connections int64) *boundedServer {
	s := &boundedServer{address: address, http: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}
	s.limit = &callerlimit.Limit{
		Max: connections, MaxHeads: minHeads, Refuse: platform.TooManyConnections(),
		Closed: func(c callerlimit.Closed) {
			h.meter.Count("closed_connections", "phase", string(c.Phase))
			h.log.Info("connection-closed", zap.String("server", name), zap.Stringer("from", c.From), zap.String("phase", string(c.Phase)), zap.Duration("quiet", c.Quiet))
		},
	}
	s.limit.Apply(s.http)
	return s
}

// serve listens and serves in the background. An error other than http.ErrServerClosed is sent
// to failed.
func (s *boundedServer) serve(ctx context.Context, failed chan<- error) error {
	if !s.address.IsValid() {
		return nil
	}
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", s.address.String())
	if err != nil {
		return err
	}
	go func() {
		if err := s.http.Serve(s.limit.Listen(l)); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

// maxCallers returns the number of callers' connections that the descriptors and the memory
// of the host allow.
func maxCallers(s *platform.Settings) int64 {
	byMemory := callerMemoryShare * float64(s.MemoryBytes) / callerConnectionMemory
	return max(1, int64(min(callerDescriptorShare*float64(s.Descriptors), byMemory)))
}

// callerMemory returns the limits for what callers have sent.
func callerMemory(s *platform.Settings) callermemory.Limits {
	return callermemory.Limits{
		Bodies:      int64(s.BodyMemoryShare * float64(s.MemoryBytes)),
		Processing:  int64(s.ProcessingMemoryShare * float64(s.MemoryBytes)),
		BodyTimeout: s.BodyTimeout,
	}
}

// reportCallers reports what callers use.
func (h *platformHost) reportCallers(callers *boundedServer) {
	h.meter.Gauge("caller_connections", float64(callers.limit.Open()))
	bodies, processing := h.memory.Usage()
	h.meter.Gauge("caller_body_memory_bytes", float64(bodies))
	h.meter.Gauge("caller_processing_memory_bytes", float64(processing))
}
