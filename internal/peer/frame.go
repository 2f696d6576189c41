// Package peer carries messages between instances. Each pair of instances has one drpc
// stream per direction, called a session, on which concurrent calls and one-way messages
// are multiplexed. A Pool opens sessions on demand, a Server accepts them. A session
// starts with a Hello; the server rejects peers of another deployment and, with mutual
// TLS, peers whose certificate has another instance's name.
//
// One-way messages of a session are handled in order. A call that fails with
// ErrUnreachable was not executed; one that fails with ErrLost may have been. The package
// retries nothing and sets no deadline for a call: both are left to the caller.
package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"github.com/amaranthfold/amaranthfold/core/hlc"
	"github.com/amaranthfold/amaranthfold/core/record"
)

// sessionRPC is the only drpc method.
const sessionRPC = "/amaranthfold.Peer/Session"

// Kind is the type of a message's body.
type Kind uint8

// The kinds of message. The values are sent on the wire.
const (
	KindHello     Kind = 1 // Hello
	KindHeartbeat Kind = 2
	KindAdmit     Kind = 3 // requests admission of a request from the owner of a target
	KindFinish    Kind = 4 // ends a grant
	KindCancel    Kind = 5 // cancels the call with the frame's Seq
	KindTrainer   Kind = 6 // a trainer's call, forwarded to the trainer's owner

	KindAllocate Kind = 20 // requests allocations of client accounts' limits

	KindMirrorPut       Kind = 40 // groups and samples of a trainer's owner, kept until the trainer acknowledges them
	KindMirrorFetch     Kind = 41
	KindBatchPage       Kind = 42 // the rest of a batch whose first page a forwarded call returned
	KindOutOfService    Kind = 43 // targets taken out of service by a weight roll-out
	KindUsage           Kind = 60 // usage counts
	KindClaimedResponse Kind = 30 // requests the response to a claimed request
	KindRecords         Kind = 50 // records of the log
	KindState           Kind = 51 // encoded control state
	KindSummary         Kind = 52 // summaries of data centres
	KindTargets         Kind = 53 // a data centre's list of targets
)

// Hello is the first message of a session and identifies its client.
type Hello struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Deployment  string `cbor:"3,keyasint"`
}

// Session identifies the sender of messages: one session of one incarnation of an
// instance.
type Session struct {
	ID          string
	Incarnation int64
	number      uint64 // distinguishes the sessions of one incarnation
}

// frame is one message on a session: a call, its reply or a one-way message.
type frame struct {
	Seq   uint64          `cbor:"1,keyasint"` // zero: one-way
	Reply bool            `cbor:"2,keyasint"`
	Kind  Kind            `cbor:"3,keyasint"`
	Body  cbor.RawMessage `cbor:"4,keyasint"`
	Err   string          `cbor:"5,keyasint"`
	Stamp hlc.Timestamp   `cbor:"6,keyasint,omitempty"`
}

// Stamper provides the timestamps of outgoing messages and observes those of incoming
// ones, so that events caused by a message have later timestamps than the sending of it.
type Stamper interface {
	Timestamp() hlc.Timestamp
	Observe(s hlc.Timestamp)
}

// noopStamper replaces a nil Stamper, as in tests and benchmarks.
type noopStamper struct{}

// Timestamp implements Stamper.
func (noopStamper) Timestamp() hlc.Timestamp { return 0 }

// Observe implements Stamper.
func (noopStamper) Observe(hlc.Timestamp) {}

func stamperOrNoop(s Stamper) Stamper {
	if s == nil {
		return noopStamper{}
	}
	return s
}

// ErrRemote wraps an error that the peer's handler returned.
var ErrRemote = errors.New("peer answered with an error")

// codec implements drpc.Encoding with CBOR, so that no code generator is needed.
type codec struct{}

// Marshal implements drpc.Encoding.
func (codec) Marshal(msg drpc.Message) ([]byte, error) { return record.Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (codec) Unmarshal(data []byte, msg drpc.Message) error { return cbor.Unmarshal(data, msg) }

func newFrame(kind Kind, body any) (*frame, error) {
	raw, err := record.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", body, err)
	}
	return &frame{Kind: kind, Body: raw}, nil
}

// Decode parses a message body.
func Decode[T any](body []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(body, &v); err != nil {
		return v, fmt.Errorf("decode %T: %w", v, err)
	}
	return v, nil
}
