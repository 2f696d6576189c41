// Package fold turns the log into control state. Every instance folds the same
// records with the same pure function, so that every instance has the same
// state, and the same digest of it, at the same offset.
package fold

import (
	"github.com/amaranthfold/amaranthfold/core/claim"
	"github.com/amaranthfold/amaranthfold/core/config"
	"github.com/amaranthfold/amaranthfold/core/record"
)

const (
	// dedupWindowRecords is how many of the latest record ids are remembered to void
	// repeats. A record whose author had folded less than this many records
	// before its place in the log is void, so that no repeat outlives the memory.
	dedupWindowRecords = 1 << 14
	// maxReportedWindows is how many reported usage windows are remembered. Older ones
	// are forgotten and cannot be sealed again.
	maxReportedWindows = 64
)

// Key is a granted key. Only its digest is known.
type Key struct {
	ID      string        `cbor:"1,keyasint"`
	Account string        `cbor:"2,keyasint"`
	Digest  [32]byte      `cbor:"3,keyasint"`
	Granted record.Offset `cbor:"4,keyasint"`
}

// Lease is the last valid record of one lease.
type Lease struct {
	Name       string        `cbor:"1,keyasint"`
	Holder     string        `cbor:"2,keyasint"` // empty: released
	Term       record.Offset `cbor:"3,keyasint"` // acquisition: the fencing number
	LastOffset record.Offset `cbor:"4,keyasint"` // latest claim or renewal
	Duration   int64         `cbor:"5,keyasint"` // nanoseconds
}

// Order is an announced order that is not settled yet.
type Order struct {
	Intent  record.OrderIntent `cbor:"1,keyasint"`
	Offset  record.Offset      `cbor:"2,keyasint"`
	Fencing record.Offset      `cbor:"3,keyasint"`
}

// Window is a sealed usage window.
type Window struct {
	Start    int64                `cbor:"1,keyasint"` // Unix milliseconds
	Figures  []record.UsageFigure `cbor:"2,keyasint"`
	Sealed   record.Offset        `cbor:"3,keyasint"`
	Reported bool                 `cbor:"4,keyasint"`
	End      int64                `cbor:"5,keyasint"` // Unix milliseconds
	Late     []record.UsageFigure `cbor:"6,keyasint"` // part of Figures used before Start
}

// CheckpointProgress tells how far checkpoints have come.
type CheckpointProgress struct {
	Offset        record.Offset `cbor:"1,keyasint"` // state that the newest complete checkpoint carries
	EndOffset     record.Offset `cbor:"2,keyasint"` // offset of its last part
	PendingOffset record.Offset `cbor:"3,keyasint"` // state that an incomplete checkpoint carries
	Author        string        `cbor:"4,keyasint"` // of the incomplete checkpoint
	NextPart      int           `cbor:"5,keyasint"` // part that must follow
	NextOffset    record.Offset `cbor:"6,keyasint"` // where it must stand
}

// State is the control state at Applied. The zero value is not usable; see New.
type State struct {
	Applied            record.Offset            `cbor:"1,keyasint"` // last offset folded
	ConfigYAML         []byte                   `cbor:"2,keyasint"`
	ConfigOffset       record.Offset            `cbor:"3,keyasint"`
	Keys               map[string]Key           `cbor:"4,keyasint"` // by key id
	Leases             map[string]Lease         `cbor:"5,keyasint"`
	Orders             map[string]Order         `cbor:"6,keyasint"` // unsettled, by order id
	Windows            map[int64]Window         `cbor:"7,keyasint"` // by start
	Deliveries         map[string]DeliveryState `cbor:"8,keyasint"` // by trainer
	SeenIDs            []record.ID              `cbor:"9,keyasint"` // ring of the latest ids
	SeenNext           int                      `cbor:"10,keyasint"`
	Billing            Billing                  `cbor:"60,keyasint"`
	HashChain          [32]byte                 `cbor:"11,keyasint"` // digest of all records and verdicts up to Applied
	Format             uint8                    `cbor:"12,keyasint"` // newest format level that records may use
	WindowLowWatermark int64                    `cbor:"13,keyasint"` // windows up to here are settled and forgotten
	Checkpoint         CheckpointProgress       `cbor:"14,keyasint"`
	// Claims are the latest claims to non-repeatable requests.
	Claims claim.Table `cbor:"30,keyasint"`
	// Drains tells from which offset on a target gets no new work.
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

// initialFormat is the format level before a configuration names one.
const initialFormat = 1

// Config returns the configuration in force, or nil before the first.
func (s *State) Config() *config.Config { return s.config }

// addID notes the id and reports whether it is new.
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
