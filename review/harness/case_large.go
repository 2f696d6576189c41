package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	largeBody     = 300 << 10 // bytes, more than a record of the store may hold
	largeSteps    = 18
	largeStep     = 3 // the step with a large item
	largeInterval = 4 * time.Second
	largeItems    = 24
	largeEvents   = 125
	downtime      = 4500 * time.Millisecond // of the store
	largeDelay    = 3500 * time.Millisecond // of the step with the large item, from the start of the downtime
)

// served counts what clients have asked for and what they were given, by kind of request.
type served struct {
	mu           sync.Mutex
	asked, given map[string]int
}

func (s *served) add(kind string, asked, given int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[kind] += asked
	s.given[kind] += given
}

// share returns the share of the requests of a kind that were served, of all kinds if it is empty.
func (s *served) share(kind string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	asked, given := 0, 0
	for k, n := range s.asked {
		if kind == "" || kind == k {
			asked, given = asked+n, given+s.given[k]
		}
	}
	return float64(given) / float64(max(1, asked))
}

// largeCase has a trainer submit a step each 4 s. One step has an item whose body is larger than a
// record of the store, but within max-body-bytes. It arrives while the store is down for some
// seconds. Rule Starved: the items are served at least a quarter as often as all requests.
func largeCase(w *world) ([]string, error) {
	if err := w.start(configuration(1, false, "train"), samplers(6, 8), "n0", "n1", "n2"); err != nil {
		return nil, err
	}
	time.Sleep(2 * leaseTime)
	count := &served{asked: map[string]int{}, given: map[string]int{}}
	go w.sendCalls(func(ok bool) {
		given := 0
		if ok {
			given = 1
		}
		count.add("confirm", 1, given)
	})
	var wg sync.WaitGroup
	for step := int64(1); step <= largeSteps; step++ {
		if w.trouble && step == largeStep {
			go w.stopStore()
		}
		wg.Go(func() { count.add("train", largeItems, w.largeStep(step)) })
		time.Sleep(largeInterval)
	}
	wg.Wait()
	train, all := count.share("train"), count.share("")
	w.printf("items served: %.3f, all requests: %.3f", train, all)
	if train < all/4 {
		return []string{fmt.Sprintf("Starved: %.3f of the items were served, %.3f of all requests", train, all)}, nil
	}
	return nil, nil
}

func (w *world) stopStore() {
	w.printf("the store is down")
	w.store.down.Store(true)
	time.Sleep(downtime)
	w.store.down.Store(false)
	w.printf("the store is back")
}

// largeStep submits a step and reads its results. Its first attempt goes to the node of the
// client, the second one to another node. It returns the number of results.
func (w *world) largeStep(step int64) int {
	id := fmt.Sprintf("step-%d", step)
	list := items(id, "/train/", largeItems, largeEvents)
	if step == largeStep {
		time.Sleep(largeDelay)
		list[0].Body = bytes.Repeat([]byte("x"), largeBody)
	}
	var a answer
	for try := 0; try < 2 && a.status != http.StatusAccepted; try++ {
		a = w.submit(w.instances[(2+try)%len(w.instances)], "/train/", id, step, 1, list)
	}
	results := w.readAll(id, largeItems, trainerLimit)
	w.printf("%s: status %d, %d of %d results", id, a.status, len(results), largeItems)
	w.call(w.instances[2], http.MethodDelete, "/lots/"+id, nil, nil)
	return len(results)
}
