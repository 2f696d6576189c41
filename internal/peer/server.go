package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Handler answers messages. Calls of one session run concurrently.
type Handler interface {
	// Handle answers a call, or takes a one-way message. The reply is encoded
	// unless nil.
	Handle(ctx context.Context, from Session, kind Kind, body []byte) (any, error)
	// SessionEnded tells that nothing more comes from the session.
	SessionEnded(from Session)
}

// Server accepts sessions.
type Server struct {
	deployment string
	handler    Handler
	stamper    Stamper
	sessions   atomic.Uint64
}

// NewServer returns a server for peers of the deployment. stamper may be nil.
func NewServer(deployment string, handler Handler, stamper Stamper) *Server {
	return &Server{deployment: deployment, handler: handler, stamper: stamperOrNoop(stamper)}
}

// Serve accepts sessions until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := mux.Register(s, description{}); err != nil {
		return fmt.Errorf("register the peer service: %w", err)
	}
	srv := drpcserver.New(mux)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // ends Accept
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("serve peers on %s: %w", listener.Addr(), err)
		}
		conns.Go(func() { serveConn(ctx, srv, conn) })
	}
}

// serveConn serves one connection's session.
func serveConn(ctx context.Context, srv *drpcserver.Server, conn net.Conn) {
	defer conn.Close()
	ctx, stop := withHelloTimeout(ctx, conn, helloTimeout)
	defer stop()
	name, err := certificateName(ctx, conn)
	if err != nil {
		return
	}
	_ = srv.ServeOne(withCertificateName(ctx, name), withTimeouts(conn)) // a broken session ends in session
}

// description names the service's only method for drpc.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receiver := func(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
		return nil, srv.(*Server).session(in1.(drpc.Stream))
	}
	return sessionRPC, codec{}, receiver, (*Server).session, true
}

// errWrongDeployment refuses peers of another deployment.
var errWrongDeployment = errors.New("peer belongs to another deployment")

func (s *Server) session(stream drpc.Stream) error {
	var first frame
	if err := stream.MsgRecv(&first, codec{}); err != nil {
		return err
	}
	hello, err := Decode[Hello](first.Body)
	if err != nil {
		return err
	}
	if first.Kind != KindHello || hello.Deployment != s.deployment {
		return fmt.Errorf("%w: %q", errWrongDeployment, hello.Deployment)
	}
	if err := checkCertificateName(stream.Context(), hello.ID); err != nil {
		return err
	}
	helloReceived(stream.Context())
	in := &serverSession{
		server:  s,
		stream:  stream,
		from:    Session{ID: hello.ID, Incarnation: hello.Incarnation, number: s.sessions.Add(1)},
		cancels: map[uint64]context.CancelFunc{},
	}
	return in.run()
}

// serverSession is one session at its server.
type serverSession struct {
	server *Server
	stream drpc.Stream
	from   Session

	sendMu sync.Mutex

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (in *serverSession) run() error {
	ctx, cancel := context.WithCancel(in.stream.Context())
	var calls sync.WaitGroup
	defer func() {
		cancel()
		calls.Wait()
		in.server.handler.SessionEnded(in.from)
	}()
	for {
		var f frame
		if err := in.stream.MsgRecv(&f, codec{}); err != nil {
			return err
		}
		in.server.stamper.Observe(f.Stamp)
		switch {
		case f.Kind == KindCancel:
			in.cancel(f.Seq)
		case f.Seq == 0:
			// One-way messages keep their order.
			_, _ = in.server.handler.Handle(ctx, in.from, f.Kind, f.Body) // nobody waits
		default:
			callCtx, ok := in.register(ctx, f.Seq)
			if !ok {
				in.reply(f, nil, ErrTooManyCalls)
				continue
			}
			calls.Go(func() { in.answer(callCtx, f) })
		}
	}
}

// register notes a call that begins, unless too many run.
func (in *serverSession) register(ctx context.Context, seq uint64) (context.Context, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.cancels) >= maxCalls {
		return nil, false
	}
	callCtx, cancel := context.WithCancel(ctx)
	in.cancels[seq] = cancel
	return callCtx, true
}

func (in *serverSession) cancel(seq uint64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if cancel, ok := in.cancels[seq]; ok {
		cancel()
		delete(in.cancels, seq)
	}
}

func (in *serverSession) answer(ctx context.Context, f frame) {
	defer in.cancel(f.Seq)
	reply, err := in.server.handler.Handle(ctx, in.from, f.Kind, f.Body)
	in.reply(f, reply, err)
}

func (in *serverSession) reply(f frame, reply any, err error) {
	out := &frame{}
	if err == nil {
		out, err = newFrame(f.Kind, reply)
	}
	if err != nil {
		out = &frame{Kind: f.Kind, Err: err.Error()}
	}
	out.Seq, out.Reply, out.Stamp = f.Seq, true, in.server.stamper.Timestamp()
	in.sendMu.Lock()
	defer in.sendMu.Unlock()
	_ = in.stream.MsgSend(out, codec{}) // a broken session ends in run
}
