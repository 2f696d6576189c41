package config

import "time"

// Retries limits the retries of an instance and its ejection of failing targets.
type Retries struct {
	Share      float64       `yaml:"share" cbor:"1,keyasint"`      // retry budget: retries per request
	Burst      int           `yaml:"burst" cbor:"2,keyasint"`      // retry budget: retries in a burst
	EjectAfter int           `yaml:"ejectAfter" cbor:"3,keyasint"` // consecutive failures that eject a target
	EjectFor   time.Duration `yaml:"ejectFor" cbor:"4,keyasint"`   // duration of the first ejection; each further one doubles it
	EjectShare float64       `yaml:"ejectShare" cbor:"5,keyasint"` // largest ejected share of a service's targets
}

// DefaultRetries returns the defaults of fields that the files leave out.
func DefaultRetries() Retries {
	return Retries{Share: 0.1, Burst: 20, EjectAfter: 5, EjectFor: time.Second, EjectShare: 0.5}
}

func applyRetryDefaults(r *Retries) {
	d := DefaultRetries()
	setDefault(&r.Share, d.Share)
	setDefault(&r.Burst, d.Burst)
	setDefault(&r.EjectAfter, d.EjectAfter)
	setDefault(&r.EjectFor, d.EjectFor)
	setDefault(&r.EjectShare, d.EjectShare)
}

func (v *validator) retries() {
	r := v.cfg.Retries
	v.positive("retries.share", r.Share)
	v.positive("retries.burst", float64(r.Burst))
	v.positive("retries.ejectAfter", float64(r.EjectAfter))
	v.positive("retries.ejectFor", r.EjectFor.Seconds())
	v.positive("retries.ejectShare", r.EjectShare)
	if r.Share > 1 {
		v.errorf("retries.share", "is %g, want at most 1 retry per request", r.Share)
	}
	if r.EjectShare > 1 {
		v.errorf("retries.ejectShare", "is %g, want at most 1", r.EjectShare)
	}
}
