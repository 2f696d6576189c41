// Package record defines the typed, versioned records that instances append to
// the platform's log, and their CBOR encoding.
//
// The log has no conditional append. A record therefore carries the offset of the
// record that it supersedes, and readers reject it unless that predecessor is
// still the latest: readers perform a compare-and-set. A record's id makes a
// repeated append idempotent.
//
// Encoding is deterministic. Decode checks the size, the format level and the
// kind of a record; whether the record applies to the state is left to the
// package fold.
package record

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/amaranthfold/amaranthfold/core/hlc"
)

// Version is the newest format level that this build reads. Envelope.Version is
// the level that introduced the format of the body. A change of a body's format,
// a new kind, or a stricter check raises the level.
const Version = 1

// MaxRecordBytes is the largest encoded record, in bytes, that Decode accepts.
const MaxRecordBytes = 1 << 20

// Offset is a position in the log. The first record is at offset 1. Zero means
// that a record has no predecessor, or that no record has been applied.
type Offset int64

// ID identifies a record. Repeated appends of one record have the same id.
type ID = uuid.UUID

// Kind is the type of a record's body.
type Kind uint8

// The kinds of record. The numbers are part of the log's format and are never
// reused.
const (
	KindConfig      Kind = 1  // Config
	KindKeyGrant    Kind = 2  // KeyGrant
	KindKeyWithdraw Kind = 3  // KeyWithdraw
	KindLease       Kind = 4  // Lease
	KindOrderIntent Kind = 5  // OrderIntent
	KindOrderDone   Kind = 6  // OrderDone
	KindUsageSeal   Kind = 7  // UsageSeal
	KindUsageSent   Kind = 8  // UsageSent
	KindBatch       Kind = 9  // Batch
	KindBatchAck    Kind = 10 // BatchAck
	KindCheckpoint  Kind = 50 // Checkpoint
)

// Errors of Decode. EncodeEnvelope returns ErrTooLarge too.
var (
	ErrTooLarge       = errors.New("record exceeds the size limit")
	ErrUnknownKind    = errors.New("unknown record kind")
	ErrUnknownVersion = errors.New("unknown record version")
)

// Envelope is the outer format of every record in the log.
//
// Supersedes depends on the kind: for Config, Lease and Batch it is the offset of
// the predecessor, zero for the first; for OrderIntent and UsageSeal it is the
// fencing number of the author's lease. Other kinds do not use it.
type Envelope struct {
	ID         ID              `cbor:"1,keyasint"`
	Kind       Kind            `cbor:"2,keyasint"`
	Version    uint8           `cbor:"3,keyasint"`
	Supersedes Offset          `cbor:"4,keyasint"` // predecessor or fencing number, by kind
	Author     string          `cbor:"5,keyasint"` // instance and incarnation
	Body       cbor.RawMessage `cbor:"6,keyasint"`
	Timestamp  hlc.Timestamp   `cbor:"7,keyasint,omitempty"` // when the author appended it; only orders the timeline
	Applied    Offset          `cbor:"8,keyasint,omitempty"` // last offset that the author had applied
}

// Body is implemented by every record body.
type Body interface{ Kind() Kind }

// Config replaces the configuration. Supersedes is the offset of the previous
// accepted Config.
type Config struct {
	YAML  []byte `cbor:"1,keyasint"` // merged configuration
	Actor string `cbor:"2,keyasint"` // operator who applied it
}

// MaxCheckpointPartBytes is the largest part of an encoded state, in bytes, that
// one Checkpoint record carries.
const MaxCheckpointPartBytes = MaxRecordBytes / 2

// Checkpoint carries one part of the encoded state as of Offset. The parts of a
// checkpoint are at contiguous offsets of the log, in order.
type Checkpoint struct {
	Offset Offset   `cbor:"1,keyasint"`
	Digest [32]byte `cbor:"2,keyasint"` // SHA-256 of the complete encoded state
	Part   int      `cbor:"3,keyasint"` // from 0
	Parts  int      `cbor:"4,keyasint"`
	Data   []byte   `cbor:"5,keyasint"`
}

// KeyGrant adds a key to a client account.
type KeyGrant struct {
	KeyID   string   `cbor:"1,keyasint"`
	Account string   `cbor:"2,keyasint"`
	Digest  [32]byte `cbor:"3,keyasint"` // SHA-256 of the key
}

// KeyWithdraw removes a key from a client account. A repeated append of the key's
// grant does not restore it.
type KeyWithdraw struct {
	KeyID   string `cbor:"1,keyasint"`
	Account string `cbor:"2,keyasint"`
}

// Lease claims, renews or releases a lease. Supersedes is the offset of the
// lease's previous accepted record, zero for the first.
type Lease struct {
	Name     string        `cbor:"1,keyasint"`
	Holder   string        `cbor:"2,keyasint"` // instance and incarnation; empty: release
	Duration time.Duration `cbor:"3,keyasint"`
}

// Action is what an order requests from the platform.
type Action string

// The order actions.
const (
	ActionStart Action = "start"
	ActionStop  Action = "stop"
)

// OrderIntent announces an order, the start or stop of a target, before it is
// sent to the platform. Supersedes is the offset of the lease's acquisition: the
// fencing number.
type OrderIntent struct {
	OrderID    string `cbor:"1,keyasint"`
	Lease      string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Service    string `cbor:"4,keyasint"`
	Action     Action `cbor:"5,keyasint"`
	Target     string `cbor:"6,keyasint"` // empty for a start
	Cheap      bool   `cbor:"7,keyasint"` // spot target: can be reclaimed with its data centre
}

// OrderDone resolves an announced order with the platform's result.
type OrderDone struct {
	OrderID string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	Failure string `cbor:"3,keyasint"` // empty after success
}

// UsageFigure holds the usage counts of one client account on one service.
type UsageFigure struct {
	Account         string `cbor:"1,keyasint" json:"account"`
	Service         string `cbor:"2,keyasint" json:"service"`
	Requests        int64  `cbor:"3,keyasint" json:"requests"`
	PromptTokens    int64  `cbor:"4,keyasint" json:"promptTokens"`
	GeneratedTokens int64  `cbor:"5,keyasint" json:"generatedTokens"`
}

// UsageSeal is the seal of a window: it fixes the billed usage counts before they
// are reported. Supersedes is the offset of the lease's acquisition: the fencing
// number. The first accepted seal of a window is in effect; later ones are
// rejected.
type UsageSeal struct {
	Lease   string        `cbor:"1,keyasint"`
	Window  int64         `cbor:"2,keyasint"` // start, Unix milliseconds
	Figures []UsageFigure `cbor:"3,keyasint"`
	// End of the window, Unix milliseconds. The next window does not start earlier.
	End int64 `cbor:"4,keyasint"`
	// Previous is the offset of the previous seal. A seal is rejected unless this
	// is the latest one.
	Previous Offset        `cbor:"5,keyasint"`
	Sources  []UsageSource `cbor:"6,keyasint"` // cumulative counts of the sources billed in Figures
	Late     []UsageFigure `cbor:"7,keyasint"` // part of Figures that was used before the window
	Retired  []string      `cbor:"8,keyasint"` // sources that are not billed any more
}

// UsageSource holds the usage counts that seals have billed of one source so far.
type UsageSource struct {
	Source  string        `cbor:"1,keyasint"` // instance and incarnation
	Figures []UsageFigure `cbor:"2,keyasint"` // cumulative
}

// UsageSent records that the platform accepted the report of a sealed window.
type UsageSent struct {
	Window int64 `cbor:"1,keyasint"` // start, Unix milliseconds
}

// Batch assigns a number to the groups that are delivered to a trainer together.
// Supersedes is the offset of the trainer's previous accepted Batch or BatchAck
// record, zero for the first.
type Batch struct {
	Trainer string       `cbor:"1,keyasint"`
	Number  int64        `cbor:"2,keyasint"` // from 1, without gaps
	Groups  []BatchGroup `cbor:"4,keyasint"`
	Term    Offset       `cbor:"5,keyasint"` // acquisition of the trainer's lease: the fencing number
}

// BatchGroup describes a group of a batch. The ids of its samples are derived from
// it as group/index.
type BatchGroup struct {
	ID     string `cbor:"1,keyasint"`
	Size   int    `cbor:"2,keyasint"` // samples
	Step   int64  `cbor:"3,keyasint"` // trainer's step; zero: none
	Digest uint64 `cbor:"4,keyasint"` // of the group's definition
}

// TrainerLease returns the name of the lease that a trainer's owner holds.
func TrainerLease(trainer string) string { return "trainer/" + trainer }

// BatchAck records that the trainer has received the batch.
type BatchAck struct {
	Trainer string `cbor:"1,keyasint"`
	Number  int64  `cbor:"2,keyasint"`
}

// Kind implements Body.
func (Config) Kind() Kind { return KindConfig }

// Kind implements Body.
func (KeyGrant) Kind() Kind { return KindKeyGrant }

// Kind implements Body.
func (KeyWithdraw) Kind() Kind { return KindKeyWithdraw }

// Kind implements Body.
func (Lease) Kind() Kind { return KindLease }

// Kind implements Body.
func (OrderIntent) Kind() Kind { return KindOrderIntent }

// Kind implements Body.
func (OrderDone) Kind() Kind { return KindOrderDone }

// Kind implements Body.
func (UsageSeal) Kind() Kind { return KindUsageSeal }

// Kind implements Body.
func (UsageSent) Kind() Kind { return KindUsageSent }

// Kind implements Body.
func (Batch) Kind() Kind { return KindBatch }

// Kind implements Body.
func (BatchAck) Kind() Kind { return KindBatchAck }

// Kind implements Body.
func (Checkpoint) Kind() Kind { return KindCheckpoint }

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("CBOR encoding options: %v", err))
	}
	return m
}

// Marshal encodes v as deterministic CBOR: equal values give equal bytes.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Encode encodes a record whose author has applied no record of the log.
func Encode(id ID, author string, supersedes Offset, body Body) ([]byte, error) {
	return EncodeEnvelope(Envelope{ID: id, Author: author, Supersedes: supersedes}, body)
}

// EncodeEnvelope encodes the envelope with body; it sets the envelope's Kind,
// Version and Body. It returns ErrTooLarge for more than MaxRecordBytes.
func EncodeEnvelope(env Envelope, body Body) ([]byte, error) {
	raw, err := Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", body, err)
	}
	env.Kind, env.Version, env.Body = body.Kind(), Version, raw
	out, err := Marshal(env)
	if err != nil {
		return nil, fmt.Errorf("encode envelope of %T: %w", body, err)
	}
	if len(out) > MaxRecordBytes {
		return nil, fmt.Errorf("encode %T of %d bytes: %w", body, len(out), ErrTooLarge)
	}
	return out, nil
}

// Decode parses an encoded record into its envelope and typed body. The envelope
// that it returns with ErrUnknownVersion is valid; its Body is not decoded.
func Decode(data []byte) (Envelope, Body, error) {
	var env Envelope
	if len(data) > MaxRecordBytes {
		return env, nil, fmt.Errorf("decode %d bytes: %w", len(data), ErrTooLarge)
	}
	if err := cbor.Unmarshal(data, &env); err != nil {
		return env, nil, fmt.Errorf("decode envelope: %w", err)
	}
	if env.Version != Version {
		return env, nil, fmt.Errorf("record %s version %d: %w", env.ID, env.Version, ErrUnknownVersion)
	}
	body, err := decodeBody(env)
	return env, body, err
}

func decodeBody(env Envelope) (Body, error) {
	switch env.Kind {
	case KindConfig:
		return decodeAs[Config](env)
	case KindKeyGrant:
		return decodeAs[KeyGrant](env)
	case KindKeyWithdraw:
		return decodeAs[KeyWithdraw](env)
	case KindLease:
		return decodeAs[Lease](env)
	case KindOrderIntent:
		return decodeAs[OrderIntent](env)
	case KindOrderDone:
		return decodeAs[OrderDone](env)
	case KindUsageSeal:
		return decodeAs[UsageSeal](env)
	case KindUsageSent:
		return decodeAs[UsageSent](env)
	case KindBatch:
		return decodeAs[Batch](env)
	case KindBatchAck:
		return decodeAs[BatchAck](env)
	case KindClaims:
		return decodeAs[Claims](env)
	case KindClaimsVoid:
		return decodeAs[ClaimsVoid](env)
	case KindTargetDrain:
		return decodeAs[TargetDrain](env)
	case KindCheckpoint:
		return decodeAs[Checkpoint](env)
	default:
		return nil, fmt.Errorf("record %s kind %d: %w", env.ID, env.Kind, ErrUnknownKind)
	}
}

func decodeAs[T Body](env Envelope) (Body, error) {
	var body T
	if err := cbor.Unmarshal(env.Body, &body); err != nil {
		return nil, fmt.Errorf("decode %T of record %s: %w", body, env.ID, err)
	}
	return body, nil
}
