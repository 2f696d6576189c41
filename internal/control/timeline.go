package control

import (
	"strconv"

	"github.com/amaranthfold/amaranthfold/core/fold"
	"github.com/amaranthfold/amaranthfold/core/record"
	"github.com/amaranthfold/amaranthfold/internal/events"
)

// OffsetField is the key of the field that holds the record's offset in an event about a
// log record. Every instance records such an event when it applies the record, so that the
// control actions of an instance that has stopped stay on the timeline. Readers of the
// timeline keep one event per offset.
const OffsetField = "offset"

// recordLogEvent records the event of an applied or rejected log record.
func (l *Loop) recordLogEvent(res fold.Result) {
	offset := strconv.FormatInt(int64(res.Offset), 10)
	author := events.F("author", res.Envelope.Author)
	if res.Verdict != fold.Accepted {
		l.Events.Record("record void", events.F(OffsetField, offset), author,
			events.F("kind", strconv.Itoa(int(res.Envelope.Kind))), events.F("verdict", res.Verdict.String()), events.F("reason", reason(res)))
		return
	}
	name, fields := describe(res)
	if name == "" {
		return
	}
	l.Events.Record(name, append(fields, events.F(OffsetField, offset), author)...)
}

func reason(res fold.Result) string {
	if res.Err == nil {
		return ""
	}
	return res.Err.Error()
}

// describe returns the event name and fields of an accepted record. The name is empty for
// records without an event, such as renewals of leases.
func describe(res fold.Result) (string, []events.Field) {
	switch b := res.Body.(type) {
	case record.Config:
		return "configuration in the log", []events.Field{events.F("actor", b.Actor)}
	case record.KeyGrant:
		return "key granted in the log", []events.Field{events.F("account", b.Account), events.F("keyId", b.KeyID)}
	case record.KeyWithdraw:
		return "key withdrawn in the log", []events.Field{events.F("account", b.Account), events.F("keyId", b.KeyID)}
	case record.Lease:
		return describeLease(res, b)
	case record.TargetDrain:
		return describeDrain(b), []events.Field{events.F("target", b.Target), events.F("actor", b.Actor)}
	case record.OrderIntent:
		return "order intended", []events.Field{
			events.F("order", b.OrderID), events.F("action", string(b.Action)), events.F("service", b.Service),
			events.F("dataCentre", b.DataCentre), events.F("target", b.Target),
		}
	case record.OrderDone:
		return "order settled", []events.Field{events.F("order", b.OrderID), events.F("target", b.Target), events.F("failure", b.Failure)}
	case record.UsageSeal:
		return "usage sealed in the log", []events.Field{events.F("window", strconv.FormatInt(b.Window, 10))}
	case record.UsageSent:
		return "usage reported", []events.Field{events.F("window", strconv.FormatInt(b.Window, 10))}
	case record.Batch:
		return "batch recorded", []events.Field{events.F("trainer", b.Trainer), events.F("batch", strconv.FormatInt(b.Number, 10))}
	case record.BatchAck:
		return "batch acknowledged", []events.Field{events.F("trainer", b.Trainer), events.F("batch", strconv.FormatInt(b.Number, 10))}
	default:
		return "", nil
	}
}

func describeDrain(b record.TargetDrain) string {
	if b.Undo {
		return "target drain undone"
	}
	return "target drained"
}

func describeLease(res fold.Result, b record.Lease) (string, []events.Field) {
	switch {
	case b.Holder == "":
		return "lease released", []events.Field{events.F("lease", b.Name)}
	case res.LeaseAcquired:
		return "lease taken", []events.Field{events.F("lease", b.Name), events.F("holder", b.Holder)}
	default:
		return "", nil
	}
}
