// Package fold computes the control state from the log. Every instance applies the
// same records with the same pure function, so that every instance has the same
// state, and the same digest of it, at the same offset.
//
// The caller passes the encoded records in the order of their offsets, without
// gaps. A record that does not apply is rejected with a reason and still counts
// in the state's offset and digest. The state can be encoded into checkpoint
// records and restored from them. Reading the log, appending to it, and
// synchronising access to the state are left to the caller.
package fold

import (
	"github.com/amaranthfold/amaranthfold/core/claim"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

const (
	// dedupWindowRecords is how many of the latest record ids are kept to reject
	// duplicates. A record is also rejected if the last offset that its author had
	// applied is more than this many records before the record's own offset:
	// a duplicate can therefore not be accepted after its id was evicted.
	dedupWindowRecords = 1 << 14
	// maxReportedWindows is how many billing windows are kept after their usage was
	// reported. Older ones are evicted and cannot be sealed again.
	maxReportedWindows = 64
)

// Key is a granted API key. Only the digest of the key is stored.
type Key struct {
	ID      string        `cbor:"1,keyasint"`
	Account string        `cbor:"2,keyasint"`
	Digest  [32]byte      `cbor:"3,keyasint"`
	Granted record.Offset `cbor:"4,keyasint"` // offset of the grant
}

// Lease is the state of a lease after its last accepted record.
type Lease struct {
	Name       string        `cbor:"1,keyasint"`
	Holder     string        `cbor:"2,keyasint"` // empty: released
	Term       record.Offset `cbor:"3,keyasint"` // offset of the acquisition: the fencing number
	LastOffset record.Offset `cbor:"4,keyasint"` // offset of the latest acquisition, renewal or release
	Duration   int64         `cbor:"5,keyasint"` // nanoseconds
}

// Order is an order, the start or stop of a target, that was announced and whose result
// is not recorded yet.
type Order struct {
	Intent  record.OrderIntent `cbor:"1,keyasint"`
	Offset  record.Offset      `cbor:"2,keyasint"` // of the intent
	Fencing record.Offset      `cbor:"3,keyasint"` // fencing number of the author's lease
}

// Window is a sealed billing window: its billed usage counts are fixed.
type Window struct {
	Start    int64                `cbor:"1,keyasint"` // Unix milliseconds
	Figures  []record.UsageFigure `cbor:"2,keyasint"`
	Sealed   record.Offset        `cbor:"3,keyasint"` // offset of the seal
	Reported bool                 `cbor:"4,keyasint"` // the platform accepted the report
	End      int64                `cbor:"5,keyasint"` // Unix milliseconds
	Late     []record.UsageFigure `cbor:"6,keyasint"` // part of Figures that was used before Start
}

// CheckpointProgress is the progress of checkpoints in the log.
type CheckpointProgress struct {
	Offset        record.Offset `cbor:"1,keyasint"` // offset of the state in the newest complete checkpoint
	EndOffset     record.Offset `cbor:"2,keyasint"` // offset of that checkpoint's last part
	PendingOffset record.Offset `cbor:"3,keyasint"` // offset of the state in the incomplete checkpoint
	Author        string        `cbor:"4,keyasint"` // of the incomplete checkpoint
	NextPart      int           `cbor:"5,keyasint"` // number of the part that must follow
	NextOffset    record.Offset `cbor:"6,keyasint"` // offset at which it must follow
}

// State is the control state after applying the log up to Applied. The zero value
// is not usable; see New.
type State struct {
	Applied      record.Offset            `cbor:"1,keyasint"` // last offset applied
	ConfigYAML   []byte                   `cbor:"2,keyasint"`
	ConfigOffset record.Offset            `cbor:"3,keyasint"`
	Keys         map[string]Key           `cbor:"4,keyasint"` // by key id
	Leases       map[string]Lease         `cbor:"5,keyasint"`
	Orders       map[string]Order         `cbor:"6,keyasint"` // unresolved, by order id
	Windows      map[int64]Window         `cbor:"7,keyasint"` // by start
	Deliveries   map[string]DeliveryState `cbor:"8,keyasint"` // by trainer
	SeenIDs      []record.ID              `cbor:"9,keyasint"` // ring of the latest record ids
	// SeenNext is the position in SeenIDs that is overwritten next.
	SeenNext int     `cbor:"10,keyasint"`
	Billing  Billing `cbor:"60,keyasint"`
	// HashChain is a digest over all records and verdicts up to Applied; each record
	// extends it.
	HashChain [32]byte `cbor:"11,keyasint"`
	Format    uint8    `cbor:"12,keyasint"` // newest format level that is allowed for records
	// WindowLowWatermark is the latest start of an evicted window, in Unix milliseconds.
	// Windows that start at or before it are billed and cannot be sealed again.
	WindowLowWatermark int64              `cbor:"13,keyasint"`
	Checkpoint         CheckpointProgress `cbor:"14,keyasint"`
	// Claims holds the latest claims to non-idempotent requests.
	Claims claim.Table `cbor:"30,keyasint"`
	// Drains holds, by drained target, the offset from which it gets no new work.
	Drains  map[string]record.Offset `cbor:"31,keyasint"`
	seenIDs map[record.ID]struct{}   // index of SeenIDs
	config  *config.Config           // parsed ConfigYAML
}

// New returns the state before the log's first record.
func New() *State {
	return &State{
		Keys:       map[string]Key{},
		Leases:     map[string]Lease{},
		Orders:     map[string]Order{},
		Windows:    map[int64]Window{},
		Deliveries: map[string]DeliveryState{},
		Billing:    newBilling(),
		Format:     initialFormat,
		seenIDs:    map[record.ID]struct{}{},
	}
}

// initialFormat is the format level until a configuration sets one.
const initialFormat = 1

// Config returns the configuration in effect, or nil before the first.
func (s *State) Config() *config.Config { return s.config }

// addID adds the id to the window of latest ids and reports whether it was new. A
// full window evicts its oldest id.
func (s *State) addID(id record.ID) bool {
	if _, ok := s.seenIDs[id]; ok {
		return false
	}
	if len(s.SeenIDs) < dedupWindowRecords {
		s.SeenIDs = append(s.SeenIDs, id)
	} else {
		delete(s.seenIDs, s.SeenIDs[s.SeenNext])
		s.SeenIDs[s.SeenNext] = id
	}
	s.SeenNext = (s.SeenNext + 1) % dedupWindowRecords
	s.seenIDs[id] = struct{}{}
	return true
}
