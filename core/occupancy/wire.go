package occupancy

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// wireMessage is the encoded form of a message. The loads are stored by column, which takes a
// byte less for each engine than by row, and decodes faster.
type wireMessage struct {
	From        string   `cbor:"1,keyasint"`
	Incarnation int64    `cbor:"2,keyasint"`
	Sequence    uint64   `cbor:"3,keyasint"`
	Base        uint64   `cbor:"4,keyasint,omitempty"`
	Full        bool     `cbor:"5,keyasint,omitempty"`
	Engines     []string `cbor:"6,keyasint,omitempty"`
	Runs        []int    `cbor:"7,keyasint,omitempty"`
	Tokens      []int64  `cbor:"8,keyasint,omitempty"`
}

// decoder rejects what Encode does not generate, except for unknown fields.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 4, MaxArrayElements: maxEngines,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Encode encodes a message as CBOR.
func Encode(m Message) ([]byte, error) {
	w := wireMessage{
		From: m.From, Incarnation: m.Incarnation, Sequence: m.Sequence, Base: m.Base, Full: m.Full,
		Engines: make([]string, len(m.Loads)), Runs: make([]int, len(m.Loads)), Tokens: make([]int64, len(m.Loads)),
	}
	for i, l := range m.Loads {
		w.Engines[i], w.Runs[i], w.Tokens[i] = l.Engine, l.Runs, l.Tokens
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode an occupancy message: %w", err)
	}
	return data, nil
}

// Decode decodes and checks a message that Encode has encoded. Its errors wrap ErrMalformed.
func Decode(data []byte) (Message, error) {
	if len(data) > MaxMessageBytes {
		return Message{}, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrMalformed, len(data), MaxMessageBytes)
	}
	var w wireMessage
	if err := decoder.Unmarshal(data, &w); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(w.Runs) != len(w.Engines) || len(w.Tokens) != len(w.Engines) {
		return Message{}, fmt.Errorf("%w: %d engines, %d numbers of runs, %d of tokens", ErrMalformed, len(w.Engines), len(w.Runs), len(w.Tokens))
	}
	m := Message{From: w.From, Incarnation: w.Incarnation, Sequence: w.Sequence, Base: w.Base, Full: w.Full}
	if len(w.Engines) > 0 {
		m.Loads = make([]Load, len(w.Engines))
	}
	for i := range m.Loads {
		m.Loads[i] = Load{w.Engines[i], w.Runs[i], w.Tokens[i]}
	}
	return m, m.check()
}
