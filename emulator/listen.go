package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"egretdrum.example/fleetmodel"
	"egretdrum.example/platform/emulated"
	"egretdrum.example/worker"
)

const settingsFileMode = 0o600

// Listen opens all listeners, writes the configuration, and starts the workers. Calls are
// served from then on; ctx ends late ones.
func (e *Emulator) Listen(ctx context.Context) error {
	e.gate.Context = ctx
	if err := e.listen(); err != nil {
		e.close()
		return err
	}
	return nil
}

func (e *Emulator) listen() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	control, err := e.serve(e.settings.ControlPort, e.controlHandler())
	if err != nil {
		return err
	}
	ingress, err := e.serve(e.settings.IngressPort, e.ingressHandler())
	if err != nil {
		return err
	}
	e.control, e.ingress = control.String(), ingress.String()
	if err := e.configure(e.settings); err != nil {
		return err
	}
	for i := range e.settings.Pools {
		p := &e.settings.Pools[i]
		for range p.Workers {
			if _, err := e.addMachine(p.Name, ""); err != nil {
				return err
			}
		}
	}
	if err := e.writeRegistrations(); err != nil {
		return err
	}
	for n := range e.cfg.Hosts {
		if err := e.addHost(n); err != nil {
			return err
		}
	}
	return e.printListeners()
}

func (e *Emulator) printListeners() error {
	lines := fmt.Sprintf("control %s\ningress %s\n", e.control, e.ingress)
	for _, h := range e.hosts {
		lines += fmt.Sprintf("host %s callers %s store %s machines %s settings %s\n", h.Name, h.Callers, h.Store, h.Machines, h.settingsFile)
	}
	_, err := fmt.Fprint(e.cfg.Listeners, lines+"ready\n")
	return err
}

// serve serves a handler at a port until the end, zero for one that the system chooses.
func (e *Emulator) serve(port uint16, handler http.Handler) (netip.AddrPort, error) {
	server, address, err := e.startServer(port, handler)
	if err == nil {
		e.servers = append(e.servers, server)
	}
	return address, err
}

func (e *Emulator) startServer(port uint16, handler http.Handler) (*http.Server, netip.AddrPort, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(e.settings.Address, port)))
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	// Aborted calls are faults on purpose; net/http would log each of them.
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(zap.NewNop())}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			select {
			case e.failed <- err:
			default:
			}
		}
	}()
	return server, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// close closes all listeners and connections, and waits for late calls.
func (e *Emulator) close() {
	e.mu.Lock()
	servers := e.servers
	for _, w := range e.workers {
		if w.server != nil {
			servers = append(servers, w.server)
		}
	}
	e.mu.Unlock()
	for _, s := range servers {
		if err := s.Close(); err != nil {
			e.log.Warn("listener-not-closed", zap.Error(err))
		}
	}
	e.gate.Wait()
}

// addHost opens the listeners of an entry host and writes its settings file.
func (e *Emulator) addHost(n int) error {
	h := &host{misses: missesNotReady}
	h.Name = fmt.Sprintf("entry-%d", n+1)
	zones := e.zones()
	h.Zone = zones[n%len(zones)]
	port, err := e.hostPort(n)
	if err != nil {
		return err
	}
	h.Callers = netip.AddrPortFrom(e.settings.Address, port)
	h.Store, err = e.serve(0, &emulated.StoreHandler{
		Store: e.store.Store(), Gate: e.gate, Host: h.Name, Writes: e.writes, Reads: e.reads,
		LeastTTL: e.settings.Store.LeastLease, MaxValueBytes: e.settings.Store.LongestValue,
	})
	if err != nil {
		return err
	}
	h.Machines, err = e.serve(0, &emulated.MachineHandler{
		Gate: e.gate, Host: h.Name, Lists: e.lists, Orders: e.orders, List: e.machines, Order: e.orderMachine,
	})
	if err != nil {
		return err
	}
	e.hosts = append(e.hosts, h)
	if e.cfg.SettingsDir == "" {
		return nil
	}
	h.settingsFile = filepath.Join(e.cfg.SettingsDir, h.Name+".conf")
	return os.WriteFile(h.settingsFile, h.Settings(e.settings), settingsFileMode)
}

const (
	// Free ports for hosts are searched between these; the system chooses ports above them for
	// connections and for listeners without a port.
	lowestHostPort, highestHostPort = 20_000, 32_000
	portSearches                    = 100
)

// hostPort returns the first port of the nth host. If the settings have none, it searches for
// free ones: another process may still take them before the host starts.
func (e *Emulator) hostPort(n int) (uint16, error) {
	if e.settings.FirstHostPort != 0 {
		return e.settings.FirstHostPort + uint16(n*emulated.HostPorts), nil
	}
	var err error
	for range portSearches {
		blocks := (highestHostPort - lowestHostPort) / emulated.HostPorts
		first := uint16(lowestHostPort + rand.IntN(blocks)*emulated.HostPorts)
		if err = e.checkFree(first); err == nil {
			return first, nil
		}
	}
	return 0, err
}

// checkFree reports whether a host can listen at its ports.
func (e *Emulator) checkFree(first uint16) error {
	for _, h := range e.hosts {
		if h.Callers.Port() == first {
			return errors.New("the ports are those of another host")
		}
	}
	for port := first; port < first+emulated.HostPorts; port++ {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(e.settings.Address, port)))
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

// zones returns the zones of all pools.
func (e *Emulator) zones() []string {
	var zones []string
	for i := range e.settings.Pools {
		zones = append(zones, e.settings.Pools[i].Zones...)
	}
	return zones
}

func (e *Emulator) machines() []worker.Machine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet.Machines()
}

func (e *Emulator) orderMachine(o *fleetmodel.MachineOrder) fleetmodel.OrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	result := e.fleet.Order(time.Now(), o)
	e.wake(o.Machine)
	e.log.Info("machine-order", zap.String("machine", o.Machine), zap.String("pool", o.Pool), zap.Int64("wave", o.Wave),
		zap.String("holder", o.Holder), zap.Int64("fence", o.Fence), zap.String("result", string(result)))
	return result
}
