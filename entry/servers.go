package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/callerlimit"
	"egretdrum.example/certificate"
	"egretdrum.example/httplimit"
)

const (
	maxHeaderBytes = 64 << 10
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	// maxPlainConns bounds the connections of operators, and those of peers until they are links.
	maxPlainConns = 256
	// unreadyDelay is the time from the failure of the readiness check to the close of idle
	// connections. A request that arrives on a connection while it is being closed gets no
	// response; load balancers that probe at least once a second have stopped using the host
	// by then.
	unreadyDelay = 1500 * time.Millisecond
)

// listeners are the listening sockets of the host.
type listeners struct {
	callers, operators, peers net.Listener
}

func addrPort(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

// Listen opens the addresses of the settings.
func (h *Host) Listen(ctx context.Context) error {
	var lc net.ListenConfig
	for _, socket := range []struct {
		name     string
		address  netip.AddrPort
		listener *net.Listener
	}{
		{"callers", h.settings.CallersAddress, &h.listeners.callers},
		{"operators", h.settings.OperatorAddress, &h.listeners.operators},
		{"peers", h.settings.PeerAddress, &h.listeners.peers},
	} {
		l, err := lc.Listen(ctx, "tcp", socket.address.String())
		if err != nil {
			return &StartError{Component: socket.name, Err: err}
		}
		*socket.listener = l
	}
	return h.loadCertificate()
}

func (h *Host) loadCertificate() error {
	if h.settings.CertificateFile == "" {
		return nil
	}
	pair, err := certificate.Load(h.settings.CertificateFile, h.settings.KeyFile, h.settings.PeerCAFile)
	if err != nil {
		return &StartError{Component: "tls", Err: err}
	}
	h.keyPair = pair
	return nil
}

// watchCertificate reloads the certificate when its files change.
func (h *Host) watchCertificate(ctx context.Context) {
	<-h.keyPair.Watch(ctx, refreshInterval, func(err error) {
		if err != nil {
			h.log.Error("certificate-refused", zap.Error(err))
			return
		}
		h.log.Info("certificate-in-force")
	})
}

// server is a running HTTP server; done yields the error with which it ended.
type server struct {
	http *http.Server
	done chan error
}

type servers struct {
	callers, operators, peers *server
}

func (h *Host) startServers() servers {
	limits := httplimit.Limits{
		Conns: h.settings.MaxConnections, HeaderTimeout: h.settings.HeaderTimeout, HeaderBytes: maxHeaderBytes,
		BodyBytes: h.settings.MaxBodyBytes, BodyTimeout: bodyTimeout, IdleTimeout: idleTimeout,
	}
	// Each server has its own configuration, because net/http writes to it.
	var callers, operators, peers *tls.Config
	if h.keyPair != nil {
		callers, operators = h.keyPair.Server(), h.keyPair.Server()
	}
	if h.settings.PeerCAFile != "" {
		peers = h.keyPair.PeerServer()
	}
	plain := func(handler http.Handler) *http.Server {
		s := &http.Server{
			Handler: handler, ReadHeaderTimeout: h.settings.HeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
		}
		(&callerlimit.Limit{Max: maxPlainConns, Refuse: http.HandlerFunc(refuseConnection)}).Apply(s)
		return s
	}
	return servers{
		callers:   serve(limits.Server(http.HandlerFunc(h.serveCaller)), limits.Listen(h.listeners.callers), callers),
		operators: serve(plain(h.operatorHandler()), h.listeners.operators, operators),
		peers:     serve(plain(h.mesh), h.listeners.peers, peers),
	}
}

func refuseConnection(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "too many connections", http.StatusServiceUnavailable)
}

// serve runs a server, with TLS if a configuration is given.
func serve(s *http.Server, l net.Listener, cfg *tls.Config) *server {
	if cfg != nil {
		s.TLSConfig = cfg
		l = tls.NewListener(l, cfg)
	}
	srv := &server{http: s, done: make(chan error, 1)}
	go func() { srv.done <- s.Serve(l) }()
	return srv
}

// shutdown stops the host in an order that interrupts no request: readiness fails, waiting
// requests are refused, running ones finish, slots and credits pass to the other hosts, and
// the host leaves the epoch. A request that arrives during unreadyDelay is refused and its
// connection closed.
func (h *Host) shutdown(s servers, leave bool) error {
	h.ready.Store(false)
	h.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.StopTimeout)
	defer cancel()
	h.node.Drain(time.Now())
	h.log.Info("draining", zap.Int("running", h.node.Running()))
	waitForBalancers(ctx, min(unreadyDelay, h.settings.StopTimeout/2))
	errs := []error{s.callers.http.Shutdown(ctx)}
	if leave {
		errs = append(errs, h.agent.Leave(ctx))
	}
	errs = append(errs, s.operators.http.Shutdown(ctx), s.peers.http.Close())
	for _, server := range []*server{s.callers, s.operators, s.peers} {
		if err := <-server.done; !errors.Is(err, http.ErrServerClosed) {
			errs = append(errs, err)
		}
	}
	h.minions.Close()
	return errors.Join(errs...)
}

// waitForBalancers waits for delay, in which load balancers notice that the host is not
// ready.
func waitForBalancers(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
