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
	// DefaultUDPSockets is the number of UDP sockets if DNSConfig.UDPSockets is zero.
	// A socket is read by a single goroutine, which limits the rate per socket.
	DefaultUDPSockets = 4
	// maxTCPConns bounds the TCP connections, each of which needs a goroutine.
	maxTCPConns = 1024
	// udpReadBufferBytes is the receive buffer of a UDP socket. It holds the queries
	// of about 50 ms at 50,000 queries/s, longer than a pause for garbage collection.
	udpReadBufferBytes = 1 << 20
	// dropFactor times the admission limit may be in flight before further messages
	// are dropped unread, because even a response with SERVFAIL costs time.
	dropFactor = 4
)

// DNSConfig configures a DNSServer.
type DNSConfig struct {
	Core *Core
	// Listen is the address of the UDP and TCP sockets. With port 0 a free port is
	// chosen.
	Listen netip.AddrPort
	// Zone is the DNS zone that contains the names of the services.
	Zone string
	// UDPSockets is the number of UDP sockets. Zero means DefaultUDPSockets.
	UDPSockets int
	Log        *slog.Logger
}

// DNSServer answers lookups over DNS on UDP and TCP.
type DNSServer struct {
	core      *Core
	log       *slog.Logger
	responder *responder
	addr      netip.AddrPort
	servers   []*dns.Server
	serving   conc.WaitGroup
	failed    chan error
}

// ListenDNS opens the sockets and starts serving. Stop the server with Shutdown.
func ListenDNS(cfg DNSConfig) (*DNSServer, error) {
	responder, err := newResponder(cfg.Core, cfg.Zone)
	if err != nil {
		return nil, err
	}
	if cfg.UDPSockets <= 0 {
		cfg.UDPSockets = DefaultUDPSockets
	}
	s := &DNSServer{core: cfg.Core, log: cfg.Log, responder: responder, failed: make(chan error, cfg.UDPSockets+1)}
	if err := s.open(cfg); err != nil {
		s.close()
		return nil, err
	}
	started := make(chan struct{}, len(s.servers))
	for _, server := range s.servers {
		server.NotifyStartedFunc = func() { started <- struct{}{} }
		s.serving.Go(func() {
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
	event.LookupListening.Log(s.log, "protocol", "dns", "address", s.addr, "zone", s.responder.zone)
	return s, nil
}

// Addr returns the address of the sockets.
func (s *DNSServer) Addr() netip.AddrPort { return s.addr }

// Failed delivers the error of a socket that failed, rather than being shut down.
func (s *DNSServer) Failed() <-chan error { return s.failed }

// Shutdown stops reading, answers the messages that were read, and closes the sockets.
func (s *DNSServer) Shutdown(ctx context.Context) error {
	var firstErr error
	for _, server := range s.servers {
		if err := server.ShutdownContext(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "lookup: stop DNS")
		}
	}
	if firstErr == nil {
		s.serving.Wait()
	}
	event.LookupStopped.Log(s.log, "protocol", "dns", "address", s.addr)
	return firstErr
}

// portAttempts bounds the attempts to find a port that is free for both TCP and UDP if
// Listen has port 0. A port that the kernel chose for TCP may be in use for UDP.
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
	s.servers = append(s.servers, s.newServer(nil, netutil.LimitListener(tcp, maxTCPConns)))
	s.addr = netip.AddrPortFrom(cfg.Listen.Addr(), tcp.Addr().(*net.TCPAddr).AddrPort().Port())
	udp := net.ListenConfig{Control: reusePort}
	for i := range cfg.UDPSockets {
		conn, err := udp.ListenPacket(ctx, "udp", s.addr.String())
		if err != nil {
			return errors.Wrapf(err, "lookup: UDP socket %d on %s", i, s.addr)
		}
		s.servers = append(s.servers, s.newServer(conn, nil))
		if c, ok := conn.(*net.UDPConn); ok {
			// The kernel may grant a smaller buffer, which is acceptable.
			_ = c.SetReadBuffer(udpReadBufferBytes)
		}
	}
	return nil
}

// close closes the sockets of a server that failed to start.
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

func (s *DNSServer) newServer(conn net.PacketConn, listener net.Listener) *dns.Server {
	return &dns.Server{
		PacketConn: conn,
		Listener:   listener,
		UDPSize:    maxUDPBytes,
		Handler:    dns.HandlerFunc(s.serve),
		// Each message that is read ends in exactly one place: the handler, the accept
		// function if it doesn't accept, or the invalid function.
		DecorateReader: func(r dns.Reader) dns.Reader { return countingReader{Reader: r, core: s.core} },
		MsgAcceptFunc:  s.accept,
		MsgInvalidFunc: s.invalid,
	}
}

// accept decides by the header alone whether a message is processed.
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
	s.core.endRequest()
}

func (s *DNSServer) serve(w dns.ResponseWriter, req *dns.Msg) {
	remote := w.RemoteAddr()
	_, isUDP := remote.(*net.UDPAddr)
	m, o := s.responder.respond(req, peerAddr(remote), isUDP)
	// A response that can't be sent is not retried: the client sends its query again.
	_ = w.WriteMsg(m)
	s.finish(o)
}

// countingReader counts each message as in flight from when it is read, so that the
// admission limit includes messages whose goroutine hasn't run yet.
type countingReader struct {
	dns.Reader
	core *Core
}

func (r countingReader) ReadTCP(conn net.Conn, timeout time.Duration) ([]byte, error) {
	m, err := r.Reader.ReadTCP(conn, timeout)
	if err == nil {
		r.core.startRequest()
	}
	return m, err
}

func (r countingReader) ReadUDP(conn *net.UDPConn, timeout time.Duration) ([]byte, *dns.SessionUDP, error) {
	m, session, err := r.Reader.ReadUDP(conn, timeout)
	if err == nil {
		r.core.startRequest()
	}
	return m, session, err
}

// reusePort allows several sockets to bind to the same address.
func reusePort(_, _ string, c syscall.RawConn) error {
	var setErr error
	if err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); err != nil {
		return err
	}
	return setErr
}
