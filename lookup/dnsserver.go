package lookup

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/miekg/dns"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"

	"github.com/currantferry/currantferry/event"
)

const (
	// DefaultUDPSockets is the number of UDP sockets of a DNSConfig that
	// states none. One socket is read by one goroutine, which is the limit of
	// its rate.
	DefaultUDPSockets = 4
	// maxTCP bounds the TCP connections, each of which holds a goroutine.
	maxTCP = 1024
	// readBuffer is the receive buffer of a UDP socket in bytes. It holds
	// about 50 ms of 50,000 queries/s, more than a pause of the collector.
	readBuffer = 1 << 20
	// dropFactor is how many times the admission limit may wait before
	// messages are dropped unread, because even a refusal costs time.
	dropFactor = 4
)

// DNSConfig configures a DNSServer.
type DNSConfig struct {
	Core *Core
	// Listen is the address of the UDP and TCP sockets. Port 0 chooses one.
	Listen netip.AddrPort
	// Zone is the DNS zone under which services are names.
	Zone string
	// UDPSockets is the number of UDP sockets. Zero means DefaultUDPSockets.
	UDPSockets int
	Log        *slog.Logger
}

// DNSServer answers lookups over DNS on UDP and TCP.
type DNSServer struct {
	core    *Core
	log     *slog.Logger
	answer  *responder
	addr    netip.AddrPort
	servers []*dns.Server
	done    conc.WaitGroup
	failed  chan error
}

// ListenDNS opens the sockets and starts to answer. Stop it with Shutdown.
func ListenDNS(cfg DNSConfig) (*DNSServer, error) {
	answer, err := newResponder(cfg.Core, cfg.Zone)
	if err != nil {
		return nil, err
	}
	if cfg.UDPSockets <= 0 {
		cfg.UDPSockets = DefaultUDPSockets
	}
	s := &DNSServer{core: cfg.Core, log: cfg.Log, answer: answer, failed: make(chan error, cfg.UDPSockets+1)}
	if err := s.open(cfg); err != nil {
		s.close()
		return nil, err
	}
	started := make(chan struct{}, len(s.servers))
	for _, server := range s.servers {
		server.NotifyStartedFunc = func() { started <- struct{}{} }
		s.done.Go(func() {
			if err := server.ActivateAndServe(); err != nil {
				s.failed <- err
				event.LookupListenLost.Log(s.log, "protocol", "dns", "address", s.addr, "error", err)
			}
		})
	}
	for range s.servers {
		select {
		case <-started:
		case err := <-s.failed:
			s.close()
			return nil, errors.Wrapf(err, "lookup: DNS on %s", s.addr)
		}
	}
	event.LookupListening.Log(s.log, "protocol", "dns", "address", s.addr, "zone", s.answer.zone)
	return s, nil
}

// Addr returns the address of the sockets.
func (s *DNSServer) Addr() netip.AddrPort { return s.addr }

// Failed delivers the error of a socket that stopped by itself.
func (s *DNSServer) Failed() <-chan error { return s.failed }

// Shutdown stops reading, answers what was read, and closes the sockets.
func (s *DNSServer) Shutdown(ctx context.Context) error {
	var first error
	for _, server := range s.servers {
		if err := server.ShutdownContext(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "lookup: stop DNS")
		}
	}
	if first == nil {
		s.done.Wait()
	}
	event.LookupStopped.Log(s.log, "protocol", "dns", "address", s.addr)
	return first
}

// portAttempts is how often open tries to find a port that is free for both TCP
// and UDP when it may choose. A port that one protocol picks may be in use by
// the other.
const portAttempts = 16

func (s *DNSServer) open(cfg DNSConfig) error {
	attempts := 1
	if cfg.Listen.Port() == 0 {
		attempts = portAttempts
	}
	var err error
	for range attempts {
		if err = s.openOnce(cfg); err == nil {
			return nil
		}
		s.close()
		s.servers = nil
	}
	return err
}

func (s *DNSServer) openOnce(cfg DNSConfig) error {
	ctx := context.Background()
	tcp, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return errors.Wrapf(err, "lookup: TCP socket on %s", cfg.Listen)
	}
	s.servers = append(s.servers, s.server(nil, netutil.LimitListener(tcp, maxTCP)))
	s.addr = netip.AddrPortFrom(cfg.Listen.Addr(), tcp.Addr().(*net.TCPAddr).AddrPort().Port())
	udp := net.ListenConfig{Control: reusePort}
	for i := range cfg.UDPSockets {
		conn, err := udp.ListenPacket(ctx, "udp", s.addr.String())
		if err != nil {
			return errors.Wrapf(err, "lookup: UDP socket %d on %s", i, s.addr)
		}
		s.servers = append(s.servers, s.server(conn, nil))
		if c, ok := conn.(*net.UDPConn); ok {
			// The kernel may grant less; the server works with less.
			_ = c.SetReadBuffer(readBuffer)
		}
	}
	return nil
}

// close closes the sockets of a server that did not start.
func (s *DNSServer) close() {
	for _, server := range s.servers {
		if server.PacketConn != nil {
			server.PacketConn.Close()
		}
		if server.Listener != nil {
			server.Listener.Close()
		}
	}
}

func (s *DNSServer) server(conn net.PacketConn, listener net.Listener) *dns.Server {
	return &dns.Server{
		PacketConn: conn,
		Listener:   listener,
		UDPSize:    maxUDP,
		Handler:    dns.HandlerFunc(s.serve),
		// Every message that is read ends in exactly one of the handler, the
		// accept function with another result, and the invalid function.
		DecorateReader: func(r dns.Reader) dns.Reader { return countingReader{Reader: r, core: s.core} },
		MsgAcceptFunc:  s.accept,
		MsgInvalidFunc: s.invalid,
	}
}

// accept rejects by the header alone.
func (s *DNSServer) accept(h dns.Header) dns.MsgAcceptAction {
	action := dns.DefaultMsgAcceptFunc(h)
	if s.core.inFlight.Load() > dropFactor*s.core.limit {
		action = dns.MsgIgnore
	}
	switch action {
	case dns.MsgReject:
		s.finish(Malformed)
	case dns.MsgRejectNotImplemented:
		s.finish(NotImplemented)
	case dns.MsgIgnore:
		s.finish(Dropped)
	case dns.MsgAccept:
	}
	return action
}

func (s *DNSServer) invalid(m []byte, _ error) {
	if len(m) < headerBytes {
		s.finish(Dropped)
		return
	}
	s.finish(Malformed)
}

// headerBytes is the size of a DNS header.
const headerBytes = 12

func (s *DNSServer) finish(o Outcome) {
	s.core.count(DNS, o)
	s.core.leave()
}

func (s *DNSServer) serve(w dns.ResponseWriter, req *dns.Msg) {
	remote := w.RemoteAddr()
	_, udp := remote.(*net.UDPAddr)
	m, o := s.answer.respond(req, peerAddr(remote), udp)
	// A response that cannot be sent is not sent again: the caller asks again.
	_ = w.WriteMsg(m)
	s.finish(o)
}

// countingReader counts each message as waiting from when it is read, so that
// the admission limit covers those whose goroutine has not run yet.
type countingReader struct {
	dns.Reader
	core *Core
}

func (r countingReader) ReadTCP(conn net.Conn, timeout time.Duration) ([]byte, error) {
	m, err := r.Reader.ReadTCP(conn, timeout)
	if err == nil {
		r.core.enter()
	}
	return m, err
}

func (r countingReader) ReadUDP(conn *net.UDPConn, timeout time.Duration) ([]byte, *dns.SessionUDP, error) {
	m, session, err := r.Reader.ReadUDP(conn, timeout)
	if err == nil {
		r.core.enter()
	}
	return m, session, err
}

// reusePort lets several sockets share the address.
func reusePort(_, _ string, c syscall.RawConn) error {
	var setErr error
	if err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return setErr
}
