package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/internal/events"
	"github.com/amaranthfold/amaranthfold/platform"
)

// forwardStream forwards a streamed body as it arrives. If the stream is interrupted or ends inside
// an event, it cuts the connection to the caller, so that the response does not look complete. The
// deadline of ctx ends it, also while the caller reads nothing.
func (f *Forwarder) forwardStream(ctx context.Context, c *CallerRequest, request *PlainRequest, r *AttemptResult) {
	defer r.stream.Close()
	c.Writer.Header().Del("Content-Length")
	c.Writer.WriteHeader(r.Status)
	flusher := http.NewResponseController(c.Writer)
	if deadline, limited := ctx.Deadline(); limited {
		_ = flusher.SetWriteDeadline(deadline)                       // the server's connections support it
		defer func() { _ = flusher.SetWriteDeadline(time.Time{}) }() // for later requests on the connection
	}
	complete := resetUnlessComplete(c.Request)
	tail := streamTail{events: platform.MediaType(r.header) == platform.EventStream}
	buffer := make([]byte, 16<<10)
	for {
		k, err := r.stream.Read(buffer)
		if k > 0 {
			tail.add(buffer[:k])
			if _, werr := c.Writer.Write(buffer[:k]); werr != nil {
				return
			}
			if ferr := flusher.Flush(); ferr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) && tail.insideEvent() {
			err = platform.ErrTruncated
		}
		if errors.Is(err, io.EOF) {
			f.poisonGuard.served(request)
			complete()
			return
		}
		if err != nil {
			if !r.relayed {
				f.crashDetector.requestLost(c.Request.Context(), r.Target, lostRequest{request.ID, request.digest()}, r.sentAt)
			}
			f.Log("request stream broken", events.F("request", c.ID), events.F("target", r.Target.ID), events.F("error", err.Error()))
			panic(http.ErrAbortHandler)
		}
	}
}

// streamTail holds the last bytes of a body, which tell whether a series of events has ended between
// two of them.
type streamTail struct {
	events bool // the body is a series of events
	last   []byte
}

func (t *streamTail) add(part []byte) {
	const maxEventEnd = 3 // bytes
	t.last = append(t.last, part[max(0, len(part)-maxEventEnd):]...)
	t.last = t.last[max(0, len(t.last)-maxEventEnd):]
}

func (t *streamTail) insideEvent() bool {
	return t.events && len(t.last) > 0 && !bytes.HasSuffix(t.last, []byte("\n\n")) && !bytes.HasSuffix(t.last, []byte("\n\r\n"))
}

type connectionKey struct{}

// ConnContext adds a caller's connection to the context of its requests; for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// resetUnlessComplete makes sure that a response in HTTP/1.0, which ends with its connection, looks
// complete only if the returned function was called: the connection is reset otherwise, also if the
// process is killed.
func resetUnlessComplete(r *http.Request) (complete func()) {
	connection, ok := r.Context().Value(connectionKey{}).(interface{ SetLinger(seconds int) error })
	if !ok || r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	_ = connection.SetLinger(0) // fails on a connection that is closed
	return func() { _ = connection.SetLinger(-1) }
}
