package hostplatform

import (
	"net/http"
	"sync"
)

// FaultProxy forwards the calls of one instance to the store. Its fault affects this
// instance only.
type FaultProxy struct {
	store      *Store
	mu         sync.Mutex
	fault      Fault
	faultEnded chan struct{}
}

// NewFaultProxy returns a healthy proxy of the store.
func NewFaultProxy(s *Store) *FaultProxy {
	return &FaultProxy{store: s, faultEnded: make(chan struct{})}
}

// SetFault replaces the fault of the proxy: Unavailable, Unresponsive or Healthy. The
// other faults have no effect here.
func (p *FaultProxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == Unresponsive && f != Unresponsive {
		close(p.faultEnded)
		p.faultEnded = make(chan struct{})
	}
	p.fault = f
}

// ServeHTTP implements http.Handler.
func (p *FaultProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	fault, faultEnded := p.fault, p.faultEnded
	p.mu.Unlock()
	switch fault {
	case Unavailable:
		http.Error(w, "log is unavailable to this instance", http.StatusServiceUnavailable)
	case Unresponsive:
		select {
		case <-faultEnded:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	default:
		p.store.ServeHTTP(w, r)
	}
}
