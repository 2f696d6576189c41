// Package record defines the typed, versioned records that instances append to
// the platform's log, and their CBOR encoding.
//
// The log has no conditional append. A record that changes an object, such as a
// lease, therefore contains the offset of the object's previous record, and readers
// reject it unless that one is still the object's latest: readers perform a
// compare-and-set. A record's id makes a repeated append idempotent.
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

// ID identifies a record. All appends of one record use the same id.
type ID = uuid.UUID

// Kind is the type of a record's body.
type Kind uint8

// The kinds of record; each is named after the type of its body. The numbers are part
// of the log's format and are never reused.
const (
	KindConfig      Kind = 1
	KindKeyGrant    Kind = 2
	KindKeyWithdraw Kind = 3
	KindLease       Kind = 4
	KindOrderIntent Kind = 5
	KindOrderDone   Kind = 6
	KindUsageSeal   Kind = 7
	KindUsageSent   Kind = 8
	KindBatch       Kind = 9
	KindBatchAck    Kind = 10
	KindCheckpoint  Kind = 50
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
	Author     string          `cbor:"5,keyasint"` // instance@incarnation
	Body       cbor.RawMessage `cbor:"6,keyasint"`
	Timestamp  hlc.Timestamp   `cbor:"7,keyasint,omitempty"` // when the author appended it; used only to order the operators' timeline
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
// one Checkpoint record contains.
const MaxCheckpointPartBytes = MaxRecordBytes / 2

// Checkpoint contains one part of the encoded state after applying the log up to
// Offset. The parts of a checkpoint are at contiguous offsets of the log, in order.
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

// Lease acquires, renews or releases a lease. Supersedes is the offset of the
// lease's previous accepted record, zero for the first.
type Lease struct {
	Name     string        `cbor:"1,keyasint"`
	Holder   string        `cbor:"2,keyasint"` // instance@incarnation; empty: release
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

// OrderDone records the platform's result of an announced order, which resolves it.
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

// UsageSource holds the usage counts of one source that have been billed so far,
// including those of the seal that contains it.
type UsageSource struct {
	Source  string        `cbor:"1,keyasint"` // instance@incarnation
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

// BatchGroup describes a group of a batch. The id of a sample is the group's id, a
// slash and the sample's index in the group.
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

// Encode is EncodeEnvelope for an author that has applied no record of the log.
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
