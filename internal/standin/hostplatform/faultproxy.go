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
	topic      string // that the fault is restricted to; empty: all
	faultEnded chan struct{}
	held       chan struct{} // closed when responses are no longer held back; nil: they are not
}

// NewFaultProxy returns a healthy proxy of the store.
func NewFaultProxy(s *Store) *FaultProxy {
	return &FaultProxy{store: s, faultEnded: make(chan struct{})}
}

// SetFault replaces the fault of the proxy: Unavailable, Unresponsive or Healthy. The
// other faults have no effect here.
func (p *FaultProxy) SetFault(f Fault) { p.SetTopicFault("", f) }

// SetTopicFault is SetFault for the calls that concern one topic. Unresponsive affects those in
// progress, too.
func (p *FaultProxy) SetTopicFault(topic string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == Unresponsive {
		close(p.faultEnded)
		p.faultEnded = make(chan struct{})
	}
	p.fault, p.topic = f, topic
}

// HoldResponses makes the store's responses, those to calls in progress too, reach the instance
// only when the returned function is called, as they reach a process that stands still.
func (p *FaultProxy) HoldResponses() (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := make(chan struct{})
	p.held = held
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.held = nil
		close(held)
	}
}

// ServeHTTP implements http.Handler.
func (p *FaultProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.awaitFaultEnd(r) == Unavailable {
		http.Error(w, "log is unavailable to this instance", http.StatusServiceUnavailable)
		return
	}
	p.store.ServeHTTP(proxiedResponse{w, r, p}, r)
}

// awaitFaultEnd returns the fault that concerns the call. If it is Unresponsive, it aborts the
// connection when the fault ends.
func (p *FaultProxy) awaitFaultEnd(r *http.Request) Fault {
	p.mu.Lock()
	fault, faultEnded := p.fault, p.faultEnded
	if p.topic != "" && r.URL.Query().Get("topic") != p.topic {
		fault = Healthy
	}
	p.mu.Unlock()
	if fault == Unresponsive {
		select {
		case <-faultEnded:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	return fault
}

// proxiedResponse passes on a response if the path to the instance has no fault.
type proxiedResponse struct {
	http.ResponseWriter
	request *http.Request
	proxy   *FaultProxy
}

// WriteHeader implements http.ResponseWriter.
func (w proxiedResponse) WriteHeader(status int) {
	w.await()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w proxiedResponse) Write(b []byte) (int, error) {
	w.await()
	return w.ResponseWriter.Write(b)
}

func (w proxiedResponse) await() {
	w.proxy.awaitFaultEnd(w.request)
	w.proxy.mu.Lock()
	held := w.proxy.held
	w.proxy.mu.Unlock()
	if held != nil {
		<-held
	}
}
