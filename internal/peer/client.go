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

// ErrLost is returned when the session broke before the answer. The call may
// have been carried out.
var ErrLost = errors.New("session to peer lost")

// ErrUnreachable is returned when no session could be opened: the call was not
// carried out.
var ErrUnreachable = errors.New("peer unreachable")

// Pool keeps one session to each peer address, opened on demand.
type Pool struct {
	hello   Hello
	stamper Stamper
	dial    Dialer

	mu       sync.Mutex
	sessions map[string]*clientSession
	closed   bool
}

// NewPool returns a pool that introduces itself by hello. stamper may be nil.
func NewPool(hello Hello, stamper Stamper) *Pool {
	return &Pool{hello: hello, stamper: stamperOrNoop(stamper), dial: DialPlain, sessions: map[string]*clientSession{}}
}

// UseDialer replaces the way to open connections. It must come before the first
// call.
func (p *Pool) UseDialer(d Dialer) { p.dial = d }

// Call sends a call to the peer at address and decodes the answer into out.
func (p *Pool) Call(ctx context.Context, address string, kind Kind, in, out any) error {
	return p.CallWithLateReply(ctx, address, kind, in, out, nil)
}

// CallWithLateReply is Call with a function that takes the answer if it comes after ctx
// has ended. The peer's errors are not passed to it. A session that breaks
// before the answer drops it.
func (p *Pool) CallWithLateReply(ctx context.Context, address string, kind Kind, in, out any, late func(body []byte)) error {
	s, err := p.session(ctx, address)
	if err != nil {
		return err
	}
	body, err := s.call(ctx, kind, in, late)
	if err != nil {
		return fmt.Errorf("call peer %s: %w", address, err)
	}
	return codec{}.Unmarshal(body, out)
}

// Send sends a one-way message.
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

// Close ends all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	open := slices.Collect(maps.Values(p.sessions))
	p.mu.Unlock()
	for _, s := range open {
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

// removeSession drops a session that has failed, so that addresses that are gone leave
// nothing behind.
func (p *Pool) removeSession(address string, s *clientSession) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[address] == s {
		delete(p.sessions, address)
	}
}

// Sessions returns how many sessions are open or being opened.
func (p *Pool) Sessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// clientSession is one session at its client.
type clientSession struct {
	onFailed func() // called once when the session has failed
	stamper  Stamper
	opened   chan struct{} // closed once openErr is set
	openErr  error
	done     chan struct{} // closed when the session has failed
	once     sync.Once

	sendMu sync.Mutex
	conn   drpc.Conn
	stream drpc.Stream

	mu          sync.Mutex
	nextSeq     uint64
	waiting     map[uint64]chan frame
	lateReplies map[uint64]func([]byte) // calls that nobody waits for any more
}

func newClientSession(stamper Stamper) *clientSession {
	return &clientSession{
		stamper: stamper, opened: make(chan struct{}), done: make(chan struct{}),
		waiting: map[uint64]chan frame{}, lateReplies: map[uint64]func([]byte){},
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
		_ = conn.Close() // the first error counts
		return err
	}
	f, err := newFrame(KindHello, hello)
	if err != nil {
		_ = conn.Close() // the first error counts
		return err
	}
	if err := stream.MsgSend(f, codec{}); err != nil {
		_ = conn.Close() // the first error counts
		return err
	}
	s.mu.Lock()
	s.conn, s.stream = conn, stream
	s.mu.Unlock()
	go s.receive()
	if s.failed() { // closed meanwhile, when there was no connection to close
		_ = conn.Close() // nothing is left to report
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
		reply := s.waiting[f.Seq]
		late := s.lateReplies[f.Seq]
		delete(s.waiting, f.Seq)
		delete(s.lateReplies, f.Seq)
		s.mu.Unlock()
		switch {
		case reply != nil:
			reply <- f
		case late != nil && f.Err == "":
			go late(f.Body) // it may send, which must not hold up receiving
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
	s.once.Do(func() {
		close(s.done)
		s.mu.Lock()
		conn := s.conn
		s.mu.Unlock()
		if conn != nil {
			_ = conn.Close() // nothing is left to report
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

func (s *clientSession) call(ctx context.Context, kind Kind, in any, late func([]byte)) ([]byte, error) {
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
		s.cancelCall(f.Seq, reply, late)
		return nil, ctx.Err()
	}
}

func (s *clientSession) registerCall(reply chan frame) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextSeq++
	s.waiting[s.nextSeq] = reply
	return s.nextSeq
}

// cancelCall tells the peer that nobody waits for the call any more. An answer that
// has come, or comes yet, goes to late.
func (s *clientSession) cancelCall(seq uint64, reply chan frame, late func([]byte)) {
	s.mu.Lock()
	_, open := s.waiting[seq]
	delete(s.waiting, seq)
	if open && late != nil {
		s.lateReplies[seq] = late
	}
	s.mu.Unlock()
	if !open {
		if f := <-reply; late != nil && f.Err == "" {
			late(f.Body)
		}
		return
	}
	_ = s.send(&frame{Seq: seq, Kind: KindCancel}) // a broken session has cancelled it
}
