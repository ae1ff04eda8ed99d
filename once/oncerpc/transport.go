package oncerpc

import (
	"context"

	"github.com/pkg/errors"
	"storj.io/drpc"

	"github.com/currantferry/currantferry/once"
	"github.com/currantferry/currantferry/once/oncepb"
)

// Transport calls other VMs. Implementations are safe for concurrent use.
type Transport interface {
	// Call sends a request to a VM and returns its reply.
	Call(ctx context.Context, vm string, m *once.Message) (*once.Message, error)
	// Answer returns the kept answer of a request that ran on a VM, or nil if
	// the VM no longer keeps it.
	Answer(ctx context.Context, vm string, incarnation uint64, key once.Key) (*Answer, error)
}

// DRPC is a Transport over drpc connections.
type DRPC struct {
	self string
	conn func(vm string, kind once.Kind) (drpc.Conn, error)
}

var _ Transport = (*DRPC)(nil)

// NewDRPC returns a transport for the VM self. conn returns a connection to a VM
// for messages of a kind, where kind 0 stands for kept answers. The connection must
// accept concurrent calls, as those of drpcpool do. DRPC does not close it.
func NewDRPC(self string, conn func(vm string, kind once.Kind) (drpc.Conn, error)) *DRPC {
	return &DRPC{self: self, conn: conn}
}

// Call implements Transport.
func (t *DRPC) Call(ctx context.Context, vm string, m *once.Message) (*once.Message, error) {
	conn, err := t.conn(vm, m.Kind)
	if err != nil {
		return nil, err
	}
	c, req := oncepb.NewDRPCOnceClient(conn), ToWire(t.self, m)
	var res *oncepb.Message
	switch m.Kind {
	case once.KindClaim:
		res, err = c.Claim(ctx, req)
	case once.KindRecord:
		res, err = c.Record(ctx, req)
	case once.KindRelease:
		res, err = c.Release(ctx, req)
	case once.KindDone:
		res, err = c.Done(ctx, req)
	case once.KindSeal:
		res, err = c.Seal(ctx, req)
	case once.KindInstall:
		res, err = c.Install(ctx, req)
	case once.KindPing:
		res, err = c.Ping(ctx, req)
	case once.KindView:
		res, err = c.View(ctx, req)
	default:
		return nil, errors.Errorf("oncerpc: unknown message kind %d", m.Kind)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "oncerpc: call to %s", vm)
	}
	_, reply, err := FromWire(res, true)
	return reply, err
}

// Answer implements Transport.
func (t *DRPC) Answer(ctx context.Context, vm string, incarnation uint64, key once.Key) (*Answer, error) {
	conn, err := t.conn(vm, 0)
	if err != nil {
		return nil, err
	}
	res, err := oncepb.NewDRPCOnceClient(conn).Answer(ctx, &oncepb.AnswerRequest{Key: key[:], Incarnation: incarnation})
	if err != nil || !res.GetFound() {
		return nil, errors.Wrapf(err, "oncerpc: answer from %s", vm)
	}
	a := &Answer{Status: int(res.GetStatus()), Body: res.GetBody()}
	if len(res.GetHeaders()) > 0 {
		a.Header = make(map[string][]string, len(res.GetHeaders()))
	}
	for _, h := range res.GetHeaders() {
		a.Header[h.GetName()] = h.GetValues()
	}
	return a, nil
}

// Server handles the calls of other VMs.
type Server struct{ r *Runner }

var _ oncepb.DRPCOnceServer = (*Server)(nil)

// NewServer returns the drpc service of a runner, to be registered with
// oncepb.DRPCRegisterOnce.
func NewServer(r *Runner) *Server { return &Server{r: r} }

func (s *Server) handle(ctx context.Context, kind once.Kind, req *oncepb.Message) (*oncepb.Message, error) {
	from, m, err := FromWire(req, false)
	if err != nil {
		return nil, err
	}
	if m.Kind != kind || from == "" {
		return nil, errors.Errorf("oncerpc: message of kind %d from %q in a call of kind %d", m.Kind, from, kind)
	}
	reply, err := s.r.Handle(ctx, from, m)
	if err != nil {
		return nil, err
	}
	return ToWire(s.r.opt.Config.Self.VM, reply), nil
}

// Claim implements the service.
func (s *Server) Claim(ctx context.Context, m *oncepb.Message) (*oncepb.Message, error) {
	return s.handle(ctx, once.KindClaim, m)
}

// Record implements the service.
func (s *Server) Record(ctx context.Context, m *oncepb.Message) (*oncepb.Message, error) {
	return s.handle(ctx, once.KindRecord, m)
}

// Release implements the service.
func (s *Server) Release(ctx context.Context, m *oncepb.Message) (*oncepb.Message, error) {
	return s.handle(ctx, once.KindRelease, m)
}

// Done implements the service.
func (s *Server) Done(ctx context.Context, m *oncepb.Message) (*oncepb.Message, error) {
	return s.handle(ctx, once.KindDone, m)
}

// Seal implements the service.
func (s *Server) Seal(ctx context.Context, m *oncepb.Message) (*oncepb.Message, error) {
	return s.handle(ctx, once.KindSeal, m)
}

// Install implements the service.
func (s *Server) Install(ctx context.Context, m *oncepb.Message) (*oncepb.Message, error) {
	return s.handle(ctx, once.KindInstall, m)
}

// Ping implements the service.
func (s *Server) Ping(ctx context.Context, m *oncepb.Message) (*oncepb.Message, error) {
	return s.handle(ctx, once.KindPing, m)
}

// View implements the service.
func (s *Server) View(ctx context.Context, m *oncepb.Message) (*oncepb.Message, error) {
	return s.handle(ctx, once.KindView, m)
}

// Answer implements the service.
func (s *Server) Answer(_ context.Context, q *oncepb.AnswerRequest) (*oncepb.AnswerReply, error) {
	if len(q.GetKey()) != len(once.Key{}) {
		return nil, errors.New("oncerpc: malformed key")
	}
	a := s.r.KeptAnswer(q.GetIncarnation(), once.Key(q.GetKey()))
	if a == nil {
		return &oncepb.AnswerReply{}, nil
	}
	res := &oncepb.AnswerReply{Found: true, Status: uint32(a.Status), Body: a.Body}
	for n, v := range a.Header {
		res.Headers = append(res.Headers, &oncepb.Header{Name: n, Values: v})
	}
	return res, nil
}
