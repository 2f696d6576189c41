package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

const dialTimeout = 2 * time.Second

// ErrLost is returned if the session failed before the reply was received. The peer may
// have executed the call.
var ErrLost = errors.New("session to peer lost")

// ErrUnreachable is returned if no session could be opened. The call was not executed.
var ErrUnreachable = errors.New("peer unreachable")

// Pool holds at most one session to each peer address, opened on demand. It is safe for
// concurrent use.
type Pool struct {
	hello   Hello
	stamper Stamper
	dial    Dialer

	mu       sync.Mutex
	sessions map[string]*clientSession
	closed   bool
}

// NewPool returns a pool that opens each session with hello. stamper may be nil.
func NewPool(hello Hello, stamper Stamper) *Pool {
	return &Pool{hello: hello, stamper: stamperOrNoop(stamper), dial: DialPlain, sessions: map[string]*clientSession{}}
}

// UseDialer sets the function that opens connections, by default DialPlain. It must be
// called before the first call or message.
func (p *Pool) UseDialer(d Dialer) { p.dial = d }

// Call sends a call to the peer at address and decodes the reply into out. An error of
// the peer's handler wraps ErrRemote.
func (p *Pool) Call(ctx context.Context, address string, kind Kind, in, out any) error {
	return p.CallWithLateReply(ctx, address, kind, in, out, nil)
}

// CallWithLateReply is like Call, but if ctx ends before the reply is returned, the reply
// is passed to onLateReply, whether it has been received already or is received later.
// onLateReply is not called for an error of the peer's handler, nor if the session fails
// before the reply. It may be nil.
func (p *Pool) CallWithLateReply(ctx context.Context, address string, kind Kind, in, out any, onLateReply func(body []byte)) error {
	s, err := p.session(ctx, address)
	if err != nil {
		return err
	}
	body, err := s.call(ctx, kind, in, onLateReply)
	if err != nil {
		return fmt.Errorf("call peer %s: %w", address, err)
	}
	return codec{}.Unmarshal(body, out)
}

// Send sends a one-way message to the peer at address. It does not wait until the peer
// has handled it.
func (p *Pool) Send(ctx context.Context, address string, kind Kind, in any) error {
	s, err := p.session(ctx, address)
	if err != nil {
		return err
	}
	f, err := newFrame(kind, in)
	if err != nil {
		return err
	}
	return s.send(f)
}

// Close ends all sessions. Later calls fail with ErrUnreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	sessions := slices.Collect(maps.Values(p.sessions))
	p.mu.Unlock()
	for _, s := range sessions {
		s.fail()
	}
}

// session returns the open session to address or dials one. Concurrent callers
// share one dial.
func (p *Pool) session(ctx context.Context, address string) (*clientSession, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, fmt.Errorf("peer %s: pool closed: %w", address, ErrUnreachable)
	}
	s := p.sessions[address]
	if s == nil || s.failed() {
		s = newClientSession(p.stamper)
		s.onFailed = func() { p.removeSession(address, s) }
		p.sessions[address] = s
		go s.open(p.dial, address, p.hello)
	}
	p.mu.Unlock()
	select {
	case <-s.opened:
		return s, s.openErr
	case <-ctx.Done():
		return nil, fmt.Errorf("peer %s: %w: %w", address, ErrUnreachable, ctx.Err())
	}
}

// removeSession removes a failed session, so that the pool keeps no sessions to addresses
// of instances that no longer exist.
func (p *Pool) removeSession(address string, s *clientSession) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[address] == s {
		delete(p.sessions, address)
	}
}

// Sessions returns the number of sessions that are open or being opened.
func (p *Pool) Sessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// clientSession is the client side of a session. It fails once and is not reopened.
type clientSession struct {
	onFailed func() // called once when the session has failed
	stamper  Stamper
	opened   chan struct{} // closed when the session is open or openErr is set
	openErr  error
	done     chan struct{} // closed when the session has failed
	failOnce sync.Once

	sendMu sync.Mutex
	conn   drpc.Conn
	stream drpc.Stream

	mu          sync.Mutex
	nextSeq     uint64
	pending     map[uint64]chan frame   // reply channels of calls in flight, by sequence number
	lateReplies map[uint64]func([]byte) // callbacks of cancelled calls, by sequence number
}

func newClientSession(stamper Stamper) *clientSession {
	return &clientSession{
		stamper: stamper, opened: make(chan struct{}), done: make(chan struct{}),
		pending: map[uint64]chan frame{}, lateReplies: map[uint64]func([]byte){},
	}
}

func (s *clientSession) open(dial Dialer, address string, hello Hello) {
	if err := s.connect(dial, address, hello); err != nil {
		s.openErr = fmt.Errorf("peer %s: %w: %w", address, ErrUnreachable, err)
		s.fail()
	}
	close(s.opened)
}

func (s *clientSession) connect(dial Dialer, address string, hello Hello) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := dial(ctx, address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(withTimeouts(raw))
	stream, err := conn.NewStream(context.Background(), sessionRPC, codec{})
	if err != nil {
		_ = conn.Close() // the first error is returned
		return err
	}
	f, err := newFrame(KindHello, hello)
	if err != nil {
		_ = conn.Close() // the first error is returned
		return err
	}
	if err := stream.MsgSend(f, codec{}); err != nil {
		_ = conn.Close() // the first error is returned
		return err
	}
	s.mu.Lock()
	s.conn, s.stream = conn, stream
	s.mu.Unlock()
	go s.receive()
	if s.failed() { // fail ran before s.conn was set and could not close it
		_ = conn.Close() // ErrLost is returned instead
		return ErrLost
	}
	return nil
}

func (s *clientSession) receive() {
	defer s.fail()
	for {
		var f frame
		if err := s.stream.MsgRecv(&f, codec{}); err != nil {
			return
		}
		s.stamper.Observe(f.Stamp)
		s.mu.Lock()
		reply := s.pending[f.Seq]
		onLateReply := s.lateReplies[f.Seq]
		delete(s.pending, f.Seq)
		delete(s.lateReplies, f.Seq)
		s.mu.Unlock()
		switch {
		case reply != nil:
			reply <- f
		case onLateReply != nil && f.Err == "":
			go onLateReply(f.Body) // the callback may block in a send; receiving must go on
		}
	}
}

func (s *clientSession) failed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *clientSession) fail() {
	s.failOnce.Do(func() {
		close(s.done)
		s.mu.Lock()
		conn := s.conn
		s.mu.Unlock()
		if conn != nil {
			_ = conn.Close() // the session has failed already
		}
		s.onFailed()
	})
}

func (s *clientSession) send(f *frame) error {
	f.Stamp = s.stamper.Timestamp()
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := s.stream.MsgSend(f, codec{}); err != nil {
		s.fail()
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return nil
}

func (s *clientSession) call(ctx context.Context, kind Kind, in any, onLateReply func([]byte)) ([]byte, error) {
	f, err := newFrame(kind, in)
	if err != nil {
		return nil, err
	}
	reply := make(chan frame, 1)
	f.Seq = s.registerCall(reply)
	if err := s.send(f); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		if r.Err != "" {
			return nil, fmt.Errorf("%w: %s", ErrRemote, r.Err)
		}
		return r.Body, nil
	case <-s.done:
		return nil, ErrLost
	case <-ctx.Done():
		s.cancelCall(f.Seq, reply, onLateReply)
		return nil, ctx.Err()
	}
}

// registerCall adds a call and returns its sequence number. receive sends the call's reply
// to the channel.
func (s *clientSession) registerCall(reply chan frame) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextSeq++
	s.pending[s.nextSeq] = reply
	return s.nextSeq
}

// cancelCall cancels the call at the peer, unless its reply has been received already. The
// reply is passed to onLateReply now or when it is received.
func (s *clientSession) cancelCall(seq uint64, reply chan frame, onLateReply func([]byte)) {
	s.mu.Lock()
	_, outstanding := s.pending[seq]
	delete(s.pending, seq)
	if outstanding && onLateReply != nil {
		s.lateReplies[seq] = onLateReply
	}
	s.mu.Unlock()
	if !outstanding {
		if f := <-reply; onLateReply != nil && f.Err == "" {
			onLateReply(f.Body)
		}
		return
	}
	_ = s.send(&frame{Seq: seq, Kind: KindCancel}) // if the session has failed, the peer cancels the call anyway
}
