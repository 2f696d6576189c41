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

// Handler handles the messages of peers. Calls of one session run concurrently; its
// one-way messages are handled one at a time, in order.
type Handler interface {
	// Handle executes a call and returns the reply, or handles a one-way message, whose
	// results are ignored. A nil reply is sent as CBOR null.
	Handle(ctx context.Context, from Session, kind Kind, body []byte) (any, error)
	// SessionEnded is called when the session has ended and all its calls have
	// returned.
	SessionEnded(from Session)
}

// Server accepts the sessions of peers and passes their messages to a Handler.
type Server struct {
	deployment   string
	handler      Handler
	stamper      Stamper
	sessionCount atomic.Uint64
}

// NewServer returns a server for peers of the deployment. stamper may be nil.
func NewServer(deployment string, handler Handler, stamper Stamper) *Server {
	return &Server{deployment: deployment, handler: handler, stamper: stamperOrNoop(stamper)}
}

// Serve accepts sessions until ctx ends, and returns when all of them have ended. It
// returns an error if the listener fails before ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := mux.Register(s, serviceDescription{}); err != nil {
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
	presented, err := peerCertificate(ctx, conn)
	if err != nil {
		return
	}
	_ = srv.ServeOne(withCertificate(ctx, presented), withTimeouts(conn)) // after a rejected or failed session, only the connection must be closed
}

// serviceDescription describes the service's only method to drpc.
type serviceDescription struct{}

// NumMethods implements drpc.Description.
func (serviceDescription) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (serviceDescription) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receiver := func(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
		return nil, srv.(*Server).session(in1.(drpc.Stream))
	}
	return sessionRPC, codec{}, receiver, (*Server).session, true
}

// errWrongDeployment is returned for a session that does not start with a Hello or that
// comes from a peer of another deployment.
var errWrongDeployment = errors.New("peer belongs to another deployment")

// session checks the Hello of a session and serves it until it ends.
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
	if err := checkCertificate(stream.Context(), hello.ID); err != nil {
		return err
	}
	helloReceived(stream.Context())
	sess := &serverSession{
		server:  s,
		stream:  stream,
		from:    Session{ID: hello.ID, Incarnation: hello.Incarnation, number: s.sessionCount.Add(1)},
		cancels: map[uint64]context.CancelFunc{},
	}
	return sess.run()
}

// serverSession is the server side of a session.
type serverSession struct {
	server *Server
	stream drpc.Stream
	from   Session

	sendMu sync.Mutex

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // of running calls, by sequence number
}

func (s *serverSession) run() error {
	ctx, cancel := context.WithCancel(s.stream.Context())
	var calls sync.WaitGroup
	defer func() {
		cancel()
		calls.Wait()
		s.server.handler.SessionEnded(s.from)
	}()
	for {
		var f frame
		if err := s.stream.MsgRecv(&f, codec{}); err != nil {
			return err
		}
		s.server.stamper.Observe(f.Stamp)
		switch {
		case f.Kind == KindCancel:
			s.cancel(f.Seq)
		case f.Seq == 0:
			// One-way messages are handled here, one at a time, to keep their order.
			_, _ = s.server.handler.Handle(ctx, s.from, f.Kind, f.Body) // a one-way message has no reply
		default:
			callCtx, ok := s.register(ctx, f.Seq)
			if !ok {
				s.reply(f, nil, ErrTooManyCalls)
				continue
			}
			calls.Go(func() { s.handleCall(callCtx, f) })
		}
	}
}

// register adds a call and returns its context, or false if maxCalls calls are running.
func (s *serverSession) register(ctx context.Context, seq uint64) (context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.cancels) >= maxCalls {
		return nil, false
	}
	callCtx, cancel := context.WithCancel(ctx)
	s.cancels[seq] = cancel
	return callCtx, true
}

func (s *serverSession) cancel(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.cancels[seq]; ok {
		cancel()
		delete(s.cancels, seq)
	}
}

func (s *serverSession) handleCall(ctx context.Context, f frame) {
	defer s.cancel(f.Seq)
	reply, err := s.server.handler.Handle(ctx, s.from, f.Kind, f.Body)
	s.reply(f, reply, err)
}

func (s *serverSession) reply(f frame, reply any, err error) {
	out := &frame{}
	if err == nil {
		out, err = newFrame(f.Kind, reply)
	}
	if err != nil {
		out = &frame{Kind: f.Kind, Err: err.Error()}
	}
	out.Seq, out.Reply, out.Stamp = f.Seq, true, s.server.stamper.Timestamp()
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	_ = s.stream.MsgSend(out, codec{}) // run returns when the session breaks
}
